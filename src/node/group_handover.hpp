// Decides which key groups a held server may serve, and which of its former
// groups it has to release.
//
//     handover.adopt(table);
//     if (handover.serves(group, token)) ...

#ifndef FILBERTHUB_NODE_GROUP_HANDOVER_HPP
#define FILBERTHUB_NODE_GROUP_HANDOVER_HPP

#include <filberthub/ownership/ownership_table.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace filberthub {

// A group that moved away from a server and is not known to be released.
struct departed_group
{
    key_group group;
    group_token token;
    // The server that owns the group now.
    backend_server_id successor;
};

// The groups of one server. Guarantees that a group is served only after each
// server that owned it earlier has released it under the current token or a
// later one.
class group_handover
{
public:
    explicit group_handover(backend_server_id server)
        : server_(std::move(server))
    {}

    // Call with each newer table.
    void adopt(const ownership_table& table);

    // Call when the holder of `from` reports that it released a group.
    void on_released(
        key_group group, group_token token, const backend_server_id& from);

    // Returns whether the group may be served under this token.
    bool serves(key_group group, group_token token) const;

    // Returns the groups that may be served, by token and in ascending order.
    const std::map<std::uint32_t, std::vector<key_group>>& ready() const
    {
        return ready_;
    }

    // Returns the groups that this server has to release.
    const std::vector<departed_group>& departed() const
    {
        return departed_;
    }

    // Returns the number of owned groups that wait for a release.
    std::size_t waiting() const
    {
        return waiting_.size();
    }

private:
    // The servers whose release of a group is awaited.
    struct awaited_releases
    {
        group_token token;
        std::set<backend_server_id> servers;
    };

    void make_ready(key_group group, group_token token);

    backend_server_id server_;
    std::map<std::uint32_t, std::vector<key_group>> ready_;
    std::map<key_group, group_token> ready_tokens_;
    std::map<key_group, awaited_releases> waiting_;
    std::vector<departed_group> departed_;
};

} // namespace filberthub

#endif
