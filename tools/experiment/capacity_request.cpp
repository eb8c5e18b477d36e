#include "tools/experiment/capacity.hpp"
#include "tools/experiment/series.hpp"

#include <filberthub/admission/server_gate.hpp>
#include <filberthub/attempt/duplicate_filter.hpp>
#include <filberthub/wire/codec.hpp>

#include <memory>
#include <string>
#include <vector>

namespace filberthub::experiment {

namespace {

using namespace std::chrono_literals;

constexpr time_point start{1s};

// Returns the nanoseconds of `offer` and `finish` for one request, while
// `running_requests` others are in flight.
double offer_ns(unsigned running_requests)
{
    constexpr unsigned calls = 20'000;
    auto gate = server_gate_builder().slots(64).baseline(8ms).build(start);
    time_point now = start;
    std::uint64_t number = 0;
    const auto run_one = [&] {
        const request_number id(++number);
        do_not_optimize(gate.offer({id, priority::interactive, now + 1s}, now));
        now += 8ms;
        do_not_optimize(gate.finish(id, answer_result::complete, now));
    };
    // The ramp opens all slots after enough complete answers.
    for (unsigned call = 0; call < 200'000 && gate.limit(now) < 64; ++call)
        run_one();
    for (unsigned index = 0; index < running_requests; ++index)
        gate.offer({request_number(++number), priority::rescue, now + 1h}, now);
    return min_cpu_nanoseconds(20, [&] {
        for (unsigned call = 0; call < calls; ++call)
            run_one();
    }) / calls;
}

void print_gates(std::ostream& stream)
{
    series memory("gates", "bytes", "gates");
    for (const std::size_t count : {10U, 100U, 1000U}) {
        const std::size_t before = allocated_bytes();
        std::vector<server_gate> gates;
        gates.reserve(count);
        for (std::size_t index = 0; index < count; ++index)
            gates.push_back(
                server_gate_builder().slots(4).baseline(8ms).build(start));
        // Each gate has one admitted and one waiting request.
        for (std::size_t index = 0; index < count; ++index) {
            gates[index].offer(
                {request_number(1), priority::interactive, start + 1s}, start);
            gates[index].offer(
                {request_number(2), priority::interactive, start + 1s}, start);
        }
        memory.add(static_cast<double>(count),
            static_cast<double>(allocated_bytes() - before));
    }
    memory.print(stream);
    series time("gate_offer_and_finish", "ns", "requests in flight");
    for (const unsigned running_requests : {0U, 1U, 3U, 15U})
        time.add(running_requests, offer_ns(running_requests));
    time.print(stream);
}

void print_duplicate_filter(std::ostream& stream)
{
    series memory("duplicate_entries", "bytes", "entries");
    series time("duplicate_begin_and_finish", "ns", "entries");
    for (const std::uint64_t count : {1000U, 16384U, 65536U}) {
        std::vector<request_key> keys;
        for (std::uint64_t id = 0; id < count; ++id)
            keys.push_back(request_key_of(
                service_id("kartskriv"), request_id(std::to_string(id))));
        const auto size = static_cast<double>(count);
        double bytes = 0;
        const double least = min_cpu_nanoseconds(12, [&] {
            const std::size_t before = allocated_bytes();
            duplicate_filter filter({}, fencing_token(1));
            filter.adopt({}, start);
            for (const request_key& key : keys) {
                const auto check = filter.begin(key, start);
                filter.finish(check.record, intent_state::done, {}, start);
            }
            bytes = static_cast<double>(allocated_bytes() - before);
        });
        memory.add(size, bytes);
        time.add(size, least / size);
    }
    memory.note("stored_answers", "none; up to 4,096 bytes each come on top")
        .print(stream);
    time.print(stream);
}

template <class Message>
void add_codec(
    series& bytes, series& time, std::size_t body, const Message& message)
{
    constexpr int calls = 500;
    const auto size = static_cast<double>(body);
    bytes.add(size, static_cast<double>(encode(message).size()));
    time.add(size, min_cpu_nanoseconds(20, [&] {
        for (int call = 0; call < calls; ++call) {
            frame_decoder decoder;
            decoder.feed(encode(message));
            do_not_optimize(decoder.next());
        }
    }) / calls);
}

void print_codec(std::ostream& stream)
{
    series forward_bytes("forward_wire", "bytes", "body bytes");
    series forward_time("forward_encode_and_decode", "ns", "body bytes");
    series answer_bytes("answer_wire", "bytes", "body bytes");
    series answer_time("answer_encode_and_decode", "ns", "body bytes");
    for (const std::size_t body : {0U, 1024U, 16384U}) {
        forward_message forward;
        forward.number = forward_number(1234567);
        forward.service = service_id("kartlas");
        forward.server = backend_server_id("kartlas-1");
        forward.keyed = true;
        forward.group = key_group(421);
        forward.remaining_ms = 250;
        forward.id = request_id("loadgen-1234567");
        forward.traceparent =
            "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        forward.method = "GET";
        forward.target = "/kartlas/map-81F2/rooms";
        forward.headers = {{"Host", "filberthub.example"},
            {"Filberthub-Key", "map-81F2"}, {"Accept", "application/json"},
            {"User-Agent", "robot/1.4"}};
        forward.body.assign(body, 'x');
        add_codec(forward_bytes, forward_time, body, forward);
        answer_message answer;
        answer.number = forward.number;
        answer.status = 200;
        answer.headers = {{"Content-Type", "application/json"},
            {"Filberthub-Outcome", "done"}};
        answer.body.assign(body, 'x');
        add_codec(answer_bytes, answer_time, body, answer);
    }
    for (const series* each :
        {&forward_bytes, &forward_time, &answer_bytes, &answer_time})
        each->print(stream);
}

} // namespace

void print_request_slopes(std::ostream& stream)
{
    print_gates(stream);
    print_duplicate_filter(stream);
    print_codec(stream);
}

} // namespace filberthub::experiment
