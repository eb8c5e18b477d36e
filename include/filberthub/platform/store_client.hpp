// Client of the platform's object store and instance list.
//
//     store_client store({"127.0.0.1", 9100});
//     store.put("policy/root", base, text, [](store_reply reply) { ... });
//
// The protocol is described in docs/platform-protocol.md.

#ifndef FILBERTHUB_PLATFORM_STORE_CLIENT_HPP
#define FILBERTHUB_PLATFORM_STORE_CLIENT_HPP

#include <filberthub/net/http_client.hpp>

#include <functional>
#include <string>
#include <vector>

namespace filberthub {

enum class store_status : std::uint8_t
{
    ok,
    // The object does not exist.
    not_found,
    // The condition of an update did not hold; nothing was changed.
    conflict,
    // No answer, or an error of the store. An update may have been applied.
    unavailable,
    // The wait of a watch ended without a change.
    unchanged
};

struct store_reply
{
    store_status status = store_status::unavailable;
    // Current version of the object, if the store told it.
    object_version version;
    std::string value;
    // When the call began. A confirmation by the store is no younger.
    time_point started;
    std::string message;
};

// An entry of the platform's instance list, which lags.
struct listed_process
{
    instance_id id;
    incarnation run;
    failure_domain_id domain;
    endpoint peer;
    endpoint caller;
    endpoint operators;
    bool leaving = false;
};

using store_callback = std::function<void(store_reply)>;
using list_callback =
    std::function<void(bool available, std::vector<listed_process>)>;

// Each call ends with exactly one callback, with `unavailable` if the platform
// does not answer in time. Nothing is repeated. All calls are made on the
// thread of the Qt event loop.
class store_client
{
public:
    explicit store_client(const endpoint& platform);

    void get(const std::string& name, store_callback callback);

    // Writes `value` if the object has version `base`; 0 means that it must not
    // exist yet.
    void put(const std::string& name, object_version base, std::string value,
        store_callback callback);

    // Waits up to `wait` for a version above `after`.
    void watch(const std::string& name, object_version after, milliseconds wait,
        store_callback callback);

    void list_instances(list_callback callback);

    // Adds or renews the entry of this process. The real platform knows its
    // instances; the stand-in learns them from this call.
    void announce(const listed_process& process, store_callback callback);

    // Number of calls made so far, for the metric of the platform's load.
    std::uint64_t calls() const
    {
        return call_count_;
    }

private:
    void call(http_request request, milliseconds timeout,
        std::function<void(http_result, time_point)> done);

    http_client client_;
    // A waiting watch would hold up other calls on a shared connection.
    http_client watches_;
    std::uint64_t call_count_ = 0;
};

} // namespace filberthub

#endif
