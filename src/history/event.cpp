#include <filberthub/base/json_reader.hpp>
#include <filberthub/history/event.hpp>

#include <algorithm>
#include <array>

namespace filberthub {

namespace {

constexpr std::array<std::string_view, 14> kind_names = {"request", "dispatch",
    "execute", "own", "assigned", "assignment_read", "loss", "cold",
    "domain_out", "leaving", "shutdown", "revision_accepted",
    "revision_adopted", "running"};

constexpr std::array<outcome, 3> outcomes = {
    outcome::done, outcome::not_run, outcome::unknown};

time_point time_in(json_reader& reader, const std::string& field)
{
    return time_point(duration(reader.integer(field, 0, INT64_MAX)));
}

std::uint64_t unsigned_in(json_reader& reader, const std::string& field)
{
    const json& seen = reader.value(field);
    if (!seen.is_number_unsigned())
        reader.fail(field, seen.dump() + " is not an unsigned integer");
    return seen.get<std::uint64_t>();
}

event_kind kind_in(json_reader& reader)
{
    const std::string name = reader.string("what");
    const auto* const found = std::ranges::find(kind_names, name);
    if (found == kind_names.end())
        reader.fail("what", "\"" + name + "\" is not a kind of event");
    return static_cast<event_kind>(found - kind_names.begin());
}

outcome outcome_in(json_reader& reader)
{
    const std::string name = reader.string("result");
    for (const outcome value : outcomes) {
        if (to_string(value) == name)
            return value;
    }
    reader.fail("result", "\"" + name + "\" is not an outcome");
}

error_kind error_in(json_reader& reader)
{
    const std::string name = reader.string("error");
    for (std::size_t number = 0; number < error_kind_count; ++number) {
        const auto kind = static_cast<error_kind>(number);
        if (answer_for(kind).name == name)
            return kind;
    }
    reader.fail("error", "\"" + name + "\" is not a kind of error");
}

} // namespace

std::string_view to_string(event_kind value)
{
    return kind_names.at(static_cast<std::size_t>(value));
}

std::string encode_line(const history_event& event)
{
    json object = {{"who", event.who}, {"what", to_string(event.what)},
        {"invoke", event.invoke.time_since_epoch().count()}};
    const auto text = [&](const char* field, const std::string& value) {
        if (!value.empty())
            object[field] = value;
    };
    const auto number = [&](const char* field, const auto& value) {
        if (value)
            object[field] = value->value();
    };
    if (event.returned)
        object["return"] = event.returned->time_since_epoch().count();
    if (event.result)
        object["result"] = to_string(*event.result);
    if (event.error)
        object["error"] = answer_for(*event.error).name;
    number("token", event.token);
    text("request", event.request.value());
    text("service", event.service.value());
    text("key", event.key);
    number("group", event.group);
    text("instance", event.instance.value());
    text("server", event.server.value());
    text("domain", event.domain.value());
    number("document", event.document);
    text("digest", event.digest);
    text("expected_digest", event.expected_digest);
    if (!event.idempotent)
        object["idempotent"] = false;
    if (!event.tolerated)
        object["tolerated"] = false;
    if (event.limit)
        object["limit"] = *event.limit;
    // Keys are set by callers and may be invalid UTF-8.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

history_event decode_line(std::string_view line)
{
    const json object = parse_json(line, error_kind::internal);
    json_reader reader(object, error_kind::internal);
    history_event event;
    event.who = reader.string("who");
    event.what = kind_in(reader);
    event.invoke = time_in(reader, "invoke");
    if (reader.has("return"))
        event.returned = time_in(reader, "return");
    if (event.returned && *event.returned < event.invoke)
        reader.fail("return", "it is before \"invoke\"");
    if (reader.has("result"))
        event.result = outcome_in(reader);
    if (reader.has("error"))
        event.error = error_in(reader);
    if (reader.has("token"))
        event.token = fencing_token(unsigned_in(reader, "token"));
    event.request = request_id(reader.string_or("request", ""));
    event.service = service_id(reader.string_or("service", ""));
    event.key = reader.string_or("key", "");
    if (reader.has("group"))
        event.group = key_group(
            static_cast<std::uint32_t>(reader.integer("group", 0, UINT32_MAX)));
    event.instance = instance_id(reader.string_or("instance", ""));
    event.server = backend_server_id(reader.string_or("server", ""));
    event.domain = failure_domain_id(reader.string_or("domain", ""));
    if (reader.has("document"))
        event.document = revision(unsigned_in(reader, "document"));
    event.digest = reader.string_or("digest", "");
    event.expected_digest = reader.string_or("expected_digest", "");
    event.idempotent = reader.boolean_or("idempotent", true);
    event.tolerated = reader.boolean_or("tolerated", true);
    if (reader.has("limit"))
        event.limit =
            static_cast<std::uint32_t>(reader.integer("limit", 0, UINT32_MAX));
    reader.finish();
    return event;
}

std::vector<history_event> decode_history(std::string_view text)
{
    std::vector<history_event> events;
    for (std::size_t number = 1; !text.empty(); ++number) {
        const std::size_t end = text.find('\n');
        if (end == std::string_view::npos)
            break;
        try {
            events.push_back(decode_line(text.substr(0, end)));
        } catch (const error& failure) {
            throw error(error_kind::internal,
                "line " + std::to_string(number) + ": " + failure.what());
        }
        text.remove_prefix(end + 1);
    }
    return events;
}

std::vector<history_event> merge_histories(
    std::span<const std::vector<history_event>> histories)
{
    std::vector<history_event> merged;
    for (const std::vector<history_event>& history : histories)
        merged.insert(merged.end(), history.begin(), history.end());
    std::ranges::stable_sort(merged, {}, &history_event::invoke);
    return merged;
}

} // namespace filberthub
