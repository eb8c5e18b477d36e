#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>

#include <array>
#include <charconv>

namespace filberthub {
namespace {

constexpr std::array<std::string_view, priority_count> priority_names = {
    "rescue", "interactive", "edit", "bulk"};

} // namespace

std::string_view to_string(priority value)
{
    return priority_names.at(static_cast<std::size_t>(value));
}

priority priority_from_string(std::string_view text)
{
    for (std::size_t index = 0; index < priority_names.size(); ++index) {
        if (priority_names.at(index) == text)
            return static_cast<priority>(index);
    }
    throw error(error_kind::bad_request,
        "priority \"" + std::string(text) +
            "\" is none of rescue, interactive, edit, bulk");
}

endpoint endpoint_from_string(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    endpoint result;
    if (colon != std::string_view::npos && colon > 0) {
        const char* first = text.data() + colon + 1;
        const char* last = text.data() + text.size();
        const auto parsed = std::from_chars(first, last, result.port);
        if (parsed.ec == std::errc() && parsed.ptr == last && first != last) {
            result.address = std::string(text.substr(0, colon));
            return result;
        }
    }
    throw error(error_kind::bad_settings,
        "address \"" + std::string(text) + "\" is not of the form IP:PORT");
}

std::string to_string(const endpoint& value)
{
    return value.address + ":" + std::to_string(value.port);
}

} // namespace filberthub
