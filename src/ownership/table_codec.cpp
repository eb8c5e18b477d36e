#include "ownership/bit_packing.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/ownership/table_codec.hpp>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace filberthub {

namespace {

// Token and previous primary of the last move of a group. Many groups share one
// origin, so each assignment holds a position in a list of origins.
using origin = std::pair<group_token, server_index>;

json encode_servers(const ownership_table& table)
{
    json list = json::array();
    for (const backend_server_id& id : table.servers())
        list.push_back(id.value());
    return list;
}

// `no_server` is encoded as -1.
std::int64_t to_number(server_index index)
{
    return index == no_server ? -1 : std::int64_t{index.value()};
}

server_index to_server(std::int64_t number)
{
    return number < 0 ? no_server
                      : server_index(static_cast<std::uint16_t>(number));
}

json encode_hot_keys(const ownership_table& table)
{
    json list = json::array();
    for (const hot_key& entry : table.hot_keys()) {
        list.push_back({{"key", entry.key}, {"group", entry.group.value()},
            {"primary", to_number(entry.owner.primary)},
            {"backup", to_number(entry.owner.backup)},
            {"previous", to_number(entry.owner.previous)},
            {"token", entry.owner.token.value()}});
    }
    return list;
}

// Returns the width of a group number. There are far fewer isolated keys than
// common groups, so one additional bit is enough for them.
unsigned width_of_groups(const ownership_table& table)
{
    return detail::width_of(2ULL * table.groups().value() - 1);
}

json encode_earlier(const ownership_table& table)
{
    std::map<group_token, std::uint32_t> tokens;
    for (const earlier_owner& entry : table.earlier_owners())
        tokens.try_emplace(entry.token, 0);
    json list = json::array();
    for (auto& [token, position] : tokens) {
        position = static_cast<std::uint32_t>(list.size());
        list.push_back(token.value());
    }
    const unsigned server_width = detail::width_of(table.servers().size());
    const unsigned token_width = detail::width_of(tokens.size());
    detail::bit_writer writer;
    for (const earlier_owner& entry : table.earlier_owners()) {
        writer.put(entry.group.value(), width_of_groups(table));
        writer.put(entry.server.value(), server_width);
        writer.put(tokens.at(entry.token), token_width);
    }
    return {{"count", table.earlier_owners().size()},
        {"tokens", std::move(list)}, {"owners", writer.finish()}};
}

// Writes the assignments of `groups` and the origins that they refer to. A part
// of a table also needs the group numbers, which `with_group_numbers` adds.
void encode_assignments(const ownership_table& table,
    const std::vector<key_group>& groups, bool with_group_numbers, json& object)
{
    std::map<origin, std::uint32_t> origins;
    for (const key_group group : groups) {
        const assignment& owner = table.at(group);
        origins.try_emplace({owner.token, owner.previous}, 0);
    }
    json list = json::array();
    for (auto& [entry, position] : origins) {
        position = static_cast<std::uint32_t>(list.size());
        list.push_back({entry.first.value(), to_number(entry.second)});
    }
    const unsigned group_width = detail::width_of(table.groups().value() - 1);
    const unsigned server_width = detail::width_of(table.servers().size());
    const unsigned origin_width = detail::width_of(origins.size());
    detail::bit_writer writer;
    for (const key_group group : groups) {
        const assignment& owner = table.at(group);
        if (with_group_numbers)
            writer.put(group.value(), group_width);
        writer.put(owner.primary.value(), server_width);
        // Encoded as the position plus 1; 0 means that there is no backup.
        writer.put(owner.backup == no_server ? 0 : owner.backup.value() + 1U,
            server_width);
        writer.put(origins.at({owner.token, owner.previous}), origin_width);
    }
    object["origins"] = std::move(list);
    object["assignments"] = writer.finish();
}

// Returns the integer at `index` of the array `list`, which has to be within
// the bounds.
std::int64_t integer_at(const json_reader& reader, const std::string& field,
    const json& list, std::size_t index, std::int64_t minimum,
    std::int64_t maximum)
{
    if (!list.is_array() || index >= list.size() ||
        !list[index].is_number_integer() ||
        list[index].get<std::int64_t>() < minimum ||
        list[index].get<std::int64_t>() > maximum) {
        reader.fail(field, list.dump() + " has no integer from " +
                               std::to_string(minimum) + " to " +
                               std::to_string(maximum) + " at position " +
                               std::to_string(index));
    }
    return list[index].get<std::int64_t>();
}

const json& array_in(json_reader& reader, const std::string& field)
{
    const json& list = reader.value(field);
    if (!list.is_array())
        reader.fail(field, "expected an array");
    return list;
}

void decode_servers(json_reader& reader, ownership_table_builder& builder)
{
    std::vector<backend_server_id> servers;
    for (std::string& id : reader.strings("servers"))
        servers.emplace_back(std::move(id));
    if (servers.size() >= no_server.value())
        reader.fail("servers", std::to_string(servers.size()) +
                                   " servers: expected at most 65534");
    builder.set_servers(std::move(servers));
}

void decode_hot_keys(json_reader& reader, ownership_table_builder& builder)
{
    for (json_reader entry : reader.objects("hot")) {
        const auto server = [&](const char* field) {
            return to_server(entry.integer(field, -1, no_server.value() - 1));
        };
        hot_key hot{entry.string("key"),
            key_group(static_cast<std::uint32_t>(
                entry.integer("group", 0, UINT32_MAX))),
            {server("primary"), server("backup"), server("previous"),
                group_token(static_cast<std::uint32_t>(
                    entry.integer("token", 0, UINT32_MAX)))}};
        entry.finish();
        builder.set_hot_key(std::move(hot));
    }
}

std::vector<origin> decode_origins(json_reader& reader)
{
    std::vector<origin> origins;
    const json& list = array_in(reader, "origins");
    origins.reserve(list.size());
    for (std::size_t index = 0; index < list.size(); ++index) {
        const std::string path = "origins/" + std::to_string(index);
        const auto token =
            integer_at(reader, path, list[index], 0, 0, UINT32_MAX);
        const auto from =
            integer_at(reader, path, list[index], 1, -1, no_server.value() - 1);
        origins.emplace_back(
            group_token(static_cast<std::uint32_t>(token)), to_server(from));
    }
    return origins;
}

// Reads packed numbers from `text`. `reader` and `text` have to outlive it.
// Errors name the field.
class packed_numbers
{
public:
    packed_numbers(
        const json_reader& reader, std::string field, const std::string& text)
        : reader_(&reader), field_(std::move(field)), text_(&text), bits_(text)
    {}

    std::uint32_t get(unsigned width, std::size_t limit)
    {
        const auto value = bits_.get(width);
        if (!value || *value >= limit) {
            reader_->fail(field_,
                "character " + std::to_string(bits_.position()) + " of " +
                    std::to_string(text_->size()) +
                    ": expected a number below " + std::to_string(limit));
        }
        return *value;
    }

    // Throws if there is text after the last number.
    void finish() const
    {
        if (bits_.position() != text_->size()) {
            reader_->fail(field_, std::to_string(text_->size()) +
                                      " characters, expected " +
                                      std::to_string(bits_.position()));
        }
    }

private:
    const json_reader* reader_;
    std::string field_;
    const std::string* text_;
    detail::bit_reader bits_;
};

// Reads `count` assignments. `with_group_numbers` means that the text contains
// the group numbers.
void decode_assignments(json_reader& reader, ownership_table_builder& builder,
    std::size_t count, bool with_group_numbers)
{
    const std::vector<origin> origins = decode_origins(reader);
    const std::string text = reader.string("assignments");
    packed_numbers numbers(reader, "assignments", text);
    const ownership_table& table = builder.draft();
    const std::size_t servers = table.servers().size();
    const unsigned group_width = detail::width_of(table.groups().value() - 1);
    const unsigned server_width = detail::width_of(servers);
    const unsigned origin_width = detail::width_of(origins.size());
    for (std::size_t index = 0; index < count; ++index) {
        const key_group group(
            with_group_numbers
                ? numbers.get(group_width, table.groups().value())
                : static_cast<std::uint32_t>(index));
        assignment owner;
        owner.primary = server_index(
            static_cast<std::uint16_t>(numbers.get(server_width, servers)));
        const std::uint32_t backup = numbers.get(server_width, servers + 1);
        if (backup > 0)
            owner.backup = server_index(static_cast<std::uint16_t>(backup - 1));
        std::tie(owner.token, owner.previous) =
            origins[numbers.get(origin_width, origins.size())];
        builder.set(group, owner);
    }
    numbers.finish();
}

void decode_earlier(json_reader& reader, ownership_table_builder& builder)
{
    json_reader object = reader.object("earlier");
    const auto count =
        static_cast<std::size_t>(object.integer("count", 0, UINT32_MAX));
    const json& tokens = array_in(object, "tokens");
    const std::string text = object.string("owners");
    packed_numbers numbers(object, "owners", text);
    const ownership_table& table = builder.draft();
    const unsigned group_width = width_of_groups(table);
    const unsigned server_width = detail::width_of(table.servers().size());
    const unsigned token_width = detail::width_of(tokens.size());
    std::vector<earlier_owner> earlier;
    for (std::size_t index = 0; index < count; ++index) {
        const key_group group(
            numbers.get(group_width, 2ULL * table.groups().value()));
        const server_index server(static_cast<std::uint16_t>(
            numbers.get(server_width, table.servers().size())));
        const auto position = numbers.get(token_width, tokens.size());
        const group_token token(static_cast<std::uint32_t>(
            integer_at(object, "tokens", tokens, position, 0, UINT32_MAX)));
        earlier.push_back({group, server, token});
    }
    numbers.finish();
    object.finish();
    builder.set_earlier_owners(std::move(earlier));
}

table_version version_in(json_reader& reader, const std::string& field)
{
    return table_version(static_cast<std::uint32_t>(
        reader.integer(field, 1, maximum_table_version.value())));
}

group_count groups_in(json_reader& reader)
{
    const auto groups = static_cast<std::uint32_t>(
        reader.integer("groups", 1, group_count::maximum));
    if ((groups & (groups - 1)) != 0)
        reader.fail(
            "groups", std::to_string(groups) + " is not a power of two");
    return group_count(groups);
}

} // namespace

json encode(const ownership_table& table)
{
    if (table.version() == table_version(0)) {
        throw error(error_kind::internal, "table version 0 of " +
                                              table.service().value() +
                                              " has no owners to encode");
    }
    std::vector<key_group> groups;
    groups.reserve(table.groups().value());
    for (std::uint32_t group = 0; group < table.groups().value(); ++group)
        groups.emplace_back(group);
    json object = {{"service", table.service().value()},
        {"version", table.version().value()},
        {"groups", table.groups().value()}, {"servers", encode_servers(table)},
        {"hot", encode_hot_keys(table)}, {"earlier", encode_earlier(table)}};
    encode_assignments(table, groups, false, object);
    return object;
}

ownership_table decode_table(const json& object)
{
    json_reader reader(object, error_kind::internal);
    ownership_table_builder builder(service_id(reader.string("service")),
        groups_in(reader), version_in(reader, "version"));
    decode_servers(reader, builder);
    decode_assignments(
        reader, builder, builder.draft().groups().value(), false);
    decode_hot_keys(reader, builder);
    decode_earlier(reader, builder);
    reader.finish();
    return std::move(builder).build();
}

json encode_delta(const ownership_table& from, const ownership_table& to)
{
    if (from.service() != to.service() || from.groups() != to.groups()) {
        throw error(error_kind::internal,
            "cannot make a delta from a table of " + from.service().value() +
                " with " + std::to_string(from.groups().value()) +
                " groups to a table of " + to.service().value() + " with " +
                std::to_string(to.groups().value()) + " groups");
    }
    std::vector<key_group> changed;
    for (std::uint32_t number = 0; number < to.groups().value(); ++number) {
        const key_group group(number);
        if (from.at(group) != to.at(group))
            changed.push_back(group);
    }
    json object = {{"service", to.service().value()},
        {"from", from.version().value()}, {"version", to.version().value()},
        {"groups", to.groups().value()}, {"changed", changed.size()},
        {"hot", encode_hot_keys(to)}, {"earlier", encode_earlier(to)}};
    if (from.servers() != to.servers())
        object["servers"] = encode_servers(to);
    encode_assignments(to, changed, true, object);
    return object;
}

ownership_table apply_delta(const ownership_table& from, const json& delta)
{
    json_reader reader(delta, error_kind::internal);
    const table_version base = version_in(reader, "from");
    const std::string service = reader.string("service");
    const group_count groups = groups_in(reader);
    if (base != from.version() || service != from.service().value() ||
        groups != from.groups()) {
        throw error(error_kind::revision_conflict,
            "delta from version " + std::to_string(base.value()) + " of " +
                service + " does not apply to version " +
                std::to_string(from.version().value()) + " of " +
                from.service().value());
    }
    // A delta contains all isolated keys.
    ownership_table_builder builder(from, version_in(reader, "version"));
    builder.clear_hot_keys();
    if (reader.has("servers"))
        decode_servers(reader, builder);
    const auto count =
        static_cast<std::size_t>(reader.integer("changed", 0, groups.value()));
    decode_assignments(reader, builder, count, true);
    decode_hot_keys(reader, builder);
    decode_earlier(reader, builder);
    reader.finish();
    return std::move(builder).build();
}

} // namespace filberthub
