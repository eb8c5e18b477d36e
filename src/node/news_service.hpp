// Spreads store objects between instances: revisions travel on heartbeats, and
// an instance with an older one pulls the value.
//
//     news.add("fleet", {version, text, adopt});
//     news.on_summary(from, heartbeat.known, now);

#ifndef FILBERTHUB_NODE_NEWS_SERVICE_HPP
#define FILBERTHUB_NODE_NEWS_SERVICE_HPP

#include "node/peer_hub.hpp"

#include <filberthub/base/revision_summary.hpp>

#include <functional>
#include <map>
#include <string>

namespace filberthub {

inline constexpr const char* policy_object = "policy";
inline constexpr const char* fleet_object = "fleet";
inline constexpr const char* ownership_prefix = "ownership/";

// Guarantees that only a value with a higher version than the present one is
// handed to its owner, whatever the order and the source of messages.
class news_service
{
public:
    struct object
    {
        // Version that this instance has; 0 if none.
        std::function<object_version()> version;
        // Text that another instance which has version `known` can adopt.
        std::function<std::string(object_version known)> text;
        // Takes a newer text from an instance. Throws `error` if it is bad.
        std::function<void(object_version, const std::string&)> adopt;
    };

    explicit news_service(peer_hub& hub) : hub_(&hub) {}

    void add(const std::string& name, object value);

    // Returns the versions to be put in heartbeats and acks.
    revision_summary summary() const;

    // To be called with the summary of each heartbeat and ack.
    void on_summary(
        const instance_id& from, const revision_summary& known, time_point now);

    void on_pull(peer_connection& connection, const pull_message& message);
    void on_news(const news_message& message);

private:
    struct entry
    {
        object value;
        time_point last_pull{};
    };

    void pull_if_older(const instance_id& from, const std::string& name,
        object_version version, time_point now);

    peer_hub* hub_;
    std::map<std::string, entry> objects_;
};

} // namespace filberthub

#endif
