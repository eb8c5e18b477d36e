#include "node/dissemination_service.hpp"

#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

// Shortest time between two pulls of one object, so that the first can be
// answered.
constexpr milliseconds pull_interval{200};

} // namespace

void dissemination_service::add(const std::string& name, object value)
{
    objects_[name].value = std::move(value);
}

revision_summary dissemination_service::summary() const
{
    revision_summary known;
    const std::string_view prefix = ownership_prefix;
    for (const auto& [name, item] : objects_) {
        const object_version version = item.value.version();
        if (name == policy_object)
            known.policy = revision(version.value());
        else if (name == fleet_object)
            known.fleet = version;
        else if (name.starts_with(prefix))
            known.ownership.emplace_back(
                service_id(name.substr(prefix.size())), version);
    }
    return known;
}

void dissemination_service::on_summary(
    const instance_id& from, const revision_summary& known, time_point now)
{
    pull_if_older(
        from, policy_object, object_version(known.policy.value()), now);
    pull_if_older(from, fleet_object, known.fleet, now);
    for (const auto& [service, version] : known.ownership)
        pull_if_older(from, ownership_prefix + service.value(), version, now);
}

void dissemination_service::on_pull(
    peer_connection& connection, const pull_message& message)
{
    const auto found = objects_.find(message.object);
    if (found == objects_.end())
        return;
    const object& value = found->second.value;
    if (value.version().value() == 0)
        return;
    connection.send(pulled_object_message{
        message.object, value.version(), value.text(message.known)});
}

void dissemination_service::on_pulled_object(
    const pulled_object_message& message)
{
    const auto found = objects_.find(message.object);
    if (found == objects_.end() ||
        message.version <= found->second.value.version())
        return;
    try {
        found->second.value.adopt(message.version, message.value);
    } catch (const error& failure) {
        log_event(log_level::warn, "rejected an object from another instance",
            {{"object", message.object}, {"version", message.version.value()},
                {log_key::error, std::string_view(failure.what())}});
    }
}

void dissemination_service::pull_if_older(const instance_id& from,
    const std::string& name, object_version version, time_point now)
{
    const auto found = objects_.find(name);
    if (found == objects_.end() || version <= found->second.value.version() ||
        now - found->second.last_pull < pull_interval)
        return;
    found->second.last_pull = now;
    hub_->send(from, pull_message{name, found->second.value.version()});
}

} // namespace filberthub
