// HTTP interface of the platform stand-in. docs/platform-protocol.md describes
// the calls.
//
//     platform_service service({"127.0.0.1", 7000});

#ifndef FILBERTHUB_TOOLS_PLATFORM_STANDIN_PLATFORM_SERVICE_HPP
#define FILBERTHUB_TOOLS_PLATFORM_STANDIN_PLATFORM_SERVICE_HPP

#include "tools/common/http_tools.hpp"
#include "tools/common/precise_timer.hpp"
#include "tools/model/instance_list.hpp"
#include "tools/model/object_store.hpp"

#include <filberthub/net/http_listener.hpp>

#include <functional>
#include <list>
#include <map>

namespace filberthub::tools {

// Listens from its construction on. Counts the calls of the object store and of
// the instance list, including those that it refuses.
class platform_service
{
public:
    // Starts to listen. Throws `error` of kind `bad_settings` if that fails.
    explicit platform_service(const endpoint& address);

    // Stores an object. To be called before the event loop runs. Throws `error`
    // of kind `bad_settings` if the value is too large.
    void seed(const std::string& name, std::string value);

    // Returns the store, to be filled before the event loop runs.
    object_store& objects()
    {
        return store_;
    }

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    struct pending_watch
    {
        exchange_pointer exchange;
        std::string name;
        object_version after;
        time_point until;
    };

    void handle(const exchange_pointer& exchange);
    void route(const exchange_pointer& exchange, const request_target& target);
    void get_object(const exchange_pointer& exchange, const std::string& name);
    void put_object(const exchange_pointer& exchange, const std::string& name);
    void watch_object(const exchange_pointer& exchange, const std::string& name,
        const request_target& target);
    void list_objects(
        const exchange_pointer& exchange, const std::string& prefix);
    void handle_instance(
        const exchange_pointer& exchange, const std::string& id);
    void handle_control(const exchange_pointer& exchange);

    // Returns whether a call of the object store is served. If it is not, the
    // call is answered with the reason: an outage or an exceeded rate.
    bool admit(const exchange_pointer& exchange, rate_limiter& rate);
    // Answers the pending watches of an object that has changed.
    void answer_watches(const std::string& name);
    // Answers the watches whose waiting time is over.
    void expire_watches();
    // Answers all pending watches with the error of an outage.
    void refuse_watches();
    void arm_watch_timer();
    // Sends the answer after the configured latency.
    void answer(const exchange_pointer& exchange, http_response response);
    // Runs `action` after the configured latency. Also runs all earlier actions
    // that are due, and may be called without an action for that.
    void run_after_latency(std::function<void()> action);
    http_response object_response(const std::string& name) const;
    json call_counters() const;

    object_store store_;
    instance_list instances_;
    rate_limiter reads_;
    rate_limiter writes_;
    std::list<pending_watch> watches_;
    std::map<std::string, std::uint64_t> counters_;
    std::multimap<time_point, std::function<void()>> delayed_;
    milliseconds latency_{0};
    bool outage_ = false;
    precise_timer watch_timer_;
    precise_timer delay_timer_;
    http_listener listener_;
};

} // namespace filberthub::tools

#endif
