// Intents: records of non-idempotent requests. The holder of the home of a
// request id records the intent at the witnesses before the first byte of the
// request is sent to a backend server, so that its successor knows of it after
// a takeover.
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

// XXH3-128 digest of a service and a request id. It has a fixed size, which
// bounds the memory for a record with an id of any length.
struct request_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see strong.hpp
    auto operator<=>(const request_key&) const = default;
};

request_key request_key_of(const service_id& service, const request_id& id);

// State of a run of a request.
enum class intent_state : std::uint8_t
{
    // The holder may have sent the request.
    started,
    // The request ran.
    done,
    // The request may have run.
    unknown,
    // The request is proved not to have run, so a new run may start.
    not_run,
};

// The record of one run of a request.
struct intent
{
    request_key key;
    // Fencing token of the holder that started the run.
    fencing_token holder;
    // Number of the run; increases with each run that this holder starts.
    std::uint64_t run = 0;
    intent_state state = intent_state::started;

    bool operator==(const intent&) const = default;
};

// Returns whether `left` is an earlier run than `right`, for two runs of the
// same request id.
inline bool earlier_run(const intent& left, const intent& right)
{
    return std::pair(left.holder.value(), left.run) <
           std::pair(right.holder.value(), right.run);
}

// Returns whether both belong to the same run, for two runs of the same request
// id.
inline bool same_run(const intent& left, const intent& right)
{
    return left.holder == right.holder && left.run == right.run;
}

// The rules of duplicate suppression. Tests derive variants with one rule
// switched off, to show that their checks detect the violation of each rule.
struct strict_duplicate_rules
{
    // A repeat of a request that is in progress, done or unknown does not run.
    static constexpr bool suppress_repeats = true;
    // An outcome is applied only to the run that it belongs to.
    static constexpr bool match_runs = true;
    // After a takeover, a run without an outcome counts as unknown.
    static constexpr bool unknown_after_takeover = true;
    // A restarted witness does not count towards the majority of a takeover
    // before it has all records again.
    static constexpr bool require_complete_logs = true;
    // A synchronization completes only the log of the incarnation of the
    // witness that it was sent to.
    static constexpr bool match_incarnations = true;
    // A witness refuses intents of a holder after its successor has collected
    // the intents.
    static constexpr bool refuse_former_holders = true;
    // A full filter refuses new requests and does not evict any record.
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
