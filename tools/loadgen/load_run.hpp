// One run of the load generator against entry addresses.
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

struct load_options
{
    std::vector<endpoint> entries;
    // Requests per second of the open loop.
    double rate = 100;
    // Callers of the closed loop, each with one request at a time; 0 selects
    // the open loop.
    std::size_t closed_callers = 0;
    duration length = std::chrono::seconds(10);
    // Connections to each entry.
    std::size_t connections = 64;
    std::uint64_t seed = 1;
    std::string name = "loadgen";
    std::string history;
};

// Writes JSON lines to the standard output: one per second, one per service and
// one for the whole run. In the open loop a slow answer does not delay later
// requests, and latencies are counted from the intended start.
class load_run
{
public:
    load_run(load_options options, const json& mix);

    // Sets what is called after the last answer, with the exit code: 1 after a
    // wrong answer.
    void on_finished(std::function<void(int)> callback);

    void start();

private:
    struct entry
    {
        std::unique_ptr<http_client> client;
        // No request is sent before this time, unless all entries are down.
        time_point down_until;
    };
    struct call
    {
        std::size_t entry = 0;
        planned_request plan;
        expected_echo expected;
        time_point intended;
    };

    void send_due();
    void send(time_point intended);
    http_request request_for(const call& item) const;
    std::size_t choose_entry(time_point now);
    void finish(const call& item, const http_result& result);
    void record(const call& item, const http_result& result, call_outcome seen,
        time_point now);
    void end_second();
    void stop_if_complete();

    load_options options_;
    time_point start_;
    time_point end_;
    load_mix mix_;
    arrival_schedule schedule_;
    std::mt19937_64 random_;
    std::vector<entry> entries_;
    std::string id_prefix_;
    history_file history_;
    std::uint64_t last_request_ = 0;
    std::size_t in_flight_ = 0;
    std::uint64_t second_number_ = 0;
    load_tally second_;
    load_tally total_;
    std::map<std::size_t, load_tally> services_;
    key_gaps gaps_;
    // Largest delay of the generator itself behind the schedule.
    duration send_lag_{0};
    std::function<void(int)> finished_;
    precise_timer arrival_timer_;
    QTimer second_timer_;
};

} // namespace filberthub::tools

#endif
