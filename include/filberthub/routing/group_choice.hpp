// Chooses the group of a request of a service without keys.
//
//     group_choice choice;
//     choice.on_wait(group, wait, now);
//     auto index = choice.choose(pool, service, excluded, random, now);
//
// Designed for about 100 instances that choose at the same moment among a
// handful of groups, with waits that were told up to some hundred milliseconds
// ago.

#ifndef FILBERTHUB_ROUTING_GROUP_CHOICE_HPP
#define FILBERTHUB_ROUTING_GROUP_CHOICE_HPP

#include <filberthub/routing/server_groups.hpp>

#include <map>
#include <span>
#include <string>

namespace filberthub {

// Chooses at random in proportion to the capacity of the groups, so that
// instances with the same information do not all choose the same group. A group
// that told a longer wait than the others is chosen less, by at most
// `max_wait_effect`.
class group_choice
{
public:
    static constexpr double max_wait_effect = 3;

    // To be called with each wait that the gate of a group tells, and with 0
    // for each request that it grants at once.
    void on_wait(const std::string& group, milliseconds wait, time_point now);

    // Returns the number of a group, or nothing if no group has a usable server
    // that is not excluded. `uniform_random` is in [0, 1).
    std::optional<std::size_t> choose(const server_pool& pool,
        const service_id& service, std::span<const backend_server_id> excluded,
        double uniform_random, time_point now) const;

private:
    struct told_wait
    {
        double ms = 0;
        time_point told_at;
    };

    double wait_ms(const std::string& group, time_point now) const;

    std::map<std::string, told_wait> waits_;
};

} // namespace filberthub

#endif
