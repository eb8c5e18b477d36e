// Suppression of repeated non-idempotent requests. The filter belongs to the
// holder of the home of the request ids.
//
//     duplicate_filter filter({}, token);
//     filter.adopt(collector.merged(), now);
//     const auto check = filter.begin(key, now);
//     if (check.decision == duplicate_decision::start)
//         record_at_witnesses(check.record);
//     filter.finish(check.record, intent_state::done, answer, now);

#ifndef FILBERTHUB_ATTEMPT_DUPLICATE_FILTER_HPP
#define FILBERTHUB_ATTEMPT_DUPLICATE_FILTER_HPP

#include <filberthub/attempt/intent.hpp>
#include <filberthub/base/error.hpp>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filberthub {

// What the holder has to do with a request.
enum class duplicate_decision : std::uint8_t
{
    // Record the intent at a majority of the witnesses, then send the request.
    start,
    // Refuse with `duplicate_check::reason`.
    refuse,
    // Answer with `duplicate_check::answer`.
    answer,
};

// Result of `begin`.
struct duplicate_check
{
    duplicate_decision decision = duplicate_decision::refuse;
    // Set if the decision is `refuse`.
    error_kind reason = error_kind::internal;
    // Set if the decision is `start`.
    intent record;
    // The stored answer. Set if the decision is `answer`.
    std::string answer;
};

struct duplicate_filter_settings
{
    // How long a request id is remembered after its last change.
    duration window = std::chrono::minutes(10);
    // 65,536 ids in 10 minutes are 109 non-idempotent requests per second.
    std::size_t max_entries = 65536;
    // In bytes. A larger answer is not stored.
    std::size_t max_answer_size = 4096;
    // Limit for all stored answers together, in bytes.
    std::size_t max_answer_bytes = 16U << 20U;
};

// Guarantees that a request id starts at most once within the window, except
// after a run that is proved not to have run. Memory is limited to
// `max_entries` entries and `max_answer_bytes` of answers. A full filter
// refuses new ids. An answer for which there is no room is not stored; repeats
// of its request are then refused as `duplicate_done`.
template <class Rules>
class basic_duplicate_filter
{
public:
    basic_duplicate_filter(
        const duplicate_filter_settings& settings, fencing_token token)
        : settings_(settings), token_(token)
    {}

    // Call this once, with the merged intents of the former holders. Until then
    // `begin` refuses all requests.
    void adopt(const std::vector<intent>& intents, time_point now)
    {
        for (const intent& record : intents) {
            if (record.state != intent_state::not_run)
                entries_.push_back({record.key, record, now, {}, 0});
        }
        ready_ = true;
    }

    bool ready() const
    {
        return ready_;
    }

    // Call this for each request with an id, before it is admitted.
    duplicate_check begin(const request_key& key, time_point now)
    {
        expire(now);
        duplicate_check check;
        if (!ready_) {
            check.reason = error_kind::no_holder;
            return check;
        }
        auto& by_key = entries_.template get<1>();
        const auto found = by_key.find(key);
        if (found != by_key.end()) {
            if (Rules::suppress_repeats)
                return check_repeat(*found);
            erase(found);
        }
        if (entries_.size() >= settings_.max_entries) {
            if (Rules::refuse_when_full) {
                check.reason = error_kind::overloaded;
                return check;
            }
            erase(by_key.find(entries_.front().key));
        }
        check.decision = duplicate_decision::start;
        check.record = {key, token_, ++run_count_, intent_state::started};
        entries_.push_back({key, check.record, now, {}, 0});
        return check;
    }

    // Call this once for each started run. An entry with the outcome `not_run`
    // is removed, so that the id can start again. Returns the outcome to send
    // to the witnesses, or nothing if the run is not the current one of its id.
    std::optional<intent> finish(const intent& run, intent_state state,
        std::string_view answer, time_point now)
    {
        auto& by_key = entries_.template get<1>();
        const auto found = by_key.find(run.key);
        if (found == by_key.end())
            return std::nullopt;
        if (Rules::match_runs && !same_run(found->record, run))
            return std::nullopt;
        intent outcome = run;
        outcome.state = state;
        if (state == intent_state::not_run) {
            erase(found);
            return outcome;
        }
        by_key.modify(found, [&](entry& value) {
            value.record.state = state;
            value.changed_at = now;
            store_answer(value, answer);
        });
        entries_.relocate(entries_.end(), entries_.template project<0>(found));
        return outcome;
    }

    // Returns all records, for a witness that restarted or for the next holder
    // after a release.
    std::vector<intent> intents() const
    {
        std::vector<intent> result;
        for (const entry& value : entries_)
            result.push_back(value.record);
        return result;
    }

    std::size_t size() const
    {
        return entries_.size();
    }

    std::size_t answer_bytes() const
    {
        return answer_bytes_;
    }

private:
    struct entry
    {
        request_key key;
        intent record;
        time_point changed_at;
        std::unique_ptr<char[]> answer;
        std::uint32_t answer_size;
    };

    using container = boost::multi_index_container<entry,
        boost::multi_index::indexed_by<boost::multi_index::sequenced<>,
            boost::multi_index::hashed_unique<
                boost::multi_index::member<entry, request_key, &entry::key>,
                std::hash<request_key>>>>;

    static duplicate_check check_repeat(const entry& existing)
    {
        duplicate_check check;
        switch (existing.record.state) {
        case intent_state::started:
            check.reason = error_kind::duplicate_in_progress;
            break;
        case intent_state::done:
            check.reason = error_kind::duplicate_done;
            if (existing.answer) {
                check.decision = duplicate_decision::answer;
                check.answer.assign(
                    existing.answer.get(), existing.answer_size);
            }
            break;
        case intent_state::unknown:
        case intent_state::not_run:
            check.reason = error_kind::outcome_unknown;
            break;
        }
        return check;
    }

    template <class Iterator>
    void erase(Iterator found)
    {
        answer_bytes_ -= found->answer_size;
        entries_.template get<1>().erase(found);
    }

    void store_answer(entry& value, std::string_view answer)
    {
        answer_bytes_ -= value.answer_size;
        value.answer.reset();
        value.answer_size = 0;
        if (answer.empty() || answer.size() > settings_.max_answer_size ||
            answer_bytes_ + answer.size() > settings_.max_answer_bytes)
            return;
        value.answer = std::make_unique<char[]>(answer.size());
        std::copy(answer.begin(), answer.end(), value.answer.get());
        value.answer_size = static_cast<std::uint32_t>(answer.size());
        answer_bytes_ += answer.size();
    }

    // Removes entries that are older than the window. Entries are ordered by
    // their last change. One in progress is kept and moved to the end, so that
    // it is checked again one window later.
    void expire(time_point now)
    {
        while (!entries_.empty() &&
               now - entries_.front().changed_at > settings_.window) {
            const auto oldest = entries_.begin();
            if (oldest->record.state == intent_state::started) {
                entries_.modify(
                    oldest, [&](entry& value) { value.changed_at = now; });
                entries_.relocate(entries_.end(), oldest);
                continue;
            }
            erase(entries_.template project<1>(oldest));
        }
    }

    duplicate_filter_settings settings_;
    fencing_token token_;
    std::uint64_t run_count_ = 0;
    std::size_t answer_bytes_ = 0;
    bool ready_ = false;
    container entries_;
};

using duplicate_filter = basic_duplicate_filter<strict_duplicate_rules>;

} // namespace filberthub

#endif
