// What `deployment_view` takes from a store that has failed or was restored
// from an older copy. The operator and the servers write again what it lacks.

#include "router/deployment_view.hpp"

#include <filberthub/telemetry/log.hpp>

#include <platform/object_codec.hpp>

#include <algorithm>

namespace filberthub {
namespace {

using platform_api::object_kind;

// Servers write their entries again within about 2 s.
constexpr milliseconds deferral_after_restore{3'000};
// Far above the age of a copy and the time for which a server drains.
constexpr milliseconds leaving_retention{120'000};

store_epoch epoch_of(object_version version)
{
    return epoch_of_revision(platform_api::store_revision_of(version));
}

std::optional<revision> configured_version(const versioned_object& object)
{
    if (!object.value)
        return std::nullopt;
    try {
        return platform_api::decode_config(*object.value).version;
    } catch (const error&) {
        return std::nullopt;
    }
}

} // namespace

void deployment_view::note_epoch(const versioned_object& object, time_point now)
{
    // The versions of other objects are those of a coordinator.
    if (!platform_api::object_name(object_kind::configuration, object.key) &&
        !platform_api::object_name(object_kind::server, object.key) &&
        !platform_api::object_name(object_kind::evacuation, object.key))
        return;
    const store_epoch epoch = epoch_of(object.version);
    if (epoch_ && epoch <= *epoch_)
        return;
    if (epoch_) {
        defer_until_ = std::max(defer_until_, now + deferral_after_restore);
        log_event(log_level::info, "objects of a later epoch of the store",
            {{"epoch", epoch.value()}, {"earlier_epoch", epoch_->value()}});
    }
    epoch_ = epoch;
}

void deployment_view::defer_removals_until(time_point until)
{
    defer_until_ = until;
}

void deployment_view::apply_deferred_removals(time_point now)
{
    bool removed_any = false;
    for (auto it = deferred_removals_.begin();
         it != deferred_removals_.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        log_event(log_level::info, "server removed after a store outage",
            {{log_key::server, it->first.value()}});
        entries_.erase(it->first);
        servers_.remove(it->first);
        it = deferred_removals_.erase(it);
        removed_any = true;
    }
    if (removed_any)
        report_change();
}

versioned_object deployment_view::newest_configuration(
    const versioned_object& object) const
{
    if (!platform_api::object_name(object_kind::configuration, object.key))
        return object;
    const versioned_object* known = objects_.find(object.key);
    if (known == nullptr || !known->value ||
        epoch_of(object.version) <= epoch_of(known->version))
        return object;
    const auto seen = configured_version(object);
    const auto in_force = configured_version(*known);
    if (!in_force || (seen && *seen >= *in_force))
        return object;
    log_event(log_level::warn, "older configuration of a copy ignored",
        {{log_key::revision, seen ? seen->value() : 0},
            {"in_force", in_force->value()}});
    return {object.key, object.version, known->value};
}

std::vector<versioned_object> deployment_view::newest_configurations(
    std::vector<versioned_object> objects, object_version version) const
{
    std::set<std::string> listed;
    for (versioned_object& object : objects) {
        listed.insert(object.key);
        object = newest_configuration(object);
    }
    const std::string prefix =
        platform_api::object_key(object_kind::configuration, "");
    for (const versioned_object& known : objects_.changes_after(0)) {
        if (!known.key.starts_with(prefix) || listed.contains(known.key))
            continue;
        versioned_object kept =
            newest_configuration({known.key, version, std::nullopt});
        if (kept.value)
            objects.push_back(std::move(kept));
    }
    return objects;
}

bool deployment_view::note_leaving(
    const server_entry& entry, object_version version, time_point now)
{
    std::erase_if(leaving_, [now](const auto& item) {
        return now >= item.second.seen_at + leaving_retention;
    });
    const auto found = leaving_.find(entry.id);
    const bool seen_before =
        found != leaving_.end() && found->second.started == entry.started &&
        epoch_of(found->second.version) < epoch_of(version);
    if (entry.draining)
        leaving_[entry.id] = {entry.started, version, now};
    return entry.draining || seen_before;
}

} // namespace filberthub
