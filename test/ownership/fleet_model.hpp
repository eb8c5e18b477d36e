// A model of backend servers that are changed by random events, for the tests
// of the planners.

#ifndef FILBERTHUB_TEST_OWNERSHIP_FLEET_MODEL_HPP
#define FILBERTHUB_TEST_OWNERSHIP_FLEET_MODEL_HPP

#include <filberthub/ownership/planning.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace filberthub::test {

class fleet_model
{
public:
    fleet_model(std::size_t count, std::size_t domains, unsigned seed)
        : domains_(domains), random_(seed)
    {
        for (std::size_t index = 0; index < count; ++index)
            add();
    }

    const std::vector<planned_server>& servers() const
    {
        return servers_;
    }

    void add()
    {
        const std::string number = std::to_string(next_number_++);
        servers_.push_back({backend_server_id("kartlas-" + number),
            failure_domain_id(
                "domain-" + std::to_string(next_number_ % domains_))});
    }

    // Applies an event: 0 loses a server, 1 adds one, 2 changes a capacity, 3
    // takes a failure domain out of service, 4 returns all of them, 5 lets a
    // server leave, any other removes the lost servers. An event that would
    // leave fewer than four servers or fewer than two domains in service has no
    // effect.
    void apply(int event)
    {
        const std::vector<planned_server> unchanged = servers_;
        planned_server& server = servers_[random_() % servers_.size()];
        switch (event) {
        case 0:
            server.state = server_state::lost;
            break;
        case 1:
            add();
            break;
        case 2:
            server.capacity = server.capacity < 1 ? 1 : 0.6;
            break;
        case 3:
            set_domain(server.domain, server_state::domain_out);
            break;
        case 4:
            for (planned_server& other : servers_) {
                if (other.state == server_state::domain_out)
                    other.state = server_state::in_service;
            }
            break;
        case 5:
            server.state = server_state::leaving;
            break;
        default:
            std::erase_if(servers_, [](const planned_server& other) {
                return other.state == server_state::lost;
            });
        }
        std::set<failure_domain_id> domains;
        std::size_t in_service = 0;
        for (const planned_server& other : servers_) {
            if (other.state == server_state::in_service) {
                domains.insert(other.domain);
                ++in_service;
            }
        }
        if (in_service < 4 || domains.size() < 2)
            servers_ = unchanged;
    }

    // Returns random weights between 1 and `skew`.
    group_weights weights(group_count groups, double skew)
    {
        group_weights result(groups);
        std::uniform_real_distribution<double> distribution(1, skew);
        for (std::uint32_t group = 0; group < groups.value(); ++group)
            result.set(key_group(group), distribution(random_));
        return result;
    }

private:
    void set_domain(const failure_domain_id& domain, server_state state)
    {
        for (planned_server& server : servers_) {
            if (server.domain == domain &&
                server.state == server_state::in_service)
                server.state = state;
        }
    }

    std::size_t domains_;
    std::mt19937 random_;
    std::size_t next_number_ = 0;
    std::vector<planned_server> servers_;
};

} // namespace filberthub::test

#endif
