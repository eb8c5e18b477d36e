#include <filberthub/telemetry/span.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace filberthub {
namespace {

using nlohmann::json;

constexpr std::size_t maximum_lines = 64;
// STATUS_CODE_ERROR of OTLP.
constexpr int status_code_error = 2;

// OTLP/JSON represents 64-bit integers as strings.
json to_json(const span_value& value)
{
    if (const auto* flag = std::get_if<bool>(&value))
        return {{"boolValue", *flag}};
    if (const auto* number = std::get_if<std::int64_t>(&value))
        return {{"intValue", std::to_string(*number)}};
    return {{"stringValue", std::get<std::string>(value)}};
}

json attribute_json(const std::string& key, const span_value& value)
{
    return {{"key", key}, {"value", to_json(value)}};
}

std::string nanoseconds_text(wall_time time)
{
    return std::to_string(time.time_since_epoch().count());
}

} // namespace

void span::set(std::string_view key, std::string_view value)
{
    if (data_ != nullptr)
        data_->attributes.push_back({std::string(key), std::string(value)});
}

void span::set(std::string_view key, const char* value)
{
    set(key, std::string_view(value));
}

void span::set(std::string_view key, std::int64_t value)
{
    if (data_ != nullptr)
        data_->attributes.push_back({std::string(key), value});
}

void span::set(std::string_view key, bool value)
{
    if (data_ != nullptr)
        data_->attributes.push_back({std::string(key), value});
}

void span::set_error(std::string_view message)
{
    if (data_ == nullptr)
        return;
    data_->has_error = true;
    data_->error = message;
}

span_recorder::span_recorder(
    span_resource resource, span_limits limits, std::uint64_t seed)
    : resource_(std::move(resource)), limits_(limits), ids_(seed)
{
    limits_.batch_size = std::max<std::size_t>(limits_.batch_size, 1);
}

span span_recorder::start(std::string_view traceparent, std::string_view name,
    span_kind kind, wall_time now)
{
    if (const auto parent = trace_context::parse(traceparent))
        return start(*parent, name, kind, now);
    const bool sampled = ids_.sample(limits_.sample_permille);
    return begin(trace_context::start(ids_, sampled), {}, name, kind, now);
}

span span_recorder::start(const trace_context& parent, std::string_view name,
    span_kind kind, wall_time now)
{
    return begin(parent.child(ids_), parent.span, name, kind, now);
}

span span_recorder::begin(trace_context context, const span_id& parent,
    std::string_view name, span_kind kind, wall_time now)
{
    span result;
    result.context_ = context;
    if (!context.sampled)
        return result;
    if (!is_within_rate(now)) {
        ++dropped_;
        return result;
    }
    result.data_ = std::make_unique<span::data>();
    result.data_->name = name;
    result.data_->kind = kind;
    result.data_->parent = parent;
    result.data_->begin = now;
    return result;
}

bool span_recorder::is_within_rate(wall_time now)
{
    const std::int64_t second =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
            .count();
    if (second != current_second_) {
        current_second_ = second;
        started_in_second_ = 0;
    }
    return started_in_second_++ < limits_.maximum_per_second;
}

void span_recorder::finish(span ended, wall_time now)
{
    if (ended.data_ == nullptr)
        return;
    if (lines_.size() >= maximum_lines) {
        ++dropped_;
        return;
    }
    // The system clock may be set back while the span is open.
    ended.data_->end = std::max(now, ended.data_->begin);
    batch_.push_back(std::move(ended));
    if (batch_.size() >= limits_.batch_size)
        flush();
}

std::vector<std::string> span_recorder::take_lines()
{
    return std::exchange(lines_, {});
}

void span_recorder::flush()
{
    if (batch_.empty())
        return;
    json spans = json::array();
    for (const span& item : batch_) {
        const span::data& data = *item.data_;
        json attributes = json::array();
        for (const span::attribute& attribute : data.attributes)
            attributes.push_back(
                attribute_json(attribute.key, attribute.value));
        json entry = {{"traceId", to_hex(item.context_.trace)},
            {"spanId", to_hex(item.context_.span)}, {"name", data.name},
            {"kind", static_cast<int>(data.kind)},
            {"startTimeUnixNano", nanoseconds_text(data.begin)},
            {"endTimeUnixNano", nanoseconds_text(data.end)},
            {"attributes", std::move(attributes)}};
        if (data.parent != span_id{})
            entry["parentSpanId"] = to_hex(data.parent);
        if (data.has_error) {
            entry["status"] = {
                {"code", status_code_error}, {"message", data.error}};
        }
        spans.push_back(std::move(entry));
    }
    batch_.clear();
    const json resource = {{"attributes",
        {attribute_json("service.name", resource_.service),
            attribute_json("service.instance.id", resource_.instance)}}};
    const json request = {{"resourceSpans",
        {{{"resource", resource},
            {"scopeSpans", {{{"scope", {{"name", "filberthub"}}},
                               {"spans", std::move(spans)}}}}}}}};
    // Attributes can contain bytes of a request that are not valid UTF-8.
    lines_.push_back(
        request.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace filberthub
