#include <filberthub/membership/fleet_table.hpp>

#include <filberthub/base/json_reader.hpp>

namespace filberthub {
namespace {

constexpr error_kind kind = error_kind::bad_policy;

std::vector<instance_id> ids_of(const std::vector<std::string>& names)
{
    std::vector<instance_id> result;
    result.reserve(names.size());
    for (const std::string& name : names)
        result.emplace_back(name);
    return result;
}

json names_of(const std::vector<instance_id>& ids)
{
    json result = json::array();
    for (const instance_id& id : ids)
        result.push_back(id.value());
    return result;
}

fleet_member read_member(json_reader& reader)
{
    fleet_member member;
    member.key.instance = instance_id(reader.string("id"));
    member.key.run = incarnation(
        static_cast<std::uint64_t>(reader.integer("run", 0, INT64_MAX)));
    member.address.address = reader.string("ip");
    member.address.port =
        static_cast<std::uint16_t>(reader.integer("port", 0, UINT16_MAX));
    member.domain = failure_domain_id(reader.string("domain"));
    member.witnesses = ids_of(reader.strings("witnesses"));
    member.previous = ids_of(reader.strings("previous"));
    member.changed = object_version(static_cast<std::uint64_t>(
        reader.integer_or("changed", 0, INT64_MAX, 0)));
    member.ready = reader.boolean_or("ready", false);
    reader.finish();
    return member;
}

// Reads a place, written as [index of the member, version of the append].
holder_entry read_entry(const json& place,
    const std::vector<fleet_member>& members, const std::string& path)
{
    const bool well_formed = place.is_array() && place.size() == 2 &&
                             place[0].is_number_unsigned() &&
                             place[1].is_number_unsigned();
    if (!well_formed) {
        throw error(kind, "field \"" + path + "\": " + place.dump() +
                              " is not [member index, version]");
    }
    const auto index = place[0].get<std::uint64_t>();
    if (index >= members.size()) {
        throw error(kind, "field \"" + path + "/0\": " + std::to_string(index) +
                              " is not a member index, expected less than " +
                              std::to_string(members.size()));
    }
    return {members[index].key, object_version(place[1].get<std::uint64_t>())};
}

holder_list read_list(json_reader& reader, const std::string& server,
    const std::vector<fleet_member>& members)
{
    const json& places = reader.value(server);
    const std::string path = "/servers/" + server;
    if (!places.is_array())
        reader.fail(server, places.dump() + " is not an array");
    holder_list list;
    for (std::size_t index = 0; index < places.size(); ++index) {
        list.entries.push_back(read_entry(
            places[index], members, path + "/" + std::to_string(index)));
    }
    return list;
}

} // namespace

fleet_table fleet_table_from_json(std::string_view text)
{
    const json document = parse_json(text, kind);
    json_reader reader(document, kind);
    fleet_table_builder builder;
    builder.version(object_version(
        static_cast<std::uint64_t>(reader.integer("version", 0, INT64_MAX))));

    std::vector<fleet_member> members;
    for (json_reader& item : reader.objects("members"))
        members.push_back(read_member(item));
    for (const fleet_member& member : members)
        builder.member(member);

    const json& servers = reader.value("servers");
    json_reader lists = reader.object("servers");
    const std::vector<std::string> removed = reader.strings("removed");
    const std::vector<std::string> replaced = reader.strings("replaced");
    for (const auto& item : servers.items()) {
        holder_list list = read_list(lists, item.key(), members);
        for (const std::string& name : removed)
            list.removed = list.removed || name == item.key();
        for (const std::string& name : replaced)
            list.replaced = list.replaced || name == item.key();
        builder.server(backend_server_id(item.key()), std::move(list));
    }
    reader.finish();
    return builder.build();
}

std::string to_json(const fleet_table& table)
{
    json members = json::array();
    for (const fleet_member& member : table.members()) {
        json item = {{"id", member.key.instance.value()},
            {"run", member.key.run.value()}, {"ip", member.address.address},
            {"port", member.address.port}, {"domain", member.domain.value()},
            {"witnesses", names_of(member.witnesses)},
            {"changed", member.changed.value()}, {"ready", member.ready}};
        if (!member.previous.empty())
            item["previous"] = names_of(member.previous);
        members.push_back(std::move(item));
    }
    json servers = json::object();
    json removed = json::array();
    json replaced = json::array();
    for (const auto& [server, list] : table.servers()) {
        json places = json::array();
        for (const holder_entry& entry : list.entries) {
            const fleet_member* member = table.find(entry.member);
            places.push_back(
                {static_cast<std::uint64_t>(member - table.members().data()),
                    entry.since.value()});
        }
        servers[server.value()] = std::move(places);
        if (list.removed)
            removed.push_back(server.value());
        if (list.replaced)
            replaced.push_back(server.value());
    }
    const json document = {{"version", table.version().value()},
        {"members", std::move(members)}, {"servers", std::move(servers)},
        {"removed", std::move(removed)}, {"replaced", std::move(replaced)}};
    return document.dump();
}

} // namespace filberthub
