// The root object of the policy in the store: the revision, the digest of each
// section, the out-of-service states, and the last writers.
//
//     policy_root root = policy_root_from_text(text);
//     if (missing_sections(root, bodies).empty())
//         policy_document document = assemble(root, bodies);

#ifndef FILBERTHUB_POLICY_POLICY_ROOT_HPP
#define FILBERTHUB_POLICY_POLICY_ROOT_HPP

#include <filberthub/policy/policy_document.hpp>

#include <map>
#include <string>
#include <vector>

namespace filberthub {

// Number of last writers that a root records.
inline constexpr std::size_t maximum_writers = 16;
// Path of the root in the store.
inline constexpr const char* policy_root_path = "policy/root";

// The author and the revision of a change.
struct change_mark
{
    revision accepted;
    std::string author;
    // Random text of the proposal; the same in each retry of its write.
    std::string nonce;

    bool operator==(const change_mark&) const = default;
};

// A section of the policy.
struct section_entry
{
    // Digest of the body; empty if the section was removed.
    std::string digest;
    change_mark last_change;

    bool operator==(const section_entry&) const = default;
};

// The state of a failure domain or an instance, as set by operators.
struct service_state_entry
{
    bool out_of_service = false;
    change_mark last_change;

    bool operator==(const service_state_entry&) const = default;
};

// One of the last writers, with the subject of its change.
struct root_writer
{
    change_mark mark;
    // For example `section "kartlas"`.
    std::string change;

    bool operator==(const root_writer&) const = default;
};

// The content of `policy/root`. Each write increments the revision. Entries of
// removed sections, and of failure domains and instances that returned to
// service, are kept while their change is among the last writers. A proposal
// with an older base can then report the change that it conflicts with.
struct policy_root
{
    filberthub::revision number;
    // The revision on which the last change was based.
    filberthub::revision base;
    // Nonce of the last writer.
    std::string nonce;
    std::map<section_id, section_entry> sections;
    std::map<failure_domain_id, service_state_entry> domains;
    std::map<instance_id, service_state_entry> instances;
    // Oldest first.
    std::vector<root_writer> writers;

    // Returns the failure domains and instances that are out of service, for
    // `check_policy`.
    operator_state out_of_service() const;

    bool operator==(const policy_root&) const = default;
};

// Reads a root. Throws `error` of kind `bad_policy` if a field is missing,
// unknown or invalid.
policy_root policy_root_from_text(std::string_view text);
// Returns the JSON text that `policy_root_from_text` reads.
std::string to_text(const policy_root& root);

// Bodies of sections by their digest.
using policy_bodies = std::map<std::string, json>;

// Parses the body with this digest. Throws `error` of kind `bad_policy` if the
// text has another digest or is not JSON.
json parse_body(const std::string& digest, std::string_view text);

// Returns the sections of `root` whose bodies are not in `bodies`.
std::vector<section_id> missing_sections(
    const policy_root& root, const policy_bodies& bodies);

// Returns the checked document that `root` describes. Call when no section is
// missing. Throws `error` of kind `bad_policy`.
policy_document assemble(const policy_root& root, const policy_bodies& bodies);

// Returns the store path of the immutable body of a section.
std::string section_path(const section_id& section, const std::string& digest);

} // namespace filberthub

#endif
