#include <filberthub/membership/fleet_table.hpp>
#include <filberthub/membership/rendezvous.hpp>

#include <filberthub/base/error.hpp>

#include <algorithm>
#include <set>

namespace filberthub {
namespace {

[[noreturn]] void fail(const std::string& path, const std::string& message)
{
    throw error(error_kind::bad_policy, "field \"" + path + "\": " + message);
}

void check_witnesses(const fleet_member& member, const std::string& path,
    const std::vector<instance_id>& list)
{
    std::set<instance_id> seen;
    if (list.size() > witness_count) {
        fail(path, std::to_string(list.size()) + " witnesses, expected " +
                       std::to_string(witness_count) + " at most");
    }
    for (const instance_id& witness : list) {
        if (witness == member.key.instance)
            fail(path, "\"" + witness.value() + "\" is its own witness");
        if (!seen.insert(witness).second)
            fail(path, "\"" + witness.value() + "\" occurs twice");
    }
}

void check_list(
    const fleet_table& table, const std::string& path, const holder_list& list)
{
    std::set<member_key> seen;
    if (list.entries.size() > holder_list_limit) {
        fail(path, std::to_string(list.entries.size()) + " holders, expected " +
                       std::to_string(holder_list_limit) + " at most");
    }
    for (const holder_entry& entry : list.entries) {
        const std::string name = "\"" + entry.member.instance.value() + "\"";
        const fleet_member* member = table.find(entry.member);
        if (member == nullptr)
            fail(path, name + " is not a member");
        if (!member->ready)
            fail(path, name + " is not ready");
        if (!seen.insert(entry.member).second)
            fail(path, name + " occurs twice");
    }
}

} // namespace

const fleet_member* fleet_table::find(const instance_id& instance) const
{
    const auto found = std::lower_bound(members_.begin(), members_.end(),
        instance, [](const fleet_member& member, const instance_id& id) {
            return member.key.instance < id;
        });
    const bool hit = found != members_.end() && found->key.instance == instance;
    return hit ? &*found : nullptr;
}

const fleet_member* fleet_table::find(const member_key& key) const
{
    const fleet_member* member = find(key.instance);
    return member != nullptr && member->key == key ? member : nullptr;
}

std::span<const holder_entry> fleet_table::holders(
    const backend_server_id& server) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end())
        return {};
    return found->second.entries;
}

std::vector<member_key> fleet_table::ranking() const
{
    std::vector<std::pair<std::uint64_t, member_key>> weighted;
    weighted.reserve(members_.size());
    for (const fleet_member& member : members_) {
        weighted.emplace_back(
            rendezvous_weight("planner", member.key.instance.value()),
            member.key);
    }
    std::sort(weighted.begin(), weighted.end());
    std::vector<member_key> result;
    result.reserve(weighted.size());
    for (auto& item : weighted)
        result.push_back(std::move(item.second));
    return result;
}

fleet_table_builder& fleet_table_builder::version(object_version value)
{
    table_.version_ = value;
    return *this;
}

fleet_table_builder& fleet_table_builder::member(fleet_member value)
{
    table_.members_.push_back(std::move(value));
    return *this;
}

fleet_table_builder& fleet_table_builder::server(
    backend_server_id id, holder_list list)
{
    table_.servers_.insert_or_assign(std::move(id), std::move(list));
    return *this;
}

fleet_table fleet_table_builder::build() const
{
    fleet_table result = table_;
    std::sort(result.members_.begin(), result.members_.end(),
        [](const fleet_member& left, const fleet_member& right) {
            return left.key < right.key;
        });
    for (std::size_t index = 0; index < result.members_.size(); ++index) {
        const fleet_member& member = result.members_[index];
        const std::string path = "/members/" + std::to_string(index);
        if (member.key.instance.empty())
            fail(path + "/id", "\"\" is not an instance id");
        if (index > 0 &&
            result.members_[index - 1].key.instance == member.key.instance) {
            fail(path + "/id",
                "\"" + member.key.instance.value() + "\" occurs twice");
        }
        check_witnesses(member, path + "/witnesses", member.witnesses);
        check_witnesses(member, path + "/previous", member.previous);
    }
    for (const auto& [server, list] : result.servers_)
        check_list(result, "/servers/" + server.value(), list);
    return result;
}

} // namespace filberthub
