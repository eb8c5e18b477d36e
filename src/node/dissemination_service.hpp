// Disseminates store objects between instances. Heartbeats carry the versions,
// and an instance with an older version pulls the value.
//
//     dissemination.add("fleet", {version, text, adopt});
//     dissemination.on_summary(from, heartbeat.known, now);

#ifndef FILBERTHUB_NODE_DISSEMINATION_SERVICE_HPP
#define FILBERTHUB_NODE_DISSEMINATION_SERVICE_HPP

#include "node/peer_hub.hpp"

#include <filberthub/base/revision_summary.hpp>

#include <functional>
#include <map>
#include <string>

namespace filberthub {

inline constexpr const char* policy_object = "policy";
inline constexpr const char* fleet_object = "fleet";
inline constexpr const char* ownership_prefix = "ownership/";

// Guarantees that only a value with a higher version than the current one is
// handed to `object::adopt`, whatever the order and the source of messages.
class dissemination_service
{
public:
    // Access to a store object of this instance.
    struct object
    {
        // Returns the version that this instance has; 0 if none.
        std::function<object_version()> version;
        // Returns a text that an instance which has version `known` can adopt.
        // Called only if `version` is not 0.
        std::function<std::string(object_version known)> text;
        // Adopts a newer text of another instance. Throws `error` if the text
        // is not valid.
        std::function<void(object_version, const std::string&)> adopt;
    };

    explicit dissemination_service(peer_hub& hub) : hub_(&hub) {}

    // Registers an object, or replaces the one of the same name.
    void add(const std::string& name, object value);

    // Returns the versions to put into heartbeats and acks.
    revision_summary summary() const;

    // Call with the summary of each heartbeat and ack. Pulls what is newer.
    void on_summary(
        const instance_id& from, const revision_summary& known, time_point now);

    // Call when another instance pulls an object. Answers on the connection.
    void on_pull(peer_connection& connection, const pull_message& message);
    // Call with the answer to a pull. Logs a value that is not valid.
    void on_pulled_object(const pulled_object_message& message);

private:
    // A registered object and the time of its last pull.
    struct registered_object
    {
        object value;
        time_point last_pull{};
    };

    void pull_if_older(const instance_id& from, const std::string& name,
        object_version version, time_point now);

    peer_hub* hub_;
    std::map<std::string, registered_object> objects_;
};

} // namespace filberthub

#endif
