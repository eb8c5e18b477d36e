// Suppression of repeated non-idempotent requests at their home holder.
//
//     duplicate_filter filter({}, token);
//     filter.adopt(collector.merged(), now);
//     const auto check = filter.begin(key, now);
//     if (check.decision == duplicate_verdict::start)
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

enum class duplicate_verdict : std::uint8_t
{
    // Record the intent at a majority of the witnesses, then send.
    start,
    // Refuse with the kind of the check.
    refuse,
    // Answer with the stored answer.
    answer,
};

struct duplicate_check
{
    duplicate_verdict decision = duplicate_verdict::refuse;
    // Set if the decision is `refuse`.
    error_kind reason = error_kind::internal;
    // Set if the decision is `start`.
    intent record;
    // Set if the decision is `answer`.
    std::string answer;
};

struct duplicate_filter_settings
{
    duration window = std::chrono::minutes(10);
    // 65,536 ids in 10 minutes are 109 non-idempotent requests per second.
    std::size_t max_entries = 65536;
    std::size_t max_answer_size = 4096;
    std::size_t max_answer_bytes = 16U << 20U;
};

// Guarantees: a request id starts at most once within the window, except after
// a run that is proved not to have run. Memory is at most `max_entries` entries
// and `max_answer_bytes` of answers. A full filter refuses new ids; an answer
// without room is dropped, and its repeats are told that the request is done.
template <class Rules>
class basic_duplicate_filter
{
public:
    basic_duplicate_filter(
        const duplicate_filter_settings& settings, fencing_token token)
        : settings_(settings), token_(token)
    {}

    // To be called once, with the merged intents of the former holders. Before
    // this call `begin` refuses all requests.
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

    // To be called for each request with an id, before it is admitted.
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
                return repeated(*found);
            erase(found);
        }
        if (entries_.size() >= settings_.max_entries) {
            if (Rules::refuse_when_full) {
                check.reason = error_kind::overloaded;
                return check;
            }
            erase(by_key.find(entries_.front().key));
        }
        check.decision = duplicate_verdict::start;
        check.record = {key, token_, ++runs_, intent_state::started};
        entries_.push_back({key, check.record, now, {}, 0});
        return check;
    }

    // To be called once for each started run. A run that did not run is
    // dropped, which lets the id start again. Returns the outcome to send to
    // the witnesses, or nothing if the run is not the present one.
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
            value.changed = now;
            keep_answer(value, answer);
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
        time_point changed;
        std::unique_ptr<char[]> answer;
        std::uint32_t answer_size;
    };

    using container = boost::multi_index_container<entry,
        boost::multi_index::indexed_by<boost::multi_index::sequenced<>,
            boost::multi_index::hashed_unique<
                boost::multi_index::member<entry, request_key, &entry::key>,
                std::hash<request_key>>>>;

    static duplicate_check repeated(const entry& known)
    {
        duplicate_check check;
        switch (known.record.state) {
        case intent_state::started:
            check.reason = error_kind::duplicate_in_progress;
            break;
        case intent_state::done:
            check.reason = error_kind::duplicate_done;
            if (known.answer) {
                check.decision = duplicate_verdict::answer;
                check.answer.assign(known.answer.get(), known.answer_size);
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

    void keep_answer(entry& value, std::string_view answer)
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

    // Finished entries are ordered by their last change. One in progress stays,
    // and is moved to the end to be looked at one window later.
    void expire(time_point now)
    {
        while (!entries_.empty() &&
               now - entries_.front().changed > settings_.window) {
            const auto first = entries_.begin();
            if (first->record.state == intent_state::started) {
                entries_.modify(
                    first, [&](entry& value) { value.changed = now; });
                entries_.relocate(entries_.end(), first);
                continue;
            }
            erase(entries_.template project<1>(first));
        }
    }

    duplicate_filter_settings settings_;
    fencing_token token_;
    std::uint64_t runs_ = 0;
    std::size_t answer_bytes_ = 0;
    bool ready_ = false;
    container entries_;
};

using duplicate_filter = basic_duplicate_filter<strict_duplicate_rules>;

} // namespace filberthub

#endif
