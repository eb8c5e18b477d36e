#include <filberthub/base/json_text.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr std::size_t max_log_length = 200;

bool is_space(char letter)
{
    return letter == ' ' || letter == '\n' || letter == '\r' || letter == '\t';
}

std::size_t skip_space(std::string_view text, std::size_t position)
{
    while (position < text.size() && is_space(text[position]))
        ++position;
    return position;
}

// Returns the position after the string that begins at `position`, or the
// length of the text if the string has no end.
std::size_t skip_string(std::string_view text, std::size_t position)
{
    for (++position; position < text.size(); ++position) {
        if (text[position] == '\\')
            ++position;
        else if (text[position] == '"')
            return position + 1;
    }
    return text.size();
}

// Returns the position after the value that begins at `position`: that of the
// comma or closing bracket behind it, or the length of the text.
std::size_t skip_value(std::string_view text, std::size_t position)
{
    std::size_t open = 0;
    while (position < text.size()) {
        const char letter = text[position];
        if (letter == '"') {
            position = skip_string(text, position);
            continue;
        }
        if (open == 0 && (letter == ',' || letter == ']' || letter == '}'))
            return position;
        if (letter == '[' || letter == '{')
            ++open;
        else if (letter == ']' || letter == '}')
            --open;
        ++position;
    }
    return position;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && is_space(text.back()))
        text.remove_suffix(1);
    return text;
}

} // namespace

std::size_t json_depth(std::string_view text)
{
    std::size_t open = 0;
    std::size_t deepest = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char letter = text[position];
        if (letter == '"') {
            position = skip_string(text, position) - 1;
        } else if (letter == '[' || letter == '{') {
            ++open;
            deepest = std::max(deepest, open);
        } else if ((letter == ']' || letter == '}') && open > 0) {
            --open;
        }
    }
    return deepest;
}

std::optional<std::string_view> json_member(
    std::string_view text, std::string_view name)
{
    std::size_t position = skip_space(text, 0);
    if (position == text.size() || text[position] != '{')
        return std::nullopt;
    do {
        position = skip_space(text, position + 1);
        if (position == text.size() || text[position] != '"')
            return std::nullopt;
        const std::size_t name_end = skip_string(text, position);
        const std::string_view found =
            text.substr(position + 1, name_end - position - 1);
        const std::size_t colon = skip_space(text, name_end);
        if (colon == text.size() || text[colon] != ':')
            return std::nullopt;
        const std::size_t begin = skip_space(text, colon + 1);
        position = skip_value(text, begin);
        if (position == text.size())
            return std::nullopt;
        // `found` still has the closing quote.
        if (found.substr(0, found.size() - 1) == name)
            return trimmed(text.substr(begin, position - begin));
    } while (text[position] == ',');
    return std::nullopt;
}

std::optional<std::vector<std::string_view>> json_elements(
    std::string_view text)
{
    std::size_t position = skip_space(text, 0);
    if (position == text.size() || text[position] != '[')
        return std::nullopt;
    std::vector<std::string_view> elements;
    if (const std::size_t first = skip_space(text, position + 1);
        first < text.size() && text[first] == ']')
        return elements;
    do {
        const std::size_t begin = skip_space(text, position + 1);
        position = skip_value(text, begin);
        if (position == text.size() || text[position] == '}')
            return std::nullopt;
        elements.push_back(trimmed(text.substr(begin, position - begin)));
    } while (text[position] == ',');
    return elements;
}

std::string shorten(std::string_view text)
{
    if (text.size() <= max_log_length)
        return std::string(text);
    return std::string(text.substr(0, max_log_length)) + "... (" +
           std::to_string(text.size()) + " bytes)";
}

} // namespace filberthub
