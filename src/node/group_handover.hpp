// Which groups of a held server may be served, and which of its former groups
// have to be released.

#ifndef FILBERTHUB_NODE_GROUP_HANDOVER_HPP
#define FILBERTHUB_NODE_GROUP_HANDOVER_HPP

#include <filberthub/ownership/ownership_table.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace filberthub {

// A group that moved away from a server and is not known as released.
struct departed_group
{
    key_group group;
    group_token token;
    // The server that owns the group now.
    backend_server_id successor;
};

// Guarantees that a group is served only after each server that owned it
// earlier has released it under the present token, or under a later one.
class group_handover
{
public:
    explicit group_handover(backend_server_id server)
        : server_(std::move(server))
    {}

    // To be called with each newer table.
    void adopt(const ownership_table& table);

    // Takes the release of a group by the holder of `from`.
    void on_released(
        key_group group, group_token token, const backend_server_id& from);

    // Whether the group may be served under this token.
    bool serves(key_group group, group_token token) const;

    // Groups that may be served, by token.
    const std::map<std::uint32_t, std::vector<key_group>>& ready() const
    {
        return ready_;
    }

    // Groups that this server has to release.
    const std::vector<departed_group>& departed() const
    {
        return departed_;
    }

    // Owned groups that wait for a release.
    std::size_t waiting() const
    {
        return waiting_.size();
    }

private:
    struct awaited
    {
        group_token token;
        std::set<backend_server_id> servers;
    };

    void make_ready(key_group group, group_token token);

    backend_server_id server_;
    std::map<std::uint32_t, std::vector<key_group>> ready_;
    std::map<key_group, group_token> ready_tokens_;
    std::map<key_group, awaited> waiting_;
    std::vector<departed_group> departed_;
};

} // namespace filberthub

#endif
