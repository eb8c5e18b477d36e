// What servers say of themselves in their answers, as kept by `server_pool`.

#include <filberthub/routing/server_pool.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// An announcement of a server without an entry is forgotten after this time. A
// lapsed entry is back within seconds of the return of the store.
constexpr std::chrono::hours retention{1};

} // namespace

server_pool::announcement& server_pool::announcement_of(
    const backend_server_id& id, std::uint64_t started, time_point now)
{
    std::erase_if(announcements_, [&](const auto& item) {
        return now >= item.second.announced_at + retention &&
               find(item.first) == nullptr;
    });
    announcement& result = announcements_[id];
    if (result.started != started)
        result = {started, false, {}, now};
    result.announced_at = now;
    return result;
}

// Copies what the present incarnation has said, if anything.
void server_pool::apply_announcement(observed_server& server)
{
    const auto found = announcements_.find(server.entry.id);
    const bool applies = found != announcements_.end() &&
                         found->second.started == server.entry.started;
    server.leaving = applies && found->second.leaving;
    server.rests_until = applies ? found->second.rests_until : time_point{};
}

bool server_pool::set_leaving(
    const backend_server_id& id, std::uint64_t started, time_point now)
{
    observed_server* server = find_mutable(id);
    // An answer of an earlier incarnation says nothing of this one.
    if (server != nullptr && server->entry.started != started)
        return false;
    announcement& stored = announcement_of(id, started, now);
    const bool is_new = !stored.leaving;
    stored.leaving = true;
    if (server != nullptr) {
        apply_announcement(*server);
        record_usability(*server, now);
    }
    return is_new;
}

void server_pool::set_resting(const backend_server_id& id,
    std::uint64_t started, time_point until, time_point now)
{
    observed_server* server = find_mutable(id);
    if (server == nullptr || server->entry.started != started)
        return;
    announcement& stored = announcement_of(id, started, now);
    stored.rests_until = std::max(stored.rests_until, until);
    apply_announcement(*server);
}

std::vector<backend_server_id> server_pool::withdrawn_servers(
    const service_id& service, time_point now) const
{
    std::vector<backend_server_id> result;
    for (const auto& [id, stored] : announcements_) {
        const observed_server* server = find(id);
        if (server != nullptr && server->entry.service == service &&
            !server->entry.draining &&
            (server->leaving || resting(*server, now)))
            result.push_back(id);
    }
    return result;
}

std::map<backend_server_id, std::uint64_t> server_pool::leaving_servers() const
{
    std::map<backend_server_id, std::uint64_t> result;
    for (const auto& [id, stored] : announcements_) {
        const observed_server* server = find(id);
        if (server != nullptr && server->leaving && !server->entry.draining)
            result.emplace(id, stored.started);
    }
    return result;
}

} // namespace filberthub
