// Fenced grants of key groups at one backend server of the stand-in.
//
//     grant_register grants;
//     grants.grant(all_groups, fencing_token(7), now + lease);
//     bool live = grants.allows(12, fencing_token(7), now);

#ifndef FILBERTHUB_TOOLS_MODEL_GRANT_REGISTER_HPP
#define FILBERTHUB_TOOLS_MODEL_GRANT_REGISTER_HPP

#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/types.hpp>

#include <boost/icl/interval_map.hpp>

#include <limits>
#include <vector>

namespace filberthub::tools {

// A closed range of key groups.
struct group_range
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;

    bool operator==(const group_range&) const = default;
};

inline constexpr group_range all_groups{
    0, std::numeric_limits<std::uint32_t>::max()};

// Parses {"all":true} or an array of [first,last]. Throws `error` of kind
// `bad_request` if `value` is neither.
std::vector<group_range> groups_from_json(const json& value);

// Guarantees that the highest token of a group never decreases, not even after
// the grant was revoked or has expired.
class grant_register
{
public:
    // Grants all of `groups` until `expires`, and replaces earlier grants.
    // Returns false, without an effect, if a group has seen a higher token.
    bool grant(const std::vector<group_range>& groups, fencing_token token,
        time_point expires);

    // Ends the grants of `groups` and records `token` as seen. Returns false,
    // without an effect, if a group has seen a higher token.
    bool revoke(const std::vector<group_range>& groups, fencing_token token);

    // Returns whether the group has a grant that has not expired and whose
    // token is at most `token`. To be called when a request starts.
    bool allows(key_group group, fencing_token token, time_point now) const;

    // Returns the highest token that the group has seen; 0 if there is none.
    fencing_token highest(key_group group) const;

private:
    struct group_grant
    {
        fencing_token token;
        // The epoch of the clock for a revoked grant.
        time_point expires;

        bool operator==(const group_grant&) const = default;
    };
    using grant_map = boost::icl::interval_map<std::uint64_t, group_grant>;

    bool set(const std::vector<group_range>& groups, const group_grant& value);

    grant_map grants_;
};

} // namespace filberthub::tools

#endif
