// What instances tell each other about the coordinator lease, so that one which
// the store turns away finds the coordinator. Internal to `router`.
//
//     exchange->respond(refusal(news));
//     lease_inquiry inquiry(on_news);
//     inquiry.ask(peers, now);

#ifndef FILBERTHUB_ROUTER_LEASE_NEWS_HPP
#define FILBERTHUB_ROUTER_LEASE_NEWS_HPP

#include <filberthub/base/json_reader.hpp>
#include <filberthub/net/http_client.hpp>
#include <filberthub/routing/coordinator_lease.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace filberthub {

// Path at which an instance tells the newest record that it knows.
inline constexpr const char* lease_path = "/lease";

// The lease as an instance has read it, or was told of it.
struct lease_news
{
    lease_record record;
    std::uint64_t store_revision = 0;
};

json encode(const lease_news& news);
// Throws `error` or `json::exception` if the document is malformed.
lease_news decode_lease_news(const json& document);
// Returns nothing if the text is malformed, or from an instance of an earlier
// release, which tells nothing.
std::optional<lease_news> read_lease_news(const std::string& text);

// Asks other instances for the lease, one at a time.
class lease_inquiry
{
public:
    explicit lease_inquiry(std::function<void(const lease_news&)> on_news);

    // Asks the next of these instances, unless the last question is open or was
    // just asked.
    void ask(const std::vector<endpoint>& peers, time_point now);

private:
    std::function<void(const lease_news&)> on_news_;
    std::unique_ptr<http_client> client_;
    bool open_ = false;
    time_point next_;
    std::size_t asked_ = 0;
};

} // namespace filberthub

#endif
