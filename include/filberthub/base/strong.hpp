// Strong types for identifiers and quantities.
//
// A `strong_name` wraps a string and a `strong_number` wraps an integer, so
// that an instance id cannot be passed where a service id is expected:
//
//     using service_id = strong_name<struct service_tag>;
//     service_id id("kartlas");
//
// Text from outside the process is checked where it becomes a name:
//
//     if (const auto id = service_id::from(text))
//         use(*id);

#ifndef FILBERTHUB_BASE_STRONG_HPP
#define FILBERTHUB_BASE_STRONG_HPP

#include <filberthub/base/name_text.hpp>

#include <compare>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

namespace filberthub {

// A string that identifies entities of one kind. Ordered and hashable.
// Guarantees that its text is empty, which stands for no entity, or fits
// `is_name_text` with `MaxBytes`: it can be put into a header field, a JSON
// document or a log line as it is.
template <class Tag, std::size_t MaxBytes = max_name_bytes>
class strong_name
{
public:
    strong_name() = default;
    // Throws `error` of kind `bad_request` if the text is not a name.
    explicit strong_name(std::string value) : value_(std::move(value))
    {
        check_name_text(value_, MaxBytes);
    }

    // Returns the name with this text, or nothing if the text is empty or not a
    // name.
    static std::optional<strong_name> from(std::string_view text)
    {
        if (!is_name_text(text, MaxBytes))
            return std::nullopt;
        strong_name result;
        result.value_ = std::string(text);
        return result;
    }

    const std::string& value() const
    {
        return value_;
    }

    bool empty() const
    {
        return value_.empty();
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): as in strong_number
    auto operator<=>(const strong_name&) const = default;

private:
    std::string value_;
};

// An integer of one unit or meaning. Ordered and hashable; arithmetic uses
// `value()`.
template <class Tag, class Rep>
class strong_number
{
public:
    using rep = Rep;

    constexpr strong_number() = default;
    constexpr explicit strong_number(Rep value) : value_(value) {}

    constexpr Rep value() const
    {
        return value_;
    }

    // Returns the number after this one.
    constexpr strong_number next() const
    {
        return strong_number(value_ + 1);
    }

    // clang-tidy 14 takes the 0 of a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const strong_number&) const = default;

private:
    Rep value_{};
};

template <class Tag, std::size_t MaxBytes>
std::ostream& operator<<(
    std::ostream& stream, const strong_name<Tag, MaxBytes>& name)
{
    return stream << name.value();
}

template <class Tag, class Rep>
std::ostream& operator<<(
    std::ostream& stream, const strong_number<Tag, Rep>& number)
{
    return stream << +number.value();
}

} // namespace filberthub

template <class Tag, std::size_t MaxBytes>
struct std::hash<filberthub::strong_name<Tag, MaxBytes>>
{
    std::size_t operator()(
        const filberthub::strong_name<Tag, MaxBytes>& name) const
    {
        return std::hash<std::string>()(name.value());
    }
};

template <class Tag, class Rep>
struct std::hash<filberthub::strong_number<Tag, Rep>>
{
    std::size_t operator()(
        const filberthub::strong_number<Tag, Rep>& number) const
    {
        return std::hash<Rep>()(number.value());
    }
};

#endif
