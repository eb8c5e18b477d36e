// One run of the load generator against the addresses of entry instances.
//
//     load_run run(options, parse_json(text, error_kind::bad_settings));
//     run.on_finished([](int code) { QCoreApplication::exit(code); });
//     run.start();

#ifndef FILBERTHUB_TOOLS_LOADGEN_LOAD_RUN_HPP
#define FILBERTHUB_TOOLS_LOADGEN_LOAD_RUN_HPP

#include "tools/common/history_file.hpp"
#include "tools/common/precise_timer.hpp"
#include "tools/model/load_mix.hpp"
#include "tools/model/load_tally.hpp"

#include <filberthub/net/http_client.hpp>

#include <QtCore/QTimer>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace filberthub::tools {

struct load_run_options
{
    // Addresses of the instances that accept requests.
    std::vector<endpoint> entries;
    // Requests per second of the open loop.
    double rate = 100;
    // Number of callers in the closed loop, each with one request in flight; 0
    // selects the open loop.
    std::size_t closed_callers = 0;
    duration run_time = std::chrono::seconds(10);
    // Maximum number of connections to each entry.
    std::size_t connections = 64;
    // Seeds all random choices: arrival times, services, keys and entries.
    std::uint64_t seed = 1;
    // Prefix of the request ids and author of the history.
    std::string name = "loadgen";
    // File to which the history is appended; empty for no history.
    std::string history;
};

// Writes JSON lines to the standard output: one per second and, at the end, one
// per service, one for the hot keys and one for the whole run. In the open loop
// a slow answer does not delay later requests, and latencies are measured from
// the intended start of a request.
class load_run
{
public:
    load_run(load_run_options options, const json& mix);

    // Sets the callback for the end of the run, which gets the exit code: 1 if
    // any answer was wrong, else 0. To be called before `start`.
    void on_finished(std::function<void(int)> callback);

    // Sends the first requests. Needs an event loop.
    void start();

private:
    struct entry
    {
        std::unique_ptr<http_client> client;
        // After a refused connection, the entry gets no request before this
        // time, unless all entries are down.
        time_point down_until;
    };
    struct pending_request
    {
        std::size_t entry = 0;
        planned_request plan;
        expected_echo expected;
        time_point intended;
    };

    void send_due_requests();
    void send(time_point intended);
    http_request http_request_for(const pending_request& pending) const;
    std::size_t choose_entry(time_point now);
    void finish(const pending_request& pending, const http_result& result);
    void record(const pending_request& pending, const http_result& result,
        request_outcome classified, time_point now);
    void report_second();
    void finish_if_complete();

    load_run_options options_;
    time_point start_;
    time_point end_;
    load_mix mix_;
    arrival_schedule schedule_;
    std::mt19937_64 random_;
    std::vector<entry> entries_;
    std::string request_id_prefix_;
    history_file history_;
    std::uint64_t last_request_number_ = 0;
    std::size_t in_flight_ = 0;
    std::uint64_t second_number_ = 0;
    load_tally second_tally_;
    load_tally total_tally_;
    std::map<std::size_t, load_tally> service_tallies_;
    key_gap_tracker hot_key_gaps_;
    // Largest delay between the intended and the actual start of a request.
    duration send_lag_{0};
    std::function<void(int)> on_finished_;
    precise_timer arrival_timer_;
    QTimer second_timer_;
};

} // namespace filberthub::tools

#endif
