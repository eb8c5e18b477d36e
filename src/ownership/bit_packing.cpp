#include "ownership/bit_packing.hpp"

#include <array>
#include <bit>

namespace filberthub::detail {

namespace {

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned bits_per_character = 6;
constexpr std::uint8_t not_in_alphabet = 0xFF;

constexpr std::array<std::uint8_t, 256> make_values()
{
    std::array<std::uint8_t, 256> values{};
    values.fill(not_in_alphabet);
    for (std::size_t index = 0; index < alphabet.size(); ++index) {
        values[static_cast<unsigned char>(alphabet[index])] =
            static_cast<std::uint8_t>(index);
    }
    return values;
}

constexpr auto character_values = make_values();

} // namespace

unsigned width_of(std::uint64_t maximum)
{
    return static_cast<unsigned>(std::bit_width(maximum));
}

void bit_writer::put(std::uint32_t value, unsigned width)
{
    pending_ |= std::uint64_t{value} << bits_;
    bits_ += width;
    while (bits_ >= bits_per_character) {
        text_.push_back(alphabet[pending_ & 63U]);
        pending_ >>= bits_per_character;
        bits_ -= bits_per_character;
    }
}

std::string bit_writer::finish()
{
    if (bits_ > 0)
        text_.push_back(alphabet[pending_ & 63U]);
    return std::move(text_);
}

std::optional<std::uint32_t> bit_reader::get(unsigned width)
{
    while (bits_ < width) {
        if (position_ == text_.size())
            return std::nullopt;
        const std::uint8_t value =
            character_values[static_cast<unsigned char>(text_[position_])];
        if (value == not_in_alphabet)
            return std::nullopt;
        ++position_;
        pending_ |= std::uint64_t{value} << bits_;
        bits_ += bits_per_character;
    }
    const auto result =
        static_cast<std::uint32_t>(pending_ & ((1ULL << width) - 1));
    pending_ >>= width;
    bits_ -= width;
    return result;
}

} // namespace filberthub::detail
