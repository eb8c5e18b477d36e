#include "tools/platform_standin/platform_service.hpp"

#include <algorithm>

namespace filberthub::tools {
namespace {

constexpr std::string_view objects_path = "/v1/objects/";
constexpr std::string_view watch_path = "/v1/watch/";
constexpr std::string_view instances_path = "/v1/instances/";
constexpr std::uint64_t max_wait_ms = 300'000;
constexpr std::int64_t max_control_ms = 3'600'000;
// Limits calls per second and the number of lost replies.
constexpr std::int64_t max_rate = 1'000'000;

std::string version_text(object_version version)
{
    return std::to_string(version.value());
}

} // namespace

platform_service::platform_service(const endpoint& address)
    : watch_timer_([this] { expire_watches(); }),
      delay_timer_([this] { run_after_latency(nullptr); }),
      listener_(
          {}, [this](const exchange_pointer& exchange) { handle(exchange); })
{
    listener_.listen(address);
}

void platform_service::seed(const std::string& name, std::string value)
{
    if (store_.put(name, std::move(value), std::nullopt).status !=
        put_status::applied) {
        throw error(error_kind::bad_settings,
            "the object \"" + name + "\" has more than " +
                std::to_string(object_store::max_value_bytes) + " bytes");
    }
}

void platform_service::handle(const exchange_pointer& exchange)
{
    try {
        route(exchange, request_target(exchange->request().target));
    } catch (const error& failure) {
        answer(exchange, message_response(400, failure.what()));
    }
}

void platform_service::route(
    const exchange_pointer& exchange, const request_target& target)
{
    const std::string& method = exchange->request().method;
    const std::string& path = target.path;
    const bool get = method == "GET";
    const bool put = method == "PUT";
    if (path.starts_with(objects_path) && get)
        get_object(exchange, path.substr(objects_path.size()));
    else if (path.starts_with(objects_path) && put)
        put_object(exchange, path.substr(objects_path.size()));
    else if (path.starts_with(watch_path) && get)
        watch_object(exchange, path.substr(watch_path.size()), target);
    else if (path == "/v1/list" && get)
        list_objects(exchange, target.value("prefix"));
    else if (path == "/v1/instances" && get) {
        ++counters_["instances_get"];
        answer(exchange, json_response(200, instances_.view(steady_now())));
    } else if (path.starts_with(instances_path))
        handle_instance(exchange, path.substr(instances_path.size()));
    else if (path == "/v1/calls" && get)
        exchange->respond(json_response(200, call_counters()));
    else if (path == "/v1/control" && method == "POST")
        handle_control(exchange);
    else
        answer(
            exchange, message_response(404, "no call " + method + " " + path));
}

bool platform_service::admit(
    const exchange_pointer& exchange, rate_limiter& rate)
{
    if (outage_) {
        ++counters_["refused_outage"];
        answer(exchange, message_response(503, "outage"));
        return false;
    }
    if (!rate.try_acquire(steady_now())) {
        ++counters_["refused_rate"];
        answer(exchange, message_response(429, "too many calls per second"));
        return false;
    }
    return true;
}

void platform_service::get_object(
    const exchange_pointer& exchange, const std::string& name)
{
    ++counters_["get"];
    if (admit(exchange, reads_))
        answer(exchange, object_response(name));
}

void platform_service::put_object(
    const exchange_pointer& exchange, const std::string& name)
{
    ++counters_["put"];
    if (!admit(exchange, writes_))
        return;
    http_request& request = exchange->request();
    std::optional<object_version> expected;
    if (const auto text = request.headers.get("If-Version"))
        expected = object_version(parse_number("If-Version", *text));
    const put_result result =
        store_.put(name, std::move(request.body), expected);
    http_response response;
    response.headers.add("Object-Version", version_text(result.version));
    if (result.status == put_status::version_mismatch) {
        ++counters_["put_mismatch"];
        response.status = 412;
    } else if (result.status == put_status::too_large) {
        response.status = 413;
    } else {
        answer_watches(name);
    }
    if (result.reply_lost) {
        ++counters_["replies_lost"];
        run_after_latency([exchange] { exchange->abort(); });
        return;
    }
    answer(exchange, std::move(response));
}

void platform_service::watch_object(const exchange_pointer& exchange,
    const std::string& name, const request_target& target)
{
    ++counters_["watch"];
    const object_version after(parse_number("after", target.value("after")));
    const std::uint64_t wait = parse_number("wait_ms", target.value("wait_ms"));
    if (!admit(exchange, reads_))
        return;
    if (store_.version_of(name) > after) {
        answer(exchange, object_response(name));
        return;
    }
    watches_.push_back({exchange, name, after,
        steady_now() + milliseconds(std::min(wait, max_wait_ms))});
    const auto added = std::prev(watches_.end());
    exchange->on_cancelled([this, added] { watches_.erase(added); });
    arm_watch_timer();
}

void platform_service::list_objects(
    const exchange_pointer& exchange, const std::string& prefix)
{
    ++counters_["list"];
    if (!admit(exchange, reads_))
        return;
    json body = json::array();
    for (const auto& [name, version] : store_.list(prefix))
        body.push_back({{"name", name}, {"version", version.value()}});
    answer(exchange, json_response(200, body));
}

void platform_service::handle_instance(
    const exchange_pointer& exchange, const std::string& id)
{
    const http_request& request = exchange->request();
    if (request.method == "PUT") {
        ++counters_["instances_put"];
        const json entry = parse_json(request.body, error_kind::bad_request);
        instances_.renew(instance_id(id), entry, steady_now());
    } else if (request.method == "DELETE") {
        ++counters_["instances_delete"];
        instances_.remove(instance_id(id), steady_now());
    } else {
        answer(exchange,
            message_response(404, "no call " + request.method + " instance"));
        return;
    }
    answer(exchange, json_response(200, json::object()));
}

void platform_service::handle_control(const exchange_pointer& exchange)
{
    const json document =
        parse_json(exchange->request().body, error_kind::bad_request);
    json_reader reader(document, error_kind::bad_request);
    const bool outage = reader.boolean_or("outage", outage_);
    const auto latency =
        reader.integer_or("latency_ms", 0, max_control_ms, latency_.count());
    const auto lost = reader.integer_or("lose_replies", 0, max_rate, -1);
    const auto lag = reader.integer_or("list_lag_ms", 0, 60'000, -1);
    const auto writes = reader.integer_or("writes_per_s", 0, max_rate, -1);
    const auto reads = reader.integer_or("reads_per_s", 0, max_rate, -1);
    reader.finish();
    outage_ = outage;
    latency_ = milliseconds(latency);
    if (lost >= 0)
        store_.lose_replies(static_cast<std::uint64_t>(lost));
    if (lag >= 0)
        instances_.set_lag(milliseconds(lag));
    if (writes >= 0)
        writes_.set(static_cast<double>(writes));
    if (reads >= 0)
        reads_.set(static_cast<double>(reads));
    if (outage_)
        refuse_watches();
    exchange->respond(json_response(200, json::object()));
}

void platform_service::answer_watches(const std::string& name)
{
    for (auto item = watches_.begin(); item != watches_.end();) {
        const auto current = item++;
        if (current->name != name)
            continue;
        const exchange_pointer exchange = current->exchange;
        watches_.erase(current);
        exchange->on_cancelled(nullptr);
        answer(exchange, object_response(name));
    }
}

void platform_service::expire_watches()
{
    const time_point now = steady_now();
    for (auto item = watches_.begin(); item != watches_.end();) {
        const auto current = item++;
        if (current->until > now)
            continue;
        const exchange_pointer exchange = current->exchange;
        http_response response;
        response.status = 304;
        response.headers.add(
            "Object-Version", version_text(store_.version_of(current->name)));
        watches_.erase(current);
        exchange->on_cancelled(nullptr);
        answer(exchange, std::move(response));
    }
    arm_watch_timer();
}

void platform_service::refuse_watches()
{
    std::list<pending_watch> refused;
    refused.swap(watches_);
    for (const pending_watch& item : refused) {
        item.exchange->on_cancelled(nullptr);
        ++counters_["refused_outage"];
        answer(item.exchange, message_response(503, "outage"));
    }
}

void platform_service::arm_watch_timer()
{
    const auto first = std::min_element(watches_.begin(), watches_.end(),
        [](const auto& left, const auto& right) {
            return left.until < right.until;
        });
    if (first != watches_.end())
        watch_timer_.start(first->until);
}

void platform_service::answer(
    const exchange_pointer& exchange, http_response response)
{
    if (latency_.count() == 0) {
        exchange->respond(std::move(response));
        return;
    }
    run_after_latency([exchange, late = std::move(response)]() mutable {
        exchange->respond(std::move(late));
    });
}

void platform_service::run_after_latency(std::function<void()> action)
{
    const time_point now = steady_now();
    if (action)
        delayed_.emplace(now + latency_, std::move(action));
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
        const auto due = delayed_.extract(delayed_.begin());
        due.mapped()();
    }
    if (!delayed_.empty())
        delay_timer_.start(delayed_.begin()->first);
}

http_response platform_service::object_response(const std::string& name) const
{
    http_response response;
    const stored_object* object = store_.find(name);
    response.status = object == nullptr ? 404 : 200;
    response.headers.add("Object-Version",
        version_text(object == nullptr ? object_version(0) : object->version));
    if (object != nullptr)
        response.body = object->value;
    return response;
}

json platform_service::call_counters() const
{
    json result = json::object();
    for (const char* name : {"get", "put", "put_mismatch", "watch", "list",
             "instances_get", "instances_put", "instances_delete",
             "refused_rate", "refused_outage", "replies_lost"}) {
        const auto found = counters_.find(name);
        result[name] = found == counters_.end() ? 0 : found->second;
    }
    result["pending_watches"] = watches_.size();
    return result;
}

} // namespace filberthub::tools
