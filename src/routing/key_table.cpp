#include <filberthub/routing/key_table.hpp>

#include <filberthub/base/json_reader.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr std::int64_t max_stored_integer = std::int64_t{1} << 60;

} // namespace

const key_range* key_table::find(key_number key) const
{
    auto candidate = std::upper_bound(ranges.begin(), ranges.end(), key,
        [](key_number searched_key, const key_range& range) {
            return searched_key < range.first;
        });
    if (candidate == ranges.begin())
        return nullptr;
    --candidate;
    return key <= candidate->last ? &*candidate : nullptr;
}

key_table key_table::from_text(const std::string& text)
{
    const json document = parse_json(text, error_kind::bad_policy);
    json_reader reader(document, error_kind::bad_policy);
    key_table table;
    table.next_token = fencing_token(static_cast<std::uint64_t>(
        reader.integer("next_token", 1, max_stored_integer)));
    for (json_reader& item : reader.objects("ranges")) {
        key_range range;
        range.first =
            static_cast<key_number>(item.integer("first", 0, key_count - 1));
        range.last = static_cast<key_number>(
            item.integer("last", range.first, key_count - 1));
        range.owner = {backend_server_id(item.string("owner")),
            static_cast<std::uint64_t>(
                item.integer("started", 0, max_stored_integer))};
        range.token = fencing_token(static_cast<std::uint64_t>(
            item.integer("token", 1, max_stored_integer)));
        for (json_reader& previous : item.objects("previous")) {
            range.previous.push_back(
                {{backend_server_id(previous.string("owner")),
                     static_cast<std::uint64_t>(
                         previous.integer("started", 0, max_stored_integer))},
                    fencing_token(static_cast<std::uint64_t>(
                        previous.integer("token", 1, max_stored_integer)))});
        }
        table.ranges.push_back(std::move(range));
    }
    return table;
}

std::string key_table::text() const
{
    json items = json::array();
    for (const key_range& range : ranges) {
        json item = {{"first", range.first}, {"last", range.last},
            {"owner", range.owner.id.value()}, {"started", range.owner.started},
            {"token", range.token.value()}};
        for (const previous_owner& previous : range.previous) {
            item["previous"].push_back({{"owner", previous.server.id.value()},
                {"started", previous.server.started},
                {"token", previous.token.value()}});
        }
        items.push_back(std::move(item));
    }
    return json{{"next_token", next_token.value()}, {"ranges", items}}.dump();
}

} // namespace filberthub
