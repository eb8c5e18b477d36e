#include "router/feed_messages.hpp"

#include "router/peer_messages.hpp"

#include <filberthub/telemetry/rejected_input.hpp>

#include <QtCore/QByteArray>

#include <algorithm>

namespace filberthub {
namespace {

// Favors speed: the replies of a coordinator wait for it.
constexpr int compression_level = 1;
// Far above the view of the largest deployments.
constexpr std::size_t max_reply_bytes = std::size_t{64} * 1024 * 1024;
// Length of the size that precedes the compressed bytes.
constexpr std::size_t size_prefix_bytes = 4;
// Number of different versions for which replies are encoded at once.
constexpr std::size_t max_shared_versions = 4;

// Field with the number of bytes of the shares at the end of a reply.
constexpr const char* quota_field = "X-Quota-Bytes";

quota_shares decode_shares(const json& document)
{
    quota_shares shares;
    for (const auto& [account, value] : document.items()) {
        const auto share = value.get<quota_share>();
        if (share < 0 || share > whole_quota) {
            throw error(error_kind::bad_peer_message,
                "share " + value.dump() + " is not from 0 to " +
                    std::to_string(whole_quota));
        }
        shares[account] = share;
    }
    return shares;
}

json encode_quota(const quota_report& report)
{
    return {{"sequence", report.sequence}, {"run", report.run},
        {"number", report.number}, {"shares", report.shares},
        {"requests", report.requests}, {"counted", report.counted}};
}

quota_report decode_quota(const json& document)
{
    using counts = std::map<std::string, std::uint32_t>;
    quota_report report;
    report.sequence = document.at("sequence").get<std::uint64_t>();
    report.run = document.at("run").get<std::uint64_t>();
    report.number = document.at("number").get<std::uint64_t>();
    report.shares = decode_shares(document.at("shares"));
    report.requests = document.at("requests").get<counts>();
    report.counted = document.at("counted").get<counts>();
    return report;
}

object_version oldest(const complete_versions& versions)
{
    object_version result{};
    bool first = true;
    for (const auto& [kind, version] : versions) {
        result = first ? version : std::min(result, version);
        first = false;
    }
    return result;
}

// Returns the kinds that both have, with the lower version.
complete_versions lower_of(
    const complete_versions& left, const complete_versions& right)
{
    complete_versions result;
    for (const auto& [kind, version] : left) {
        const auto found = right.find(kind);
        if (found != right.end())
            result.emplace(kind, std::min(version, found->second));
    }
    return result;
}

// Returns a name in a message, or nothing if it is not one. The rest of the
// message is used without it.
template <class Name>
std::optional<Name> read_name(std::string_view text)
{
    auto name = Name::from(text);
    if (!name)
        count_rejected(rejected_input::peer_message);
    return name;
}

json encode_key_counts(
    const std::map<service_id, std::map<key_number, std::uint32_t>>& counts)
{
    json result = json::object();
    for (const auto& [service, keys] : counts) {
        json rows = json::array();
        for (const auto& [key, count] : keys)
            rows.push_back({key, count});
        result[service.value()] = std::move(rows);
    }
    return result;
}

std::map<service_id, std::map<key_number, std::uint32_t>> decode_key_counts(
    const json& document)
{
    std::map<service_id, std::map<key_number, std::uint32_t>> result;
    for (const auto& [name, rows] : document.items()) {
        const auto service = read_name<service_id>(name);
        if (!service)
            continue;
        auto& keys = result[*service];
        for (const json& row : rows)
            keys[row.at(0).get<key_number>()] += row.at(1).get<std::uint32_t>();
    }
    return result;
}

} // namespace

json encode_counts(const load_counts& counts)
{
    const json requests = encode_key_counts(counts.requests);
    json slowdowns = json::object();
    for (const auto& [server, slowdown] : counts.slowdowns)
        slowdowns[server.value()] = slowdown;
    json leaving = json::object();
    for (const auto& [server, started] : counts.leaving)
        leaving[server.value()] = started;
    json results = json::object();
    for (const auto& [server, count] : counts.results)
        results[server.value()] = {count.results, count.failures};
    json result = {{"requests", requests}, {"paces", slowdowns},
        {"leaving", leaving}, {"results", results},
        {"work", encode_key_counts(counts.work_ms)}};
    if (counts.quota.sequence > 0)
        result["quota"] = encode_quota(counts.quota);
    return result;
}

load_counts decode_counts(const json& document)
{
    load_counts counts;
    counts.requests = decode_key_counts(document.at("requests"));
    for (const auto& [name, slowdown] : document.at("paces").items()) {
        if (const auto server = read_name<backend_server_id>(name))
            counts.slowdowns[*server] = slowdown.get<double>();
    }
    // An instance of an earlier release does not send them.
    if (document.contains("leaving")) {
        for (const auto& [name, started] : document.at("leaving").items()) {
            if (const auto server = read_name<backend_server_id>(name))
                counts.leaving[*server] = started.get<std::uint64_t>();
        }
    }
    if (document.contains("quota"))
        counts.quota = decode_quota(document.at("quota"));
    if (document.contains("results")) {
        for (const auto& [name, row] : document.at("results").items()) {
            const result_counts results{
                row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint32_t>()};
            if (const auto server = read_name<backend_server_id>(name))
                counts.results[*server] = results;
        }
    }
    if (document.contains("work"))
        counts.work_ms = decode_key_counts(document.at("work"));
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

std::string compress_reply(const std::string& text)
{
    return qCompress(QByteArray::fromRawData(
                         text.data(), static_cast<qsizetype>(text.size())),
        compression_level)
        .toStdString();
}

std::string reply_text(const http_response& response)
{
    const std::string& body = response.body;
    if (response.headers.get("Content-Encoding") != reply_encoding)
        return body;
    std::size_t size = 0;
    for (std::size_t index = 0;
         index < std::min(body.size(), size_prefix_bytes); ++index)
        size = size << 8U | static_cast<unsigned char>(body[index]);
    if (body.size() < size_prefix_bytes || size > max_reply_bytes) {
        throw error(error_kind::bad_peer_message,
            "compressed reply of " + std::to_string(size) +
                " bytes, expected at most " + std::to_string(max_reply_bytes));
    }
    const QByteArray text = qUncompress(QByteArray::fromRawData(
        body.data(), static_cast<qsizetype>(body.size())));
    if (text.isEmpty() || static_cast<std::size_t>(text.size()) != size) {
        throw error(
            error_kind::bad_peer_message, "compressed reply cannot be read");
    }
    return text.toStdString();
}

void append_quota(
    http_response& response, const std::optional<quota_reply>& quota)
{
    if (!quota)
        return;
    const std::string text = json{{"run", quota->run},
        {"number", quota->number}, {"base", quota->base},
        {"changes",
            quota->changes}}.dump();
    response.body += text;
    response.headers.set(quota_field, std::to_string(text.size()));
}

std::optional<quota_reply> take_quota(http_response& response)
{
    const auto field = response.headers.get(quota_field);
    if (!field)
        return std::nullopt;
    const std::size_t size = std::stoul(std::string(*field));
    std::string& body = response.body;
    if (size > body.size()) {
        throw error(error_kind::bad_peer_message,
            "shares of " + std::to_string(size) + " bytes in a reply of " +
                std::to_string(body.size()));
    }
    const json document =
        parse_json(std::string_view(body).substr(body.size() - size),
            error_kind::bad_peer_message);
    quota_reply quota;
    quota.run = document.at("run").get<std::uint64_t>();
    quota.number = document.at("number").get<std::uint64_t>();
    quota.base = document.at("base").get<std::uint64_t>();
    quota.changes = decode_shares(document.at("changes"));
    body.resize(body.size() - size);
    return quota;
}

void share_versions(std::vector<complete_versions*> versions)
{
    std::stable_sort(versions.begin(), versions.end(),
        [](const complete_versions* left, const complete_versions* right) {
            return oldest(*left) < oldest(*right);
        });
    // Those without any version need the whole view, which the others must not
    // get because of them.
    const auto known = std::find_if(versions.begin(), versions.end(),
        [](const complete_versions* item) { return !item->empty(); });
    const auto count = static_cast<std::size_t>(versions.end() - known);
    for (std::size_t group = 0; group < max_shared_versions; ++group) {
        const auto begin = known + static_cast<std::ptrdiff_t>(
                                       count * group / max_shared_versions);
        const auto end = known + static_cast<std::ptrdiff_t>(
                                     count * (group + 1) / max_shared_versions);
        if (begin == end)
            continue;
        complete_versions shared = **begin;
        for (auto item = begin; item != end; ++item)
            shared = lower_of(shared, **item);
        for (auto item = begin; item != end; ++item)
            **item = shared;
    }
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

std::vector<instance_id> decode_standbys(const json& document)
{
    std::vector<instance_id> result;
    // A coordinator of an earlier release does not send them.
    if (!document.contains("standbys"))
        return result;
    for (const json& id : document.at("standbys")) {
        if (auto name = read_name<instance_id>(id.get<std::string>()))
            result.push_back(*std::move(name));
    }
    return result;
}

} // namespace filberthub
