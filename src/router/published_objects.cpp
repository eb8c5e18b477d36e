// The objects of `deployment_view` that the coordinator publishes: the members
// of the fleet and the owners of keys.

#include "router/deployment_view.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/json_text.hpp>
#include <filberthub/telemetry/log.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

constexpr const char* served_prefix = "served/";
constexpr std::size_t keys_per_part = key_count / deployment_view::served_parts;
static_assert(key_count % deployment_view::served_parts == 0);
constexpr error_kind published_error = error_kind::bad_peer_message;

} // namespace

bool deployment_view::is_served_key(const std::string& key)
{
    return key.starts_with(served_prefix);
}

// Applies an object that the coordinator has published. A malformed one leaves
// the previous one in force.
void deployment_view::apply_published(const versioned_object& object)
{
    try {
        if (object.key == members_key)
            apply_members(object);
        else
            apply_served(object);
    } catch (const std::exception& failure) {
        count_rejected(rejected_input::published_object);
        log_event(log_level::warn, "published object is malformed",
            {{"key", object.key}, {log_key::error, shorten(failure.what())}});
    }
}

void deployment_view::apply_members(const versioned_object& object)
{
    if (!object.value)
        return;
    std::vector<live_instance> members;
    for (const json& row : parse_json(*object.value, published_error)) {
        const auto share = row.at(2).get<double>();
        if (!(share > 0 && std::isfinite(share))) {
            throw error(published_error, "processor share " + row.at(2).dump() +
                                             " is not a positive number");
        }
        members.push_back({instance_id(row.at(0).get<std::string>()),
            endpoint_from_string(row.at(1).get<std::string>()), share});
    }
    members_ = std::move(members);
    ++members_version_;
    for (const live_instance& member : members_) {
        largest_processor_share_ =
            std::max(largest_processor_share_, member.processor_share);
    }
}

std::string deployment_view::encode_members(
    const std::vector<live_instance>& members)
{
    json rows = json::array();
    for (const live_instance& member : members) {
        rows.push_back({member.id.value(), to_string(member.address),
            member.processor_share});
    }
    return rows.dump();
}

void deployment_view::apply_served(const versioned_object& object)
{
    if (!object.value)
        return;
    std::vector<served_range> ranges;
    for (const json& row : parse_json(*object.value, published_error)) {
        ranges.push_back(
            {row.at(0).get<key_number>(), row.at(1).get<key_number>(),
                backend_server_id(row.at(2).get<std::string>())});
    }
    served_[object.key] = std::move(ranges);
}

std::optional<backend_server_id> deployment_view::owner_of(
    const service_id& service, key_number key) const
{
    if (key >= key_count)
        return std::nullopt;
    const auto found = served_.find(served_key(service, key / keys_per_part));
    if (found == served_.end())
        return std::nullopt;
    const std::vector<served_range>& ranges = found->second;
    auto it = std::upper_bound(ranges.begin(), ranges.end(), key,
        [](key_number wanted, const served_range& range) {
            return wanted < range.first;
        });
    if (it == ranges.begin())
        return std::nullopt;
    --it;
    if (key > it->last)
        return std::nullopt;
    return it->owner;
}

std::string deployment_view::served_key(
    const service_id& service, std::size_t part)
{
    return served_prefix + service.value() + "/" + std::to_string(part);
}

std::vector<std::string> deployment_view::encode_served_ranges(
    const std::vector<key_range>& ranges)
{
    std::vector<json> parts(served_parts, json::array());
    for (const key_range& range : ranges) {
        for (std::size_t part = range.first / keys_per_part;
             part <= range.last / keys_per_part; ++part) {
            const auto first = static_cast<key_number>(part * keys_per_part);
            const auto last =
                static_cast<key_number>(first + keys_per_part - 1);
            parts.at(part).push_back({std::max(range.first, first),
                std::min(range.last, last), range.owner.id.value()});
        }
    }
    std::vector<std::string> texts;
    texts.reserve(parts.size());
    for (const json& part : parts)
        texts.push_back(part.dump());
    return texts;
}

} // namespace filberthub
