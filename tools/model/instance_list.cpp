#include "tools/model/instance_list.hpp"

#include <algorithm>
#include <optional>

namespace filberthub::tools {
namespace {

json validated_entry(const instance_id& id, const json& entry)
{
    json_reader reader(entry, error_kind::bad_request);
    json result = json::object();
    result["id"] = id.value();
    for (const char* field : {"domain", "peer", "caller", "operator"})
        result[field] = reader.string(field);
    const std::string state = reader.string_or("state", "live");
    if (state != "live" && state != "leaving")
        reader.fail("state", "\"" + state + "\" is neither live nor leaving");
    result["state"] = state;
    // Number of starts of the instance.
    result["incarnation"] = reader.integer_or("incarnation", 0, INT64_MAX, 0);
    return result;
}

} // namespace

void instance_list::renew(
    const instance_id& id, const json& entry, time_point now)
{
    drop_expired(now);
    json validated = validated_entry(id, entry);
    entry_state& state = entries_[id];
    state.renewed = now;
    if (state.entry == validated)
        return;
    state.entry = std::move(validated);
    record_snapshot(now);
}

void instance_list::remove(const instance_id& id, time_point now)
{
    drop_expired(now);
    if (entries_.erase(id) > 0)
        record_snapshot(now);
}

void instance_list::set_lag(duration lag)
{
    lag_ = std::clamp(lag, duration(0), max_lag);
}

json instance_list::view(time_point now)
{
    drop_expired(now);
    const time_point cutoff = now - lag_;
    json result = json::array();
    for (const snapshot& past : snapshots_) {
        if (past.time > cutoff)
            break;
        result = past.entries;
    }
    return result;
}

void instance_list::drop_expired(time_point now)
{
    // Entries expire in the order of time, so that each expiry gets a snapshot
    // of its own.
    while (true) {
        const auto oldest = std::min_element(entries_.begin(), entries_.end(),
            [](const auto& left, const auto& right) {
                return left.second.renewed < right.second.renewed;
            });
        if (oldest == entries_.end() || oldest->second.renewed + expiry > now)
            return;
        const time_point expired = oldest->second.renewed + expiry;
        entries_.erase(oldest);
        record_snapshot(expired);
    }
}

void instance_list::record_snapshot(time_point now)
{
    json entries = json::array();
    for (const auto& [id, state] : entries_)
        entries.push_back(state.entry);
    snapshots_.push_back({now, std::move(entries)});
    while (snapshots_.size() > 1 && snapshots_[1].time < now - max_lag)
        snapshots_.pop_front();
}

} // namespace filberthub::tools
