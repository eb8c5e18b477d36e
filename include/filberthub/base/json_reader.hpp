// Reads typed fields from a JSON document and names the path in each error.
//
//     json_reader reader(document);
//     auto slots = reader.object("limits").integer("slots", 1, 1024);
//     reader.finish();   // refuses fields that were not read

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

// Parses `text`. Throws `error` of kind `kind` with the position of the fault.
json parse_json(std::string_view text, error_kind kind);

// A view of one JSON object. It refers to the document, which has to outlive
// it. Every function throws `error` of the kind given at construction with the
// path, the value seen and what was expected.
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

    // Returns the object in `field`.
    json_reader object(const std::string& field);
    // Returns the objects of the array in `field`; none if it is absent.
    std::vector<json_reader> objects(const std::string& field);
    // Returns the strings of the array in `field`; none if it is absent.
    std::vector<std::string> strings(const std::string& field);
    // Returns the unchecked value of `field`, which has to exist.
    const json& value(const std::string& field);

    // Throws if the object has a field that no call above asked for. To be
    // called once after the last field was read.
    void finish() const;

    const std::string& path() const
    {
        return path_;
    }

    // Throws an error that names the path of `field`.
    [[noreturn]] void fail(
        const std::string& field, const std::string& message) const;

private:
    const json* find(const std::string& field);

    const json* object_;
    error_kind kind_;
    std::string path_;
    std::set<std::string> known_;
};

} // namespace filberthub

#endif
