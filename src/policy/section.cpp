#include <filberthub/policy/section.hpp>
#include <policy/detail/read_endpoint.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace filberthub {
namespace {

// The peer protocol limits bodies to 32 MiB, so a policy cannot allow more.
constexpr std::int64_t maximum_body_bytes_limit = 32LL * 1024 * 1024;
// Nesting levels of a policy text.
constexpr std::size_t maximum_depth = 16;
constexpr std::size_t maximum_message_bytes = 1000;

std::uint32_t read_count(json_reader& reader, const std::string& field,
    std::uint32_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    return static_cast<std::uint32_t>(
        reader.integer_or(field, minimum, maximum, fallback));
}

std::string read_name(json_reader& reader, const std::string& field)
{
    std::string name = reader.string(field);
    check_name(name, "field \"" + reader.path() + "/" + field + "\"");
    return name;
}

routing read_routing(json_reader& reader)
{
    const std::string text = reader.string("routing");
    if (text == to_string(routing::by_key))
        return routing::by_key;
    if (text != to_string(routing::any))
        reader.fail("routing", "\"" + text + "\" is none of by_key, any");
    return routing::any;
}

priority read_priority(json_reader& reader)
{
    const std::string text = reader.string("default_priority");
    try {
        return priority_from_string(text);
    } catch (const error& failure) {
        reader.fail("default_priority", failure.what());
    }
}

std::vector<backend_server> read_servers(json_reader& reader)
{
    std::vector<backend_server> servers;
    for (json_reader& item : reader.objects("backend_servers")) {
        backend_server server;
        server.id = backend_server_id(read_name(item, "id"));
        server.address = detail::read_endpoint(item, "address");
        server.domain = failure_domain_id(read_name(item, "failure_domain"));
        item.finish();
        servers.push_back(std::move(server));
    }
    if (servers.empty()) {
        reader.fail(
            "backend_servers", "0 servers are below the minimum of 1 server");
    }
    return servers;
}

void read_deadlines(json_reader& reader, service_policy& service)
{
    const std::int64_t maximum =
        reader.integer("maximum_deadline_ms", 1, 600'000);
    const std::int64_t fallback =
        reader.integer("default_deadline_ms", 1, 600'000);
    if (fallback > maximum) {
        reader.fail("default_deadline_ms",
            std::to_string(fallback) + " is above maximum_deadline_ms " +
                std::to_string(maximum));
    }
    service.maximum_deadline = milliseconds(maximum);
    service.default_deadline = milliseconds(fallback);
}

void read_cold_start(json_reader reader, service_policy& service)
{
    cold_start_policy& limits = service.cold_start;
    limits.first_limit =
        read_count(reader, "first_limit", limits.first_limit, 1, service.slots);
    limits.good_percent =
        read_count(reader, "good_percent", limits.good_percent, 100, 10'000);
    limits.cold_percent =
        read_count(reader, "cold_percent", limits.cold_percent, 100, 10'000);
    if (limits.cold_percent < limits.good_percent) {
        reader.fail("cold_percent", std::to_string(limits.cold_percent) +
                                        " is below good_percent " +
                                        std::to_string(limits.good_percent));
    }
    reader.finish();
}

void read_stragglers(json_reader reader, straggler_policy& stragglers)
{
    stragglers.threshold_percent = read_count(
        reader, "threshold_percent", stragglers.threshold_percent, 110, 10'000);
    stragglers.share_percent =
        read_count(reader, "share_percent", stragglers.share_percent, 0, 100);
    reader.finish();
}

// Hedging needs an idempotent service with routing "any": a key has one owner,
// and an edit must not run twice.
void read_hedging(json_reader reader, service_policy& service)
{
    hedging_policy& hedging = service.hedging;
    hedging.enabled = reader.boolean_or("enabled", hedging.enabled);
    hedging.after_percentile = read_count(
        reader, "after_percentile", hedging.after_percentile, 50, 99);
    hedging.budget_percent =
        read_count(reader, "budget_percent", hedging.budget_percent, 0, 50);
    if (hedging.enabled &&
        (service.kind != routing::any || !service.idempotent)) {
        reader.fail("enabled",
            "true needs routing \"any\" and \"idempotent\": true, but the "
            "service has routing \"" +
                std::string(to_string(service.kind)) +
                "\" and \"idempotent\": " +
                (service.idempotent ? "true" : "false"));
    }
    reader.finish();
}

service_policy read_service(const std::string& name, json_reader reader)
{
    service_policy service;
    service.name = service_id(name);
    service.kind = read_routing(reader);
    service.slots =
        static_cast<std::uint32_t>(reader.integer("slots", 1, 1024));
    service.connections_per_server = static_cast<std::uint32_t>(
        reader.integer("connections_per_server", 1, 65'535));
    // A connection carries one request at a time.
    if (service.connections_per_server < service.slots) {
        reader.fail("connections_per_server",
            std::to_string(service.connections_per_server) +
                " is below slots " + std::to_string(service.slots));
    }
    service.verifies_tokens = reader.boolean_or("verifies_tokens", false);
    service.default_priority = read_priority(reader);
    service.idempotent = reader.boolean_or("idempotent", false);
    read_deadlines(reader, service);
    service.maximum_body_bytes = static_cast<std::uint64_t>(
        reader.integer("maximum_body_bytes", 0, maximum_body_bytes_limit));
    service.queue_per_slot =
        read_count(reader, "queue_per_slot", service.queue_per_slot, 1, 1024);
    service.retry_percent =
        read_count(reader, "retry_percent", service.retry_percent, 0, 100);
    if (reader.has("cold_start"))
        read_cold_start(reader.object("cold_start"), service);
    if (reader.has("stragglers"))
        read_stragglers(reader.object("stragglers"), service.stragglers);
    if (reader.has("hedging"))
        read_hedging(reader.object("hedging"), service);
    service.servers = read_servers(reader);
    reader.finish();
    return service;
}

preference_weights read_weights(json_reader reader)
{
    preference_weights weights;
    weights.tail_latency =
        read_count(reader, "tail_latency", weights.tail_latency, 0, 100);
    weights.unavailable_time = read_count(
        reader, "unavailable_time", weights.unavailable_time, 0, 100);
    weights.churn = read_count(reader, "churn", weights.churn, 0, 100);
    weights.domain_moves =
        read_count(reader, "domain_moves", weights.domain_moves, 0, 100);
    reader.finish();
    return weights;
}

std::vector<failure_domain_id> read_domains(json_reader reader)
{
    std::vector<failure_domain_id> domains;
    for (const std::string& name : reader.strings("failure_domains")) {
        check_name(name, "field \"" + reader.path() + "/failure_domains\"");
        domains.emplace_back(name);
    }
    if (domains.empty()) {
        reader.fail(
            "failure_domains", "0 domains are below the minimum of 1 domain");
    }
    reader.finish();
    return domains;
}

// Calls `read(name, reader)` for each member of the object in `field`.
template <class Read>
void for_each_member(json_reader& reader, const std::string& field, Read read)
{
    if (!reader.has(field))
        return;
    json_reader members = reader.object(field);
    for (const auto& member : reader.value(field).items()) {
        check_name(member.key(),
            "field \"" + members.path() + "/" + member.key() + "\"");
        read(member.key(), members.object(member.key()));
    }
}

policy_section read_section(const section_id& id, const json& body)
{
    policy_section section;
    section.id = id;
    json_reader reader(body, error_kind::bad_policy);
    section.team = reader.string("team");
    if (section.team.empty() || section.team.size() > 100) {
        reader.fail("team", std::to_string(section.team.size()) +
                                " bytes are not between 1 and 100");
    }
    for_each_member(reader, "regions",
        [&section](const std::string& name, json_reader member) {
            section.regions.emplace(name, read_domains(std::move(member)));
        });
    if (reader.has("weights"))
        section.weights = read_weights(reader.object("weights"));
    for_each_member(reader, "services",
        [&section](const std::string& name, json_reader member) {
            section.services.emplace(
                name, read_service(name, std::move(member)));
        });
    reader.finish();
    return section;
}

} // namespace

std::string_view to_string(routing value)
{
    return value == routing::by_key ? "by_key" : "any";
}

json parse_policy_text(std::string_view text, error_kind kind)
{
    std::vector<std::set<std::string>> open_objects;
    const auto check = [&](int depth, json::parse_event_t event, json& parsed) {
        if (depth > static_cast<int>(maximum_depth)) {
            throw error(kind, "nesting of " + std::to_string(depth) +
                                  " levels is above the maximum " +
                                  std::to_string(maximum_depth));
        }
        if (event == json::parse_event_t::object_start) {
            open_objects.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            open_objects.pop_back();
        } else if (event == json::parse_event_t::key) {
            const auto& name = parsed.get_ref<const std::string&>();
            if (!open_objects.back().insert(name).second) {
                throw error(
                    kind, "field \"" + name + "\" occurs twice in one object");
            }
        }
        return true;
    };
    try {
        return json::parse(text, check);
    } catch (const json::parse_error& failure) {
        throw error(kind, std::string("not valid JSON: ") + failure.what());
    }
}

policy_section check_section(const section_id& id, const json& body)
{
    const std::string where = "section \"" + id.value() + "\"";
    check_name(id.value(), where);
    const std::size_t size = canonical_text(body).size();
    if (size > maximum_section_bytes) {
        throw error(
            error_kind::bad_policy, where + ": " + std::to_string(size) +
                                        " bytes are above the maximum " +
                                        std::to_string(maximum_section_bytes));
    }
    try {
        return read_section(id, body);
    } catch (const error& failure) {
        // The message contains the invalid value, which can be the whole
        // section.
        std::string message = failure.what();
        if (message.size() > maximum_message_bytes)
            message.resize(maximum_message_bytes);
        throw error(error_kind::bad_policy, where + ": " + message);
    }
}

std::string canonical_text(const json& body)
{
    return body.dump();
}

std::string digest_of(std::string_view text)
{
    XXH128_canonical_t bytes;
    XXH128_canonicalFromHash(&bytes, XXH3_128bits(text.data(), text.size()));
    std::string digest;
    for (const unsigned char byte : bytes.digest) {
        std::array<char, 3> digits = {};
        std::snprintf(digits.data(), digits.size(), "%02x", byte);
        digest += digits.data();
    }
    return digest;
}

void check_name(const std::string& name, const std::string& where)
{
    const auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= '0' && letter <= '9') || letter == '-';
    };
    if (name.empty() || name.size() > 63 ||
        !std::all_of(name.begin(), name.end(), allowed)) {
        throw error(error_kind::bad_policy,
            where + ": \"" + name +
                "\" is not a name of 1 to 63 characters of a-z, 0-9 and '-'");
    }
}

} // namespace filberthub
