// The epoch of the platform's store, which increases with each restore from an
// older copy, and the numbers that carry it in their high bits.
//
//     std::uint64_t revision = combined_revision(epoch, 412);
//     if (epochs.observe(reply_epoch) == epoch_change::risen)
//         list_all_objects();

#ifndef FILBERTHUB_ROUTING_STORE_EPOCH_HPP
#define FILBERTHUB_ROUTING_STORE_EPOCH_HPP

#include <filberthub/base/types.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace filberthub {

// 0 if the store does not report an epoch.
using store_epoch = strong_number<struct store_epoch_tag, std::uint64_t>;

inline constexpr unsigned epoch_bits = 18;
inline constexpr std::uint64_t max_epoch = (std::uint64_t{1} << epoch_bits) - 1;

// Position of the epoch in a combined revision. A store with 1,000 writes per
// second reaches this revision after 35 years.
inline constexpr unsigned revision_epoch_shift = 40;
// Position of the epoch in a fencing token, which stays below 2^53, so that
// servers may read it as a floating-point number.
inline constexpr unsigned token_epoch_shift = 35;
// Position of the epoch in the term of a lease.
inline constexpr unsigned term_epoch_shift = 32;

// Returns the revision of the store with its epoch in the high bits; the plain
// revision in epoch 0.
constexpr std::uint64_t combined_revision(
    store_epoch epoch, std::uint64_t plain_revision)
{
    return (epoch.value() << revision_epoch_shift) + plain_revision;
}

constexpr store_epoch epoch_of_revision(std::uint64_t combined)
{
    return store_epoch(combined >> revision_epoch_shift);
}

constexpr store_epoch epoch_of_token(fencing_token token)
{
    return store_epoch(token.value() >> token_epoch_shift);
}

// Returns the lowest token of an epoch.
constexpr fencing_token first_token(store_epoch epoch)
{
    return fencing_token(
        std::max<std::uint64_t>(epoch.value() << token_epoch_shift, 1));
}

constexpr store_epoch epoch_of_term(std::uint64_t term)
{
    return store_epoch(term >> term_epoch_shift);
}

// Returns the term after `term` for a holder that writes in this epoch.
constexpr std::uint64_t next_term(std::uint64_t term, store_epoch epoch)
{
    return std::max(term, epoch.value() << term_epoch_shift) + 1;
}

// Returns the version of the object that a coordinator publishes as its
// `count`th in a term. It increases with the term and with the count.
constexpr object_version published_version(
    std::uint64_t term, std::uint64_t count)
{
    constexpr unsigned plain_term_shift = 32;
    constexpr unsigned term_shift = 28;
    constexpr unsigned epoch_shift = 46;
    const std::uint64_t epoch = epoch_of_term(term).value();
    if (epoch == 0)
        return object_version((term << plain_term_shift) + count);
    const std::uint64_t term_in_epoch = term - (epoch << term_epoch_shift);
    return object_version(
        (epoch << epoch_shift) + (term_in_epoch << term_shift) + count);
}

enum class epoch_change : std::uint8_t
{
    none,
    // The store was restored since the last reply.
    risen,
    // The reply was made before the last known restore, or is wrong.
    outdated
};

// The highest epoch that replies of the store have shown.
class epoch_tracker
{
public:
    // Observes the epoch of a reply, or that it has none. That of the first
    // reply is no change.
    epoch_change observe(std::optional<store_epoch> epoch)
    {
        const bool is_first = !std::exchange(observed_, true);
        if (!epoch || *epoch == current_)
            return epoch_change::none;
        if (*epoch < current_)
            return epoch_change::outdated;
        current_ = *epoch;
        return is_first ? epoch_change::none : epoch_change::risen;
    }

    store_epoch current() const
    {
        return current_;
    }

    // Whether a combined revision is of the current epoch. Without an epoch all
    // revisions are.
    bool is_current(std::uint64_t combined) const
    {
        return current_ == store_epoch{} ||
               epoch_of_revision(combined) == current_;
    }

private:
    store_epoch current_;
    bool observed_ = false;
};

} // namespace filberthub

#endif
