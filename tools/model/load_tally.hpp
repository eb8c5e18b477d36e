// Statistics of a load run: outcomes, latencies, and gaps in the service of hot
// keys.
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

enum class request_outcome
{
    served,
    // Refused without having run.
    refused,
    // The request may have run.
    unknown,
    // The answer belongs to another request or is incomplete.
    wrong
};

std::string_view to_string(request_outcome outcome);

// Fields of a request that the answer has to echo.
struct expected_echo
{
    std::string service;
    std::string request_id;
    std::optional<std::string> key;
    std::size_t body_bytes = 0;
};

// Returns the outcome of a request according to its answer. An answer with a
// status of 300 or more counts as unknown, unless it states that the request
// did not run.
request_outcome classify_answer(
    const http_response& response, const expected_echo& expected);

// Latencies of one service, one second or the whole run.
class latency_samples
{
public:
    void add(duration value)
    {
        values_.push_back(value);
        sorted_ = false;
    }

    // Returns the nearest-rank quantile, that is, the smallest sample that at
    // least this share of the samples does not exceed; 0 without samples.
    duration quantile(double share);

    std::size_t size() const
    {
        return values_.size();
    }

private:
    std::vector<duration> values_;
    bool sorted_ = false;
};

// Counts requests by outcome. Guarantees that only served requests contribute
// to the latencies.
class load_tally
{
public:
    void count_sent()
    {
        ++sent_;
    }

    // Records the end of a request. `latency` is measured from the intended
    // start.
    void add(request_outcome outcome, duration latency);

    std::uint64_t count(request_outcome outcome) const;

    // Returns the counts, and quantiles of the latencies in milliseconds.
    json report();

private:
    std::uint64_t sent_ = 0;
    std::map<request_outcome, std::uint64_t> counts_;
    latency_samples latencies_;
};

// Measures intervals without a served answer for each tracked key.
class key_gap_tracker
{
public:
    // Records the end of a request for a tracked key, whether it was served or
    // not.
    void add(const std::string& key, bool served, time_point intended,
        time_point returned);

    // Returns for each key the longest time between two served answers, and the
    // longest time from the intended start of a request that was not served to
    // the next served answer. An interval that is still open ends at `end`.
    json report(time_point end) const;

private:
    struct key_state
    {
        std::optional<time_point> last_served;
        std::optional<time_point> unserved_since;
        time_point last_return;
        duration longest_gap{0};
        duration longest_unserved{0};
        std::uint64_t served = 0;
    };

    std::map<std::string, key_state> keys_;
};

} // namespace filberthub::tools

#endif
