#include "router/feed_messages.hpp"

#include "router/peer_messages.hpp"

namespace filberthub {

json encode_counts(const load_counts& counts)
{
    json requests = json::object();
    for (const auto& [service, keys] : counts.requests) {
        json rows = json::array();
        for (const auto& [key, count] : keys)
            rows.push_back({key, count});
        requests[service.value()] = std::move(rows);
    }
    json slowdowns = json::object();
    for (const auto& [server, slowdown] : counts.slowdowns)
        slowdowns[server.value()] = slowdown;
    json leaving = json::object();
    for (const auto& [server, started] : counts.leaving)
        leaving[server.value()] = started;
    return {{"requests", requests}, {"paces", slowdowns}, {"leaving", leaving}};
}

load_counts decode_counts(const json& document)
{
    load_counts counts;
    for (const auto& [service, rows] : document.at("requests").items()) {
        auto& keys = counts.requests[service_id(service)];
        for (const json& row : rows)
            keys[row.at(0).get<key_number>()] += row.at(1).get<std::uint32_t>();
    }
    for (const auto& [server, slowdown] : document.at("paces").items())
        counts.slowdowns[backend_server_id(server)] = slowdown.get<double>();
    // An instance of an earlier release does not send them.
    if (document.contains("leaving")) {
        for (const auto& [server, started] : document.at("leaving").items()) {
            counts.leaving[backend_server_id(server)] =
                started.get<std::uint64_t>();
        }
    }
    return counts;
}

std::vector<received_change> decode_changes(const json& rows)
{
    std::vector<received_change> changes;
    changes.reserve(rows.size());
    for (const json& row : rows) {
        received_change change;
        change.object.key = row.at(0).get<std::string>();
        change.object.version = object_version(row.at(1).get<std::uint64_t>());
        if (!row.at(2).is_null())
            change.object.value = row.at(2).get<std::string>();
        // A coordinator of an earlier release does not send the age.
        if (row.size() > 3)
            change.age = read_milliseconds(row.at(3));
        changes.push_back(std::move(change));
    }
    return changes;
}

json encode_complete(const complete_versions& versions)
{
    json result = json::object();
    for (const auto& [kind, version] : versions)
        result[kind] = version.value();
    return result;
}

complete_versions decode_complete(const json& document)
{
    complete_versions result;
    // An instance of an earlier release does not send them.
    if (!document.contains("complete"))
        return result;
    for (const auto& [kind, version] : document.at("complete").items())
        result.emplace(kind, version.get<std::uint64_t>());
    return result;
}

} // namespace filberthub
