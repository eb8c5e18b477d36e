#include "router/beliefs.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/telemetry/log.hpp>

#include <platform/object_codec.hpp>

#include <algorithm>

namespace filberthub {
namespace {

using platform_api::object_kind;

// Instances that are assumed before the coordinator has told their number. A
// large number only makes parts of shared budgets small.
constexpr std::size_t assumed_fleet_size = 40;
// Longer than the platform's window of retries, in which the parts of all
// instances add up.
constexpr milliseconds fleet_size_memory{12'000};
constexpr const char* served_prefix = "served/";

} // namespace

beliefs::beliefs(const route_settings& own)
    : servers_(own.domain, own.bounds.cold),
      fleet_size_(assumed_fleet_size),
      random_(std::random_device{}())
{
    servers_.set_fleet_size(fleet_size_);
}

void beliefs::set_fleet_size(std::size_t size, time_point now)
{
    const bool aged =
        !fleet_size_seen_ || now >= *fleet_size_seen_ + fleet_size_memory;
    if (size < fleet_size_ && !aged)
        return;
    fleet_size_ = size;
    fleet_size_seen_ = now;
    servers_.set_fleet_size(size);
}

double beliefs::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void beliefs::on_change(std::function<void()> callback)
{
    changed_ = std::move(callback);
}

void beliefs::learn(const fact& item, time_point now)
{
    if (!facts_.merge(item))
        return;
    apply(item, now);
    if (changed_)
        changed_();
}

void beliefs::learn_list(object_kind kind, const std::vector<fact>& items,
    object_version version, time_point now)
{
    const std::vector<fact> news =
        facts_.merge_list(platform_api::kind_name(kind), items, version);
    if (kind == object_kind::server)
        has_servers_ = true;
    for (const fact& item : news)
        apply(item, now);
    if (!news.empty() && changed_)
        changed_();
}

void beliefs::apply(const fact& item, time_point now)
{
    if (item.key == members_key) {
        apply_members(item);
        return;
    }
    if (item.key.starts_with(served_prefix)) {
        apply_served(item.key.substr(std::string(served_prefix).size()), item);
        return;
    }
    if (platform_api::name_in(object_kind::configuration, item.key)) {
        apply_config(item);
        refresh_servers(now);
        return;
    }
    if (const auto name = platform_api::name_in(object_kind::server, item.key))
        apply_server(*name, item, now);
    else if (const auto domain =
                 platform_api::name_in(object_kind::evacuation, item.key))
        apply_evacuation(*domain, item, now);
}

void beliefs::apply_config(const fact& item)
{
    if (!item.value)
        return;
    try {
        routing_config config = platform_api::decode_config(*item.value);
        if (routes_ && config.version < routes_->config().version) {
            log_event(log_level::warn, "older configuration ignored",
                {{log_key::revision, config.version.value()}});
            return;
        }
        log_event(log_level::info, "configuration in force",
            {{log_key::revision, config.version.value()},
                {"routes", config.routes.size()},
                {"store_version", item.version.value()}});
        routes_ = std::make_shared<const route_table>(std::move(config));
    } catch (const error& failure) {
        log_event(log_level::error, "configuration is not valid",
            {{log_key::error, failure.what()},
                {"store_version", item.version.value()}});
    }
}

void beliefs::apply_server(
    const std::string& name, const fact& item, time_point now)
{
    const backend_server_id id(name);
    has_servers_ = true;
    if (!item.value) {
        const auto known = entries_.find(id);
        if (known == entries_.end())
            return;
        if (now < doubt_until_ && !known->second.draining) {
            doubtful_[id] = doubt_until_;
            return;
        }
        log_event(log_level::info, "server gone",
            {{log_key::server, name}, {"store_version", item.version.value()}});
        entries_.erase(known);
        servers_.remove(id);
        return;
    }
    doubtful_.erase(id);
    try {
        const server_entry entry =
            platform_api::decode_server(name, *item.value);
        log_event(log_level::info, "server entry",
            {{log_key::server, name}, {log_key::service, entry.service.value()},
                {"draining", entry.draining},
                {"cold_ms", entry.cold_left.count()},
                {"started", entry.started},
                {"store_version", item.version.value()}});
        entries_[id] = entry;
        const service_rule* rule =
            routes_ ? routes_->service(entry.service) : nullptr;
        servers_.put(entry, rule ? rule->cold_rate : 0, draw(), now);
        // A server leaves some time after it says so, however late that was
        // heard.
        if (missing_since_)
            servers_.date_back(id, *missing_since_);
    } catch (const error& failure) {
        log_event(log_level::warn, "server entry is not valid",
            {{log_key::server, name}, {log_key::error, failure.what()}});
        entries_.erase(id);
        servers_.remove(id);
    }
}

void beliefs::apply_evacuation(
    const std::string& name, const fact& item, time_point now)
{
    const failure_domain_id domain(name);
    const bool out = item.value.has_value();
    log_event(log_level::info,
        out ? "failure domain out of service" : "failure domain back",
        {{log_key::failure_domain, name},
            {"store_version", item.version.value()}});
    servers_.set_evacuated(domain, out, now);
    if (out) {
        evacuated_.insert(domain);
        return;
    }
    if (evacuated_.erase(domain) == 0)
        return;
    // Servers of a domain that comes back are cold, and their entries may not
    // say so yet.
    for (const auto& [id, entry] : entries_) {
        const service_rule* rule =
            routes_ ? routes_->service(entry.service) : nullptr;
        if (entry.domain == domain && rule != nullptr)
            servers_.make_cold(id, rule->cold_time, draw(), now);
    }
}

void beliefs::apply_members(const fact& item)
{
    if (!item.value)
        return;
    members_.clear();
    for (const json& row : json::parse(*item.value)) {
        members_.push_back({instance_id(row.at(0).get<std::string>()),
            endpoint_from_string(row.at(1).get<std::string>()),
            row.at(2).get<double>()});
    }
}

std::string beliefs::members_text(const std::vector<live_instance>& members)
{
    json rows = json::array();
    for (const live_instance& member : members) {
        rows.push_back({member.id.value(), to_string(member.address),
            member.processor_share});
    }
    return rows.dump();
}

void beliefs::apply_served(const std::string& service, const fact& item)
{
    if (!item.value)
        return;
    std::vector<served_range> ranges;
    for (const json& row : json::parse(*item.value)) {
        ranges.push_back(
            {row.at(0).get<key_number>(), row.at(1).get<key_number>(),
                backend_server_id(row.at(2).get<std::string>())});
    }
    served_[service_id(service)] = std::move(ranges);
}

void beliefs::refresh_servers(time_point now)
{
    for (const auto& [id, entry] : entries_) {
        const service_rule* rule =
            routes_ ? routes_->service(entry.service) : nullptr;
        server_entry same = entry;
        same.cold_left = milliseconds(0);
        servers_.put(same, rule ? rule->cold_rate : 0, draw(), now);
    }
}

void beliefs::doubt_removals_until(time_point until)
{
    doubt_until_ = until;
}

void beliefs::set_missing_since(std::optional<time_point> since)
{
    missing_since_ = since;
}

void beliefs::settle(time_point now)
{
    bool settled = false;
    for (auto at = doubtful_.begin(); at != doubtful_.end();) {
        if (now < at->second) {
            ++at;
            continue;
        }
        log_event(log_level::info, "server gone after an outage of the store",
            {{log_key::server, at->first.value()}});
        entries_.erase(at->first);
        servers_.remove(at->first);
        at = doubtful_.erase(at);
        settled = true;
    }
    if (settled && changed_)
        changed_();
}

std::optional<std::uint64_t> beliefs::life_of(const backend_server_id& id) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return std::nullopt;
    return found->second.started;
}

std::optional<backend_server_id> beliefs::owner_of(
    const service_id& service, key_number key) const
{
    const auto found = served_.find(service);
    if (found == served_.end())
        return std::nullopt;
    const std::vector<served_range>& ranges = found->second;
    auto at = std::upper_bound(ranges.begin(), ranges.end(), key,
        [](key_number wanted, const served_range& range) {
            return wanted < range.first;
        });
    if (at == ranges.begin())
        return std::nullopt;
    --at;
    if (key > at->last)
        return std::nullopt;
    return at->owner;
}

std::string beliefs::served_key(const service_id& service)
{
    return served_prefix + service.value();
}

std::string beliefs::served_text(const std::vector<key_range>& ranges)
{
    json rows = json::array();
    for (const key_range& range : ranges)
        rows.push_back({range.first, range.last, range.owner.id.value()});
    return rows.dump();
}

} // namespace filberthub
