#include <filberthub/base/json_reader.hpp>

#include <filberthub/base/json_text.hpp>

namespace filberthub {

json parse_json(std::string_view text, error_kind kind)
{
    const std::size_t depth = json_depth(text);
    if (depth > max_json_depth) {
        throw error(kind, "not valid JSON: " + std::to_string(depth) +
                              " levels of nesting are above the maximum " +
                              std::to_string(max_json_depth));
    }
    try {
        return json::parse(text);
    } catch (const json::exception& failure) {
        // The library reports a number that is too large as `out_of_range`.
        throw error(kind, "not valid JSON: " + shorten(failure.what()));
    }
}

json_reader::json_reader(const json& object, error_kind kind, std::string path)
    : object_(&object), kind_(kind), path_(std::move(path))
{
    if (!object.is_object()) {
        throw error(kind_,
            "field \"" + path_ + "\": " + object.dump() + " is not an object");
    }
}

bool json_reader::has(const std::string& field) const
{
    return object_->contains(field);
}

std::string json_reader::string(const std::string& field)
{
    const json& actual = value(field);
    if (!actual.is_string())
        fail(field, actual.dump() + " is not a string");
    return actual.get<std::string>();
}

std::string json_reader::string_or(
    const std::string& field, std::string fallback)
{
    return find(field) == nullptr ? std::move(fallback) : string(field);
}

std::int64_t json_reader::integer(
    const std::string& field, std::int64_t minimum, std::int64_t maximum)
{
    const json& actual = value(field);
    if (!actual.is_number_integer())
        fail(field, actual.dump() + " is not an integer");
    if (actual.is_number_unsigned() &&
        actual.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX))
        fail(field, actual.dump() + " is above the maximum");
    const auto number = actual.get<std::int64_t>();
    if (number < minimum) {
        fail(field, std::to_string(number) + " is below the minimum " +
                        std::to_string(minimum));
    }
    if (number > maximum) {
        fail(field, std::to_string(number) + " is above the maximum " +
                        std::to_string(maximum));
    }
    return number;
}

std::int64_t json_reader::integer_or(const std::string& field,
    std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    return find(field) == nullptr ? fallback : integer(field, minimum, maximum);
}

bool json_reader::boolean_or(const std::string& field, bool fallback)
{
    const json* actual = find(field);
    if (actual == nullptr)
        return fallback;
    if (!actual->is_boolean())
        fail(field, actual->dump() + " is neither true nor false");
    return actual->get<bool>();
}

json_reader json_reader::object(const std::string& field)
{
    return json_reader(value(field), kind_, path_ + "/" + field);
}

std::vector<json_reader> json_reader::objects(const std::string& field)
{
    std::vector<json_reader> result;
    const json* actual = find(field);
    if (actual == nullptr)
        return result;
    if (!actual->is_array())
        fail(field, actual->dump() + " is not an array");
    for (std::size_t index = 0; index < actual->size(); ++index) {
        result.emplace_back((*actual)[index], kind_,
            path_ + "/" + field + "/" + std::to_string(index));
    }
    return result;
}

std::vector<std::string> json_reader::strings(const std::string& field)
{
    std::vector<std::string> result;
    const json* actual = find(field);
    if (actual == nullptr)
        return result;
    if (!actual->is_array())
        fail(field, actual->dump() + " is not an array");
    for (const json& item : *actual) {
        if (!item.is_string())
            fail(field, item.dump() + " is not a string");
        result.push_back(item.get<std::string>());
    }
    return result;
}

const json& json_reader::value(const std::string& field)
{
    const json* actual = find(field);
    if (actual == nullptr)
        fail(field, "it is missing");
    return *actual;
}

void json_reader::finish() const
{
    for (const auto& item : object_->items()) {
        if (!requested_fields_.contains(item.key()))
            fail(item.key(), "there is no such field");
    }
}

void json_reader::fail(
    const std::string& field, const std::string& message) const
{
    throw error(
        kind_, "field \"" + path_ + "/" + field + "\": " + shorten(message));
}

const json* json_reader::find(const std::string& field)
{
    requested_fields_.insert(field);
    const auto found = object_->find(field);
    return found == object_->end() ? nullptr : &*found;
}

} // namespace filberthub
