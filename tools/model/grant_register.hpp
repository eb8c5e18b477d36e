// The fenced grants of one backend server of the stand-in.
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

// First and last group, both included.
struct group_range
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;

    bool operator==(const group_range&) const = default;
};

inline constexpr group_range all_groups{
    0, std::numeric_limits<std::uint32_t>::max()};

// Reads {"all":true} or an array of [first,last]. Throws `error` of kind
// `bad_request`.
std::vector<group_range> groups_from_json(const json& value);

// Guarantees that the highest token of a group never falls, also after a
// revocation or after the grant has expired.
class grant_register
{
public:
    // Accepts the grant for all of `groups` or for none of them. Returns
    // whether the token is at least the highest one of each group.
    bool grant(const std::vector<group_range>& groups, fencing_token token,
        time_point expires);

    // Ends the grants. Returns false, without an effect, if a group has seen a
    // higher token.
    bool revoke(const std::vector<group_range>& groups, fencing_token token);

    // Whether the group has a grant that has not expired and whose token is at
    // most `token`.
    bool allows(key_group group, fencing_token token, time_point now) const;

    // The highest token that the group has seen; 0 if there is none.
    fencing_token highest(key_group group) const;

private:
    struct record
    {
        fencing_token token;
        // The start of the clock for a revoked grant.
        time_point expires;

        bool operator==(const record&) const = default;
    };
    using record_map = boost::icl::interval_map<std::uint64_t, record>;

    bool set(const std::vector<group_range>& groups, const record& value);

    record_map records_;
};

} // namespace filberthub::tools

#endif
