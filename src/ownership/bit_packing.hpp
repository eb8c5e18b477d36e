// Packs unsigned numbers of up to 32 bits each into Base64 text without
// padding.
//
//     bit_writer writer;
//     writer.put(5, 3);
//     std::string text = writer.finish();
//     std::optional<std::uint32_t> number = bit_reader(text).get(3);  // 5

#ifndef FILBERTHUB_OWNERSHIP_BIT_PACKING_HPP
#define FILBERTHUB_OWNERSHIP_BIT_PACKING_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filberthub::detail {

// Returns the number of bits that hold each number up to `maximum`.
unsigned width_of(std::uint64_t maximum);

class bit_writer
{
public:
    // Appends the lowest `width` bits of `value`; `width` is at most 32.
    void put(std::uint32_t value, unsigned width);
    // Returns the text. Call this once, after the last number.
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

    // Returns the next number, or nothing at the end of the text or if it has a
    // character that is not in the Base64 alphabet. `width` is at most 32.
    std::optional<std::uint32_t> get(unsigned width);

    // Returns the number of characters read so far.
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
