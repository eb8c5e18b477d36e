#include "router/deployment_view.hpp"

#include <filberthub/base/json_text.hpp>
#include <filberthub/telemetry/log.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

#include <platform/object_codec.hpp>

#include <algorithm>

namespace filberthub {
namespace {

using platform_api::object_kind;

// Fleet size that is assumed until the coordinator reports it. An overestimate
// only makes this instance's share of common budgets smaller.
constexpr std::size_t assumed_fleet_size = 40;
// Longer than the platform's window for retries, over which the shares of all
// instances add up.
constexpr milliseconds fleet_size_retention{12'000};

} // namespace

deployment_view::deployment_view(const route_settings& settings)
    : servers_(settings.domain, settings.bounds.cold),
      fleet_size_(assumed_fleet_size),
      random_(std::random_device{}())
{
    servers_.set_fleet_size(fleet_size_);
}

void deployment_view::set_fleet_size(std::size_t size, time_point now)
{
    const bool retention_over =
        !fleet_size_updated_ ||
        now >= *fleet_size_updated_ + fleet_size_retention;
    if (size < fleet_size_ && !retention_over)
        return;
    fleet_size_ = size;
    fleet_size_updated_ = now;
    servers_.set_fleet_size(size);
}

double deployment_view::uniform_random()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void deployment_view::on_change(std::function<void()> callback)
{
    change_callback_ = std::move(callback);
}

void deployment_view::update(const versioned_object& object, time_point now)
{
    note_epoch(object, now);
    const versioned_object newest = newest_configuration(object);
    if (!objects_.merge(newest))
        return;
    apply(newest, now);
    report_change();
}

void deployment_view::report_change()
{
    change_pending_ = true;
    if (open_batches_ == 0)
        end_batch();
}

void deployment_view::end_batch()
{
    if (!std::exchange(change_pending_, false))
        return;
    if (!first_servers_logged_ && !entries_.empty()) {
        first_servers_logged_ = true;
        log_event(
            log_level::info, "servers known", {{"servers", entries_.size()}});
    }
    if (change_callback_)
        change_callback_();
}

void deployment_view::update_list(object_kind kind,
    const std::vector<versioned_object>& objects, object_version version,
    time_point now)
{
    note_epoch(
        {platform_api::kind_name(kind) + "/", version, std::nullopt}, now);
    const std::vector<versioned_object> changes =
        objects_.merge_list(platform_api::kind_name(kind),
            kind == object_kind::configuration
                ? newest_configurations(objects, version)
                : objects,
            version);
    if (kind == object_kind::server)
        servers_known_ = true;
    for (const versioned_object& object : changes)
        apply(object, now);
    if (!changes.empty())
        report_change();
}

void deployment_view::apply(const versioned_object& object, time_point now)
{
    changed_since_[object.key] = changes_missed_since_.value_or(now);
    if (object.key == members_key || is_served_key(object.key)) {
        apply_published(object);
        return;
    }
    if (platform_api::object_name(object_kind::configuration, object.key)) {
        apply_config(object);
        refresh_servers(now);
        return;
    }
    if (const auto server =
            platform_api::object_name(object_kind::server, object.key))
        apply_named<backend_server_id>(
            *server, [&](const backend_server_id& id) {
                apply_server(id, object, now);
            });
    else if (const auto domain =
                 platform_api::object_name(object_kind::evacuation, object.key))
        apply_named<failure_domain_id>(
            *domain, [&](const failure_domain_id& id) {
                apply_evacuation(id, object, now);
            });
}

// Calls the function with the name of an object, unless it is not a name. The
// store session drops such objects, but an instance of an earlier release may
// pass them on.
template <class Name, class Function>
void deployment_view::apply_named(
    const std::string& text, const Function& function)
{
    if (const auto name = Name::from(text)) {
        function(*name);
        return;
    }
    count_rejected(rejected_input::object_name);
    log_event(log_level::warn, "object with an unusable name ignored",
        {{"name", shorten(text)}});
}

void deployment_view::apply_config(const versioned_object& object)
{
    if (!object.value)
        return;
    try {
        routing_config config = platform_api::decode_config(*object.value);
        if (routes_ && config.version < routes_->config().version) {
            log_event(log_level::warn, "older configuration ignored",
                {{log_key::revision, config.version.value()}});
            return;
        }
        log_event(log_level::info, "configuration applied",
            {{log_key::revision, config.version.value()},
                {"routes", config.routes.size()},
                {"store_version", object.version.value()}});
        routes_ = std::make_shared<const route_table>(std::move(config));
    } catch (const error& failure) {
        count_rejected(rejected_input::configuration);
        log_event(log_level::error, "configuration is not valid",
            {{log_key::error, shorten(failure.what())},
                {"store_version", object.version.value()}});
    }
}

milliseconds deployment_view::max_change_age(
    const std::string& key, time_point now) const
{
    const auto found = changed_since_.find(key);
    return found == changed_since_.end()
               ? milliseconds(0)
               : std::chrono::duration_cast<milliseconds>(now - found->second);
}

void deployment_view::apply_server(
    const backend_server_id& id, const versioned_object& object, time_point now)
{
    const std::string& name = id.value();
    servers_known_ = true;
    if (!object.value) {
        const auto found = entries_.find(id);
        if (found == entries_.end())
            return;
        if (now < defer_until_ && !found->second.draining) {
            log_event(log_level::info, "removal of a server deferred",
                {{log_key::server, name},
                    {log_key::duration_ms,
                        std::chrono::duration_cast<milliseconds>(
                            defer_until_ - now)
                            .count()},
                    {"store_version", object.version.value()}});
            deferred_removals_[id] = defer_until_;
            return;
        }
        log_event(log_level::info, "server removed",
            {{log_key::server, name},
                {"changed_ms_ago", max_change_age(object.key, now).count()},
                {"store_version", object.version.value()}});
        entries_.erase(found);
        servers_.remove(id);
        return;
    }
    deferred_removals_.erase(id);
    try {
        server_entry entry = platform_api::decode_server(id, *object.value);
        entry.draining = note_leaving(entry, object.version, now);
        // Each server has one at the start and one for each step of its
        // warm-up.
        log_event(is_news(entry) ? log_level::info : log_level::debug,
            "server entry updated",
            {{log_key::server, name}, {log_key::service, entry.service.value()},
                {"draining", entry.draining},
                {"cold_ms", entry.cold_left.count()},
                {"started", entry.started},
                {"changed_ms_ago", max_change_age(object.key, now).count()},
                {"store_version", object.version.value()}});
        entries_[id] = entry;
        const service_rule* rule =
            routes_ ? routes_->service(entry.service) : nullptr;
        servers_.put(entry, rule ? rule->cold_rate : 0, uniform_random(), now);
        // A draining server stops a fixed time after its announcement, however
        // late the announcement arrives here.
        if (changes_missed_since_)
            servers_.set_unusable_since(id, *changes_missed_since_);
    } catch (const error& failure) {
        count_rejected(rejected_input::server_entry);
        log_event(log_level::warn, "server entry is not valid",
            {{log_key::server, name},
                {log_key::error, shorten(failure.what())}});
        entries_.erase(id);
        servers_.remove(id);
    }
}

void deployment_view::apply_evacuation(const failure_domain_id& domain,
    const versioned_object& object, time_point now)
{
    const bool is_evacuated = object.value.has_value();
    log_event(log_level::info,
        is_evacuated ? "failure domain out of service"
                     : "failure domain back in service",
        {{log_key::failure_domain, domain.value()},
            {"store_version", object.version.value()}});
    servers_.set_evacuated(domain, is_evacuated, now);
    if (is_evacuated) {
        evacuated_.insert(domain);
        return;
    }
    if (evacuated_.erase(domain) == 0)
        return;
    // Servers of a domain that returns to service are cold, but their entries
    // may not show this yet.
    for (const auto& [id, entry] : entries_) {
        const service_rule* rule =
            routes_ ? routes_->service(entry.service) : nullptr;
        if (entry.domain == domain && rule != nullptr)
            servers_.make_cold(id, rule->cold_time, uniform_random(), now);
    }
}

void deployment_view::refresh_servers(time_point now)
{
    for (const auto& [id, entry] : entries_) {
        const service_rule* rule =
            routes_ ? routes_->service(entry.service) : nullptr;
        server_entry refreshed = entry;
        refreshed.cold_left = milliseconds(0);
        servers_.put(
            refreshed, rule ? rule->cold_rate : 0, uniform_random(), now);
    }
}

void deployment_view::set_changes_missed_since(std::optional<time_point> since)
{
    changes_missed_since_ = since;
}

std::optional<std::uint64_t> deployment_view::incarnation_of(
    const backend_server_id& id) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return std::nullopt;
    return found->second.started;
}

} // namespace filberthub
