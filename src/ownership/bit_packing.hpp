// Packs unsigned numbers of few bits into a Base64 text without padding.

#ifndef FILBERTHUB_OWNERSHIP_BIT_PACKING_HPP
#define FILBERTHUB_OWNERSHIP_BIT_PACKING_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filberthub::detail {

// Returns how many bits hold all numbers up to `maximum`.
unsigned width_of(std::uint64_t maximum);

class bit_writer
{
public:
    // Appends the lowest `width` bits of `value`; `width` is at most 32.
    void put(std::uint32_t value, unsigned width);
    // Returns the text. To be called once, after the last number.
    std::string finish();

private:
    std::uint64_t pending_ = 0;
    unsigned bits_ = 0;
    std::string text_;
};

class bit_reader
{
public:
    explicit bit_reader(std::string_view text) : text_(text) {}

    // Returns the next number, or nothing at the end of the text and for a
    // character outside the alphabet.
    std::optional<std::uint32_t> get(unsigned width);

    // Returns how many characters were read.
    std::size_t position() const
    {
        return position_;
    }

private:
    std::string_view text_;
    std::size_t position_ = 0;
    std::uint64_t pending_ = 0;
    unsigned bits_ = 0;
};

} // namespace filberthub::detail

#endif
