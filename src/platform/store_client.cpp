#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/json_text.hpp>
#include <filberthub/platform/store_client.hpp>
#include <filberthub/telemetry/log.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

#include <charconv>
#include <utility>

namespace filberthub {
namespace {

constexpr milliseconds call_timeout{1000};
constexpr std::size_t max_call_connections = 4;
constexpr std::size_t max_watch_connections = 16;

object_version read_version(const http_response& response)
{
    std::uint64_t number = 0;
    const auto text = response.headers.get("Object-Version");
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), number);
    return object_version(number);
}

store_status status_from_http(int code)
{
    switch (code) {
    case 200:
        return store_status::ok;
    case 304:
        return store_status::unchanged;
    case 404:
        return store_status::not_found;
    case 412:
        return store_status::conflict;
    default:
        return store_status::unavailable;
    }
}

store_reply make_reply(http_result result, time_point started)
{
    store_reply reply;
    reply.started = started;
    if (!result.response) {
        reply.message = std::move(result.message);
        return reply;
    }
    reply.status = status_from_http(result.response->status);
    reply.version = read_version(*result.response);
    if (reply.status == store_status::unavailable)
        reply.message = "status " + std::to_string(result.response->status);
    reply.value = std::move(result.response->body);
    return reply;
}

listed_process process_from_json(json_reader reader)
{
    listed_process process;
    process.id = instance_id(reader.string("id"));
    process.run = incarnation(static_cast<std::uint64_t>(
        reader.integer_or("incarnation", 0, INT64_MAX, 0)));
    process.domain = failure_domain_id(reader.string("domain"));
    process.peer = endpoint_from_string(reader.string("peer"));
    process.caller = endpoint_from_string(reader.string("caller"));
    process.operators = endpoint_from_string(reader.string("operator"));
    process.leaving = reader.string_or("state", "live") == "leaving";
    return process;
}

json to_json(const listed_process& process)
{
    return {{"id", process.id.value()}, {"incarnation", process.run.value()},
        {"domain", process.domain.value()}, {"peer", to_string(process.peer)},
        {"caller", to_string(process.caller)},
        {"operator", to_string(process.operators)},
        {"state", process.leaving ? "leaving" : "live"}};
}

struct decoded_list
{
    std::vector<listed_process> processes;
    // Number of entries that could not be read, which are left out, and why the
    // first of them could not.
    std::size_t rejected = 0;
    std::string first_failure;
};

// Throws `error` if the text is not an array.
decoded_list list_from_text(const std::string& text)
{
    const auto entries = json_elements(text);
    if (!entries) {
        throw error(error_kind::store_unavailable,
            "the instance list is not an array: " + shorten(text));
    }
    decoded_list list;
    for (const std::string_view entry : *entries) {
        try {
            const json document =
                parse_json(entry, error_kind::store_unavailable);
            list.processes.push_back(process_from_json(
                json_reader(document, error_kind::store_unavailable)));
        } catch (const error& failure) {
            if (list.rejected++ == 0)
                list.first_failure = shorten(failure.what());
        }
    }
    return list;
}

} // namespace

store_client::store_client(const endpoint& platform)
    : client_(platform, {.max_connections = max_call_connections}),
      watch_client_(platform, {.max_connections = max_watch_connections})
{}

void store_client::get(const std::string& name, store_callback callback)
{
    http_request request;
    request.target = "/v1/objects/" + name;
    call(std::move(request), call_timeout,
        [callback = std::move(callback)](
            http_result result, time_point started) {
            callback(make_reply(std::move(result), started));
        });
}

void store_client::put(const std::string& name, object_version base,
    std::string value, store_callback callback)
{
    http_request request;
    request.method = "PUT";
    request.target = "/v1/objects/" + name;
    request.headers.add("If-Version", std::to_string(base.value()));
    request.body = std::move(value);
    call(std::move(request), call_timeout,
        [callback = std::move(callback)](
            http_result result, time_point started) {
            callback(make_reply(std::move(result), started));
        });
}

void store_client::watch(const std::string& name, object_version after,
    milliseconds wait, store_callback callback)
{
    ++call_count_;
    http_request request;
    request.target = "/v1/watch/" + name +
                     "?after=" + std::to_string(after.value()) +
                     "&wait_ms=" + std::to_string(wait.count());
    const time_point started = std::chrono::steady_clock::now();
    watch_client_.send(std::move(request), wait + call_timeout,
        [callback = std::move(callback), started](http_result result) {
            callback(make_reply(std::move(result), started));
        });
}

void store_client::list_instances(list_callback callback)
{
    http_request request;
    request.target = "/v1/instances";
    call(std::move(request), call_timeout,
        [this, callback = std::move(callback)](
            const http_result& result, time_point) {
            if (!result.response || result.response->status != 200) {
                callback(false, {});
                return;
            }
            decoded_list list;
            try {
                list = list_from_text(result.response->body);
            } catch (const error& failure) {
                log_event(log_level::warn, "instance list cannot be read",
                    {{log_key::error, failure.what()}});
                callback(false, {});
                return;
            }
            note_rejected_entries(list.rejected, list.first_failure);
            callback(true, std::move(list.processes));
        });
}

// The list is read again and again, so that only a change is logged.
void store_client::note_rejected_entries(
    std::size_t entries, const std::string& first_failure)
{
    count_rejected(rejected_input::instance_entry, entries);
    const std::size_t before = std::exchange(rejected_entries_, entries);
    if (entries == 0 || entries == before)
        return;
    log_event(log_level::warn, "entries of instances cannot be read",
        {{"entries", entries}, {log_key::error, first_failure}});
}

std::uint64_t store_client::rejected_instance_entries()
{
    return rejected_count(rejected_input::instance_entry);
}

void store_client::announce(
    const listed_process& process, store_callback callback)
{
    http_request request;
    request.method = "PUT";
    request.target = "/v1/instances/" + process.id.value();
    request.body = to_json(process).dump();
    call(std::move(request), call_timeout,
        [callback = std::move(callback)](
            http_result result, time_point started) {
            callback(make_reply(std::move(result), started));
        });
}

void store_client::call(http_request request, milliseconds timeout,
    std::function<void(http_result, time_point)> done)
{
    ++call_count_;
    const time_point started = std::chrono::steady_clock::now();
    client_.send(std::move(request), timeout,
        [done = std::move(done), started](
            http_result result) { done(std::move(result), started); });
}

} // namespace filberthub
