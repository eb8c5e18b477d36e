// Reads typed fields from a JSON document. Each error names the path of the
// field.
//
//     json_reader reader(document);
//     auto slots = reader.object("limits").integer("slots", 1, 1024);
//     reader.finish();   // throws if the document has other fields

#ifndef FILBERTHUB_BASE_JSON_READER_HPP
#define FILBERTHUB_BASE_JSON_READER_HPP

#include <filberthub/base/error.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace filberthub {

using json = nlohmann::json;

// Parses `text`. Throws `error` of the given kind, with the position of the
// syntax error. A text that is nested deeper than `max_json_depth` is refused
// before it is parsed, because other functions of the library recurse into
// values.
json parse_json(std::string_view text, error_kind kind);

// A view of one JSON object. The document must outlive it. Each function that
// reads a field throws `error` of the kind given at construction, with the
// path, the actual value and the expected one.
class json_reader
{
public:
    explicit json_reader(const json& object,
        error_kind kind = error_kind::bad_settings, std::string path = "");

    bool has(const std::string& field) const;

    std::string string(const std::string& field);
    std::string string_or(const std::string& field, std::string fallback);
    std::int64_t integer(
        const std::string& field, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer_or(const std::string& field, std::int64_t minimum,
        std::int64_t maximum, std::int64_t fallback);
    bool boolean_or(const std::string& field, bool fallback);

    // Returns a reader of the object in `field`.
    json_reader object(const std::string& field);
    // Returns readers of the objects in the array `field`, or an empty vector
    // if the field is absent.
    std::vector<json_reader> objects(const std::string& field);
    // Returns the strings in the array `field`, or an empty vector if the field
    // is absent.
    std::vector<std::string> strings(const std::string& field);
    // Returns the value of `field` without a check of its type. Throws if the
    // field is absent.
    const json& value(const std::string& field);

    // Throws if the object has a field that none of the calls above requested,
    // such as a misspelled one. Call once, after the last field has been read.
    void finish() const;

    const std::string& path() const
    {
        return path_;
    }

    // Throws an error with the path of `field`. Call when the caller's own
    // check of a value fails.
    [[noreturn]] void fail(
        const std::string& field, const std::string& message) const;

private:
    const json* find(const std::string& field);

    const json* object_;
    error_kind kind_;
    std::string path_;
    std::set<std::string> requested_fields_;
};

} // namespace filberthub

#endif
