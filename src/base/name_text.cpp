#include <filberthub/base/error.hpp>
#include <filberthub/base/name_text.hpp>

#include <algorithm>

namespace filberthub {
namespace {

bool is_printable(char character)
{
    return character >= ' ' && character <= '~';
}

bool is_plain(char character)
{
    constexpr std::string_view marks = "-._~:@/";
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') ||
           marks.find(character) != std::string_view::npos;
}

} // namespace

bool is_name_text(std::string_view text, std::size_t max_bytes)
{
    return !text.empty() && text.size() <= max_bytes && text.front() != ' ' &&
           text.back() != ' ' &&
           std::all_of(text.begin(), text.end(), is_printable);
}

bool is_plain_name(std::string_view text)
{
    return is_name_text(text) &&
           std::all_of(text.begin(), text.end(), is_plain);
}

void check_name_text(std::string_view text, std::size_t max_bytes)
{
    if (text.empty() || is_name_text(text, max_bytes))
        return;
    throw error(error_kind::bad_request,
        "a name of " + std::to_string(text.size()) +
            " bytes, expected at most " + std::to_string(max_bytes) +
            " printable ASCII characters without spaces at the ends");
}

} // namespace filberthub
