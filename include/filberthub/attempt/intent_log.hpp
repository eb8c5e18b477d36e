// Intents at the witnesses: the log of a single witness, and the majority of
// witnesses that a holder needs to record an intent or to take over.
//
//     intent_log log({}, self, now);
//     log.record(received, now);
//     intent_collector collector(token, 5);
//     collector.add(witness_index, log.collect(token, now));
//     if (collector.complete()) filter.adopt(collector.merged(), now);

#ifndef FILBERTHUB_ATTEMPT_INTENT_LOG_HPP
#define FILBERTHUB_ATTEMPT_INTENT_LOG_HPP

#include <filberthub/attempt/intent.hpp>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace filberthub {

// Reply of a witness to an intent.
enum class intent_reply : std::uint8_t
{
    recorded,
    // A successor of the holder has already collected the intents.
    former_holder,
    // The log is full. The holder must not send the request.
    full,
};

// Reply of a witness to the holder that takes over a server.
struct collect_reply
{
    // Whether the log contains every intent that the witness has acknowledged
    // within the time for which request ids are remembered.
    bool complete = false;
    // Whether a later holder has already collected the intents.
    bool former_holder = false;
    std::vector<intent> intents;
};

struct intent_log_settings
{
    // How long an intent is kept after its last change. It exceeds the window
    // of the holder by more than the difference of the clock rates (1%) and the
    // longest deadline.
    duration window = std::chrono::minutes(11);
    std::size_t max_entries = 65536;
};

// The log of one witness for one backend server. Guarantees that a recorded
// intent is kept for the window, and that there are at most `max_entries`
// intents: a full log refuses new ones.
template <class Rules>
class basic_intent_log
{
public:
    // A new log is incomplete, because a restart of the witness may have lost
    // intents. It becomes complete by `synchronize` or after one window. `self`
    // is the incarnation of the witness, which heartbeat acks contain.
    basic_intent_log(
        const intent_log_settings& settings, incarnation self, time_point now)
        : settings_(settings),
          self_(self),
          complete_after_(now + settings.window)
    {}

    // Call this for each intent and each outcome that a holder sends.
    intent_reply record(const intent& entry, time_point now)
    {
        if (!accept_token(entry.holder))
            return intent_reply::former_holder;
        expire(now);
        return store(entry, now);
    }

    // Call this when an instance takes over the server with the token `token`.
    collect_reply collect(fencing_token token, time_point now)
    {
        collect_reply reply;
        if (!accept_token(token)) {
            reply.former_holder = true;
            return reply;
        }
        expire(now);
        reply.complete =
            !Rules::require_complete_logs || now >= complete_after_;
        for (const timed_intent& entry : entries_)
            reply.intents.push_back(entry.record);
        return reply;
    }

    // Call this with all records of a holder that has finished its takeover.
    // `receiver` is the incarnation of this witness that the holder had seen
    // while its lease was valid. A late message of a former holder, meant for
    // the witness before its restart, does not complete the log. Returns
    // whether the log is complete now.
    bool synchronize(fencing_token token, incarnation receiver,
        const std::vector<intent>& intents, time_point now)
    {
        if (Rules::match_incarnations && receiver != self_)
            return false;
        if (!accept_token(token))
            return false;
        for (const intent& entry : intents) {
            if (store(entry, now) != intent_reply::recorded)
                return false;
        }
        complete_after_ = std::min(complete_after_, now);
        return true;
    }

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct timed_intent
    {
        request_key key;
        intent record;
        time_point changed_at;
    };

    using container = boost::multi_index_container<timed_intent,
        boost::multi_index::indexed_by<boost::multi_index::sequenced<>,
            boost::multi_index::hashed_unique<
                boost::multi_index::member<timed_intent, request_key,
                    &timed_intent::key>,
                std::hash<request_key>>>>;

    bool accept_token(fencing_token token)
    {
        if (Rules::refuse_former_holders && token < newest_token_)
            return false;
        newest_token_ = std::max(newest_token_, token);
        return true;
    }

    void expire(time_point now)
    {
        while (!entries_.empty() &&
               now - entries_.front().changed_at > settings_.window)
            entries_.pop_front();
    }

    intent_reply store(const intent& entry, time_point now)
    {
        auto& by_key = entries_.template get<1>();
        const auto found = by_key.find(entry.key);
        if (found == by_key.end()) {
            if (entries_.size() >= settings_.max_entries)
                return intent_reply::full;
            entries_.push_back({entry.key, entry, now});
            return intent_reply::recorded;
        }
        if (supersedes(entry, found->record)) {
            by_key.modify(found, [&](timed_intent& value) {
                value.record = entry;
                value.changed_at = now;
            });
            entries_.relocate(
                entries_.end(), entries_.template project<0>(found));
        }
        return intent_reply::recorded;
    }

    static bool supersedes(const intent& entry, const intent& existing)
    {
        if (!Rules::match_runs)
            return true;
        // The first outcome of a run is final.
        return earlier_run(existing, entry) ||
               (same_run(existing, entry) &&
                   existing.state == intent_state::started);
    }

    intent_log_settings settings_;
    incarnation self_;
    time_point complete_after_;
    fencing_token newest_token_;
    container entries_;
};

// Counts the witnesses that acknowledged one intent.
class witness_quorum
{
public:
    explicit witness_quorum(unsigned witnesses) : required_(witnesses / 2 + 1)
    {}

    // Call this for each acknowledgement. Repeated ones of a witness count
    // once. `witness` is its index, which is below 64.
    void add(unsigned witness)
    {
        acknowledged_ |= std::uint64_t{1} << witness;
    }

    bool reached() const
    {
        return static_cast<unsigned>(__builtin_popcountll(acknowledged_)) >=
               required_;
    }

private:
    unsigned required_;
    std::uint64_t acknowledged_ = 0;
};

// Merges the logs of the witnesses when a holder takes over. Guarantees that an
// intent that was recorded at a majority of the witnesses is part of the merged
// result of any majority of complete logs.
template <class Rules>
class basic_intent_collector
{
public:
    basic_intent_collector(fencing_token token, unsigned witnesses)
        : token_(token), quorum_(witnesses)
    {}

    // Call this for each reply. An incomplete reply is merged, but does not
    // count towards the majority.
    void add(unsigned witness, const collect_reply& reply)
    {
        if (reply.former_holder)
            return;
        if (reply.complete)
            quorum_.add(witness);
        for (const intent& entry : reply.intents) {
            const auto [found, inserted] =
                merged_.try_emplace(entry.key, entry);
            if (inserted)
                continue;
            intent& existing = found->second;
            if (!Rules::match_runs || earlier_run(existing, entry) ||
                (same_run(existing, entry) &&
                    existing.state == intent_state::started))
                existing = entry;
        }
    }

    // Returns whether a majority of the witnesses has sent a complete log.
    // Until then the holder must not admit non-idempotent requests.
    bool complete() const
    {
        return quorum_.reached();
    }

    // Returns the last run of each request id. A run without an outcome becomes
    // unknown, because its holder may have sent the request.
    std::vector<intent> merged() const
    {
        std::vector<intent> result;
        for (const auto& [key, last] : merged_) {
            intent entry = last;
            if (entry.state == intent_state::started) {
                entry.state = Rules::unknown_after_takeover
                                  ? intent_state::unknown
                                  : intent_state::not_run;
            }
            result.push_back(entry);
        }
        return result;
    }

    fencing_token token() const
    {
        return token_;
    }

private:
    fencing_token token_;
    witness_quorum quorum_;
    std::map<request_key, intent> merged_;
};

using intent_log = basic_intent_log<strict_duplicate_rules>;
using intent_collector = basic_intent_collector<strict_duplicate_rules>;

} // namespace filberthub

#endif
