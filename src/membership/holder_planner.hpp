// Assigns places in the holder lists of a fleet plan and balances them.
//
//     holder_planner planner(candidates, next_version);
//     planner.fill(lists);
//     planner.append_rebalance_targets(lists);

#ifndef FILBERTHUB_SRC_MEMBERSHIP_HOLDER_PLANNER_HPP
#define FILBERTHUB_SRC_MEMBERSHIP_HOLDER_PLANNER_HPP

#include <filberthub/membership/fleet_planner.hpp>

#include <cstdint>
#include <map>

namespace filberthub::detail {

using holder_lists = std::map<backend_server_id, holder_list>;

// A member that may be added to holder lists, with its current load.
struct candidate
{
    member_key key;
    failure_domain_id domain;
    // Number of lists in which it is first, and number of all its places.
    std::size_t heads = 0;
    std::size_t places = 0;
};

// Fills and balances holder lists. Removes no place and changes no order.
class holder_planner
{
public:
    holder_planner(
        std::vector<candidate> candidates, object_version next_version);

    // Appends places until each list has `holder_list_target` candidates, if
    // there are enough. Call first.
    void fill(holder_lists& lists);

    // Appends a less loaded candidate to the lists of overloaded holders, so
    // that releases can move the holder role to it.
    void append_rebalance_targets(holder_lists& lists);

private:
    std::size_t index_of(const member_key& key) const;
    std::size_t choose(const backend_server_id& server,
        const std::vector<std::size_t>& taken, bool head,
        bool other_domains) const;
    void append(holder_list& list, std::size_t index);

    std::vector<candidate> candidates_;
    std::map<member_key, std::size_t> indexes_;
    // Number of the failure domain of each candidate.
    std::vector<std::size_t> domains_;
    object_version next_version_;
};

} // namespace filberthub::detail

#endif
