// The record of a non-idempotent request which its home holder leaves at its
// witnesses before the first byte goes to a backend server.
//
//     const request_key key = request_key_of(service, id);
//     intent record{key, token, 1, intent_state::started};

#ifndef FILBERTHUB_ATTEMPT_INTENT_HPP
#define FILBERTHUB_ATTEMPT_INTENT_HPP

#include <filberthub/base/types.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <utility>

namespace filberthub {

// XXH3-128 digest of a service and a request id. It bounds the memory per
// record whatever the length of the id is.
struct request_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see strong.hpp
    auto operator<=>(const request_key&) const = default;
};

request_key request_key_of(const service_id& service, const request_id& id);

enum class intent_state : std::uint8_t
{
    // The holder may have sent it.
    started,
    // It ran.
    done,
    // It may have run.
    unknown,
    // It is proved that it did not run; it may run again.
    not_run,
};

struct intent
{
    request_key key;
    // Token of the holder that started the run.
    fencing_token holder;
    // Grows with each run that this holder starts.
    std::uint64_t run = 0;
    intent_state state = intent_state::started;

    bool operator==(const intent&) const = default;
};

// Whether `left` is an earlier run of the same request id than `right`.
inline bool earlier_run(const intent& left, const intent& right)
{
    return std::pair(left.holder.value(), left.run) <
           std::pair(right.holder.value(), right.run);
}

inline bool same_run(const intent& left, const intent& right)
{
    return left.holder == right.holder && left.run == right.run;
}

// The rules of duplicate suppression. A test derives a variant with one rule
// off, to show that its checks depend on that rule.
struct strict_duplicate_rules
{
    // A repeat of a request that is in progress, done or unknown is not run.
    static constexpr bool suppress_repeats = true;
    // An outcome only applies to the run that it belongs to.
    static constexpr bool match_runs = true;
    // After a takeover, a run without outcome counts as unknown.
    static constexpr bool unknown_after_takeover = true;
    // A witness that restarted does not count for a takeover before it has all
    // records again.
    static constexpr bool require_complete_logs = true;
    // Records for a witness only complete the log of that incarnation of it.
    static constexpr bool match_incarnations = true;
    // A witness refuses intents of a holder once its successor collected.
    static constexpr bool refuse_former_holders = true;
    // A full filter refuses new requests and forgets none.
    static constexpr bool refuse_when_full = true;
};

} // namespace filberthub

template <>
struct std::hash<filberthub::request_key>
{
    std::size_t operator()(const filberthub::request_key& key) const
    {
        return key.low;
    }
};

#endif
