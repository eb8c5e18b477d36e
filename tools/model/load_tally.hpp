// Counts and latencies of a load run.
//
//     load_tally tally;
//     tally.add(call_outcome::served, now - intended);
//     json line = tally.report();

#ifndef FILBERTHUB_TOOLS_MODEL_LOAD_TALLY_HPP
#define FILBERTHUB_TOOLS_MODEL_LOAD_TALLY_HPP

#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/types.hpp>
#include <filberthub/http/message.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filberthub::tools {

enum class call_outcome
{
    served,
    refused,
    unknown,
    // The answer belongs to another request or is not complete.
    wrong
};

std::string_view to_string(call_outcome outcome);

// What the answer to a request has to repeat.
struct expected_echo
{
    std::string service;
    std::string request_id;
    std::optional<std::string> key;
    std::size_t body_bytes = 0;
};

// Returns what the answer says about its request. A status of 300 or more
// without a statement that the request did not run counts as unknown.
call_outcome judge_answer(
    const http_response& response, const expected_echo& expected);

// The samples of one service or one second.
class latency_samples
{
public:
    void add(duration value)
    {
        values_.push_back(value);
        sorted_ = false;
    }

    // Returns the smallest sample that at least this share of the samples does
    // not exceed; 0 without samples.
    duration quantile(double share);

    std::size_t size() const
    {
        return values_.size();
    }

private:
    std::vector<duration> values_;
    bool sorted_ = false;
};

// Guarantees that latencies are of served answers only.
class load_tally
{
public:
    void count_sent()
    {
        ++sent_;
    }

    // `latency` is counted from the intended start.
    void add(call_outcome outcome, duration latency);

    std::uint64_t count(call_outcome outcome) const;

    // Returns counts and quantiles in milliseconds.
    json report();

private:
    std::uint64_t sent_ = 0;
    std::map<call_outcome, std::uint64_t> counts_;
    latency_samples latencies_;
};

// Intervals without a served answer for each watched key.
class key_gaps
{
public:
    // To be called for each answer or failure of a watched key.
    void add(const std::string& key, bool served, time_point intended,
        time_point returned);

    // Returns, for each key, the longest time between two served answers and
    // the longest time from the intended start of a request that was not served
    // to the next served answer. Open intervals end at `end`.
    json report(time_point end) const;

private:
    struct state
    {
        std::optional<time_point> last_served;
        std::optional<time_point> unserved_since;
        time_point last_return;
        duration longest_gap{0};
        duration longest_unserved{0};
        std::uint64_t served = 0;
    };

    std::map<std::string, state> keys_;
};

} // namespace filberthub::tools

#endif
