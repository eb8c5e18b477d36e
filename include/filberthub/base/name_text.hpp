// The rule for the texts of names, such as the id of a server.
//
//     if (!is_name_text(text))
//         reject(text);

#ifndef FILBERTHUB_BASE_NAME_TEXT_HPP
#define FILBERTHUB_BASE_NAME_TEXT_HPP

#include <cstddef>
#include <string_view>

namespace filberthub {

// Maximum length of a name, in bytes.
inline constexpr std::size_t max_name_bytes = 256;

// Whether the text has 1 to `max_bytes` bytes, all of which are printable ASCII
// characters, and neither begins nor ends with a space. A header field carries
// exactly these texts unchanged (RFC 9110, 5.5, without `obs-text`).
bool is_name_text(
    std::string_view text, std::size_t max_bytes = max_name_bytes);

// Whether the text is a name whose characters stand for themselves in a query:
// letters, digits and "-._~:@/" (RFC 3986, 3.4, without `sub-delims` and "?").
bool is_plain_name(std::string_view text);

// Throws `error` of kind `bad_request` if the text is neither empty nor a name.
// The message does not contain the text.
void check_name_text(std::string_view text, std::size_t max_bytes);

} // namespace filberthub

#endif
