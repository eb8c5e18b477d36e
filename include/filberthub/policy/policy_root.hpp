// The root object of the policy in the store: the revision, the digest of each
// section, what is out of service, and the last writers.
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

inline constexpr std::size_t maximum_writers = 16;
inline constexpr const char* policy_root_path = "policy/root";

// Who changed something, and in which revision.
struct change_mark
{
    revision accepted;
    std::string author;
    // Random text of the proposal; the same in each repeat of its write.
    std::string nonce;

    bool operator==(const change_mark&) const = default;
};

struct section_entry
{
    // Digest of the body; empty once the section was removed.
    std::string digest;
    change_mark last_change;

    bool operator==(const section_entry&) const = default;
};

struct service_state_entry
{
    bool out_of_service = false;
    change_mark last_change;

    bool operator==(const service_state_entry&) const = default;
};

// One of the last writers, with a text that names what it changed.
struct root_writer
{
    change_mark mark;
    // For example `section "kartlas"`.
    std::string change;

    bool operator==(const root_writer&) const = default;
};

// The content of `policy/root`. Each write raises the revision by one. Entries
// of removed sections and of returned domains and instances are kept while
// their change is among the last writers, so that a proposal with an older base
// is told what won.
struct policy_root
{
    filberthub::revision number;
    // The revision that the last change was made on.
    filberthub::revision base;
    // Nonce of the last writer.
    std::string nonce;
    std::map<section_id, section_entry> sections;
    std::map<failure_domain_id, service_state_entry> domains;
    std::map<instance_id, service_state_entry> instances;
    // Oldest first.
    std::vector<root_writer> writers;

    // Returns what is out of service, for `check_policy`.
    operator_state out_of_service() const;

    bool operator==(const policy_root&) const = default;
};

// Reads a root. Throws `error` of kind `bad_policy` if a field is missing,
// unknown or impossible.
policy_root policy_root_from_text(std::string_view text);
std::string to_text(const policy_root& root);

// Bodies of sections by their digest.
using policy_bodies = std::map<std::string, json>;

// Parses the body with this digest. Throws `error` of kind `bad_policy` if the
// text has another digest or is not JSON.
json parse_body(const std::string& digest, std::string_view text);

// Returns the sections of `root` whose bodies are not in `bodies`.
std::vector<section_id> missing_sections(
    const policy_root& root, const policy_bodies& bodies);

// Returns the checked document that `root` describes. To be called once no
// section is missing. Throws `error` of kind `bad_policy`.
policy_document assemble(const policy_root& root, const policy_bodies& bodies);

// Returns the store path of the immutable body of a section.
std::string section_path(const section_id& section, const std::string& digest);

} // namespace filberthub

#endif
