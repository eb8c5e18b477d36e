// Examines JSON text without building a tree of values, so that one odd part of
// a document neither exhausts the stack nor makes the other parts unreadable.
//
//     if (json_depth(text) > max_json_depth)
//         reject(text);
//     for (std::string_view item : json_elements(json_member(text, "items")))
//         decode(item);

#ifndef FILBERTHUB_BASE_JSON_TEXT_HPP
#define FILBERTHUB_BASE_JSON_TEXT_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filberthub {

// Deepest nesting of a document that is parsed. The documents of filberthub and
// of the platform have at most 8 levels.
inline constexpr std::size_t max_json_depth = 64;

// Returns the number of arrays and objects that are open at the deepest place
// of a text. Linear in its length. The text may be malformed.
std::size_t json_depth(std::string_view text);

// Returns the text of a member of an object, or nothing if `text` is not an
// object or has no such member. The member itself is not checked.
std::optional<std::string_view> json_member(
    std::string_view text, std::string_view name);

// Returns the texts of the elements of an array. They are not checked. Returns
// nothing if `text` is not an array whose end is found.
std::optional<std::vector<std::string_view>> json_elements(
    std::string_view text);

// Returns the text, cut to a length that fits into a log line.
std::string shorten(std::string_view text);

} // namespace filberthub

#endif
