// The HTTP side of the platform stand-in; docs/platform-protocol.md describes
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

class platform_service
{
public:
    // Starts to listen. Throws `error` of kind `bad_settings`.
    explicit platform_service(const endpoint& address);

    // Stores an object before the first call.
    void seed(const std::string& name, std::string value);

    // The store, to be filled before the first call.
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
    void route(const exchange_pointer& exchange, const split_target& target);
    void get_object(const exchange_pointer& exchange, const std::string& name);
    void put_object(const exchange_pointer& exchange, const std::string& name);
    void watch(const exchange_pointer& exchange, const std::string& name,
        const split_target& target);
    void list(const exchange_pointer& exchange, const std::string& prefix);
    void instance(const exchange_pointer& exchange, const std::string& id);
    void control(const exchange_pointer& exchange);

    // Whether an object call is served; it is answered otherwise.
    bool admit(const exchange_pointer& exchange, call_rate& rate);
    void answer_watches(const std::string& name);
    void expire_watches();
    void refuse_watches();
    void arm_watch_timer();
    // Answers after the set latency.
    void answer(const exchange_pointer& exchange, http_response response);
    void after_latency(std::function<void()> action);
    http_response object_response(const std::string& name) const;
    json calls() const;

    object_store store_;
    instance_list instances_;
    call_rate reads_;
    call_rate writes_;
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
