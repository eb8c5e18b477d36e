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

// Result of a call to the store.
enum class store_status : std::uint8_t
{
    ok,
    // The object does not exist.
    not_found,
    // The object did not have the expected version; nothing was changed.
    conflict,
    // No answer, or an error of the store. An update may have been applied.
    unavailable,
    // The object did not change within the waiting time of a watch.
    unchanged
};

struct store_reply
{
    store_status status = store_status::unavailable;
    // Current version of the object, or 0 if the reply does not contain it.
    object_version version;
    std::string value;
    // Start of the call. The store read the object at this time or later, so
    // the age of what the reply confirms is counted from here.
    time_point started;
    // Reason for `unavailable`.
    std::string message;
};

// An entry of the platform's instance list. The list may be out of date.
struct listed_process
{
    instance_id id;
    incarnation run;
    failure_domain_id domain;
    // Addresses for other instances, for callers and for operators.
    endpoint peer;
    endpoint caller;
    endpoint operators;
    bool leaving = false;
};

using store_callback = std::function<void(store_reply)>;
// `available` is false if the list could not be read.
using list_callback =
    std::function<void(bool available, std::vector<listed_process>)>;

// Guarantees that each call ends with exactly one callback, which reports
// `unavailable` if the platform does not answer in time. Failed calls are not
// retried. All functions are called on the thread of the Qt event loop.
class store_client
{
public:
    explicit store_client(const endpoint& platform);

    // Reads the object `name`.
    void get(const std::string& name, store_callback callback);

    // Writes `value` if the object has the version `base`. A `base` of 0
    // creates the object and requires that it does not exist.
    void put(const std::string& name, object_version base, std::string value,
        store_callback callback);

    // Waits up to `wait` for a version newer than `after`. Reports `unchanged`
    // if there is none.
    void watch(const std::string& name, object_version after, milliseconds wait,
        store_callback callback);

    // Reads the platform's instance list. An entry that cannot be read is left
    // out.
    void list_instances(list_callback callback);

    // Adds or renews the entry of this process in the instance list. Only the
    // platform stand-in needs this call: the real platform knows its instances.
    void announce(const listed_process& process, store_callback callback);

    // Number of calls made so far, for the metric of the load on the platform.
    std::uint64_t calls() const
    {
        return call_count_;
    }

    // Number of entries of the instance list that could not be read, of all
    // clients of this process.
    static std::uint64_t rejected_instance_entries();

private:
    void call(http_request request, milliseconds timeout,
        std::function<void(http_result, time_point)> done);
    void note_rejected_entries(
        std::size_t entries, const std::string& first_failure);

    http_client client_;
    // Watches use connections of their own, because a waiting watch would delay
    // other calls on a shared connection.
    http_client watch_client_;
    std::uint64_t call_count_ = 0;
    // Number of entries of the last instance list that could not be read.
    std::size_t rejected_entries_ = 0;
};

} // namespace filberthub

#endif
