// A section of the policy document, which one team owns.
//
//     json body = parse_policy_text(text);
//     policy_section section = check_section(section_id("kartlas"), body);
//     std::string digest = digest_of(canonical_text(body));

#ifndef FILBERTHUB_POLICY_SECTION_HPP
#define FILBERTHUB_POLICY_SECTION_HPP

#include <filberthub/base/json_reader.hpp>
#include <filberthub/policy/service_policy.hpp>

#include <map>
#include <optional>
#include <string>

namespace filberthub {

// The store accepts values of at most 1 MB.
inline constexpr std::size_t maximum_section_bytes = 1'000'000;

// A section that passed the checks of `check_section`. `check_policy` makes the
// checks across sections.
struct policy_section
{
    section_id id;
    // The team that is responsible for the section.
    std::string team;
    std::map<region_id, std::vector<failure_domain_id>> regions;
    std::optional<preference_weights> weights;
    std::map<service_id, service_policy> services;
};

// Parses JSON text. Throws `error` of kind `kind` if the text is not valid
// JSON, if a field occurs twice in one object, of which the JSON library would
// silently keep the last, or if objects and arrays are nested deeper than 16
// levels.
json parse_policy_text(
    std::string_view text, error_kind kind = error_kind::bad_policy);

// Checks one section. Throws `error` of kind `bad_policy` that names the
// section, the field, the value seen and the value expected:
//
//     section "kartlas": field "/services/kartlas/slots": 0 is below the
//     minimum 1
policy_section check_section(const section_id& id, const json& body);

// Returns the canonical text of a section: no spaces, fields sorted by name.
std::string canonical_text(const json& body);

// Returns the 128-bit xxhash of `text` as 32 hexadecimal digits.
std::string digest_of(std::string_view text);

// Throws `error` of kind `bad_policy` unless `name` has 1 to 63 characters of
// a-z, 0-9 and '-'. Names are used in paths of the store and in URLs.
void check_name(const std::string& name, const std::string& where);

} // namespace filberthub

#endif
