#include "node/entry_service.hpp"

#include "node/clock.hpp"

#include <algorithm>

namespace filberthub {
namespace {

constexpr milliseconds tick_interval{5};
// Time between two attempts of a request, for example while its owner or holder
// is being replaced.
constexpr milliseconds retry_delay{20};
// A holder answers by the deadline; this is the time for its answer to arrive.
constexpr milliseconds answer_allowance{25};
// A server that reported a limit of 0 is tried again after this time.
constexpr milliseconds closed_retry_interval{250};

// Returns whether a later attempt at another holder or with a newer table can
// avoid the refusal. Such retries do not count against the retry budget,
// because no server received the request.
bool is_routing_failure(error_kind kind)
{
    return kind == error_kind::no_holder || kind == error_kind::not_owner ||
           kind == error_kind::lease_lapsed ||
           kind == error_kind::shutting_down;
}

} // namespace

entry_service::entry_service(entry_environment environment)
    : environment_(std::move(environment)),
      random_(std::hash<instance_id>()(environment_.self))
{
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, [this] { tick(clock_now()); });
    timer_.start(tick_interval);
}

void entry_service::set_membership(fleet_service& fleet,
    holder_service& holders, ownership_service& ownership,
    policy_service& policy, peer_hub& hub)
{
    environment_.fleet = &fleet;
    environment_.holders = &holders;
    environment_.ownership = &ownership;
    environment_.policy = &policy;
    environment_.hub = &hub;
}

void entry_service::accept(std::shared_ptr<http_exchange> exchange)
{
    ++counters_.received;
    const time_point now = clock_now();
    auto request = std::make_shared<entry_request>();
    request->exchange = std::move(exchange);
    request->policy = environment_.policy->document();
    last_number_ = last_number_.next();
    request->number = last_number_;
    requests_.emplace(last_number_, request);
    try {
        if (!request->policy)
            throw error(error_kind::no_holder, "no policy is in force yet");
        request->parsed = parse_request(
            std::move(request->exchange->request()), *request->policy);
    } catch (const error& failure) {
        fail(request, failure.kind(), failure.what());
        return;
    }
    request->deadline = now + request->parsed.deadline;
    budget_.on_request();
    request->exchange->on_cancelled([this, request] { cancel(request); });
    start(request, now);
}

void entry_service::start(const request_ptr& request, time_point now)
{
    request->waiting = false;
    try {
        choose_server(*request);
    } catch (const error& failure) {
        answer_message answer;
        answer.kind = failure.kind();
        answer.message = failure.what();
        on_attempt_answer(request, std::move(answer), now);
        return;
    }
    send(request, now);
}

void entry_service::choose_server(entry_request& request)
{
    forward_message& message = request.parsed.message;
    const service_policy& service = *request.parsed.service;
    if (!message.idempotent) {
        message.server = home_order(service, message.id).front()->id;
        return;
    }
    if (message.keyed) {
        const ownership_table* table =
            environment_.ownership->find(message.service);
        if (table == nullptr)
            throw error(error_kind::no_holder, "no ownership table of \"" +
                                                   message.service.value() +
                                                   "\" is known yet");
        route_by_key(request.parsed, *table);
        return;
    }
    message.server = choose_by_load(service);
}

// Returns the one of two random servers in service that has the shorter
// expected wait. A server that reported a limit of 0 lately is not considered.
backend_server_id entry_service::choose_by_load(const service_policy& service)
{
    const shared_policy document = environment_.policy->document();
    std::vector<const backend_server*> candidates;
    for (const backend_server& server : service.servers) {
        const auto load = loads_.find(server.id);
        const bool closed =
            load != loads_.end() && load->second.load.limit == 0 &&
            clock_now() - load->second.observed_at < closed_retry_interval;
        if (document->in_service(server.domain) && !closed)
            candidates.push_back(&server);
    }
    if (candidates.empty()) {
        throw error(error_kind::no_holder,
            "no server of \"" + service.name.value() + "\" is available");
    }
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    const auto expected_wait = [&](const backend_server* server) {
        const server_load load = loads_[server->id].load;
        const double ahead = load.in_flight + load.waiting + 1.0;
        return ahead * load.latency_us / std::max(1U, load.limit);
    };
    const backend_server* first = candidates[pick(random_)];
    const backend_server* second = candidates[pick(random_)];
    return expected_wait(second) < expected_wait(first) ? second->id
                                                        : first->id;
}

std::optional<instance_id> entry_service::choose_instance(
    const backend_server_id& server) const
{
    const fleet_table_ptr& table = environment_.fleet->table();
    if (environment_.holders->holds(server))
        return environment_.self;
    if (!table)
        return std::nullopt;
    const auto holders = table->holders(server);
    if (holders.empty())
        return std::nullopt;
    const auto position = holder_positions_.find(server);
    const std::size_t index =
        position == holder_positions_.end() ? 0 : position->second;
    return holders[index % holders.size()].member.instance;
}

void entry_service::send(const request_ptr& request, time_point now)
{
    forward_message& message = request->parsed.message;
    const auto remaining =
        std::chrono::floor<milliseconds>(request->deadline - now);
    if (remaining < milliseconds(1)) {
        fail(request,
            request->may_have_run ? error_kind::outcome_unknown
                                  : error_kind::deadline_exceeded_not_run,
            "the deadline passed");
        return;
    }
    message.remaining_ms = static_cast<std::uint32_t>(remaining.count());
    requests_.erase(request->number);
    last_number_ = last_number_.next();
    request->number = last_number_;
    requests_.emplace(last_number_, request);
    message.number = last_number_;
    ++request->attempt_count;

    const std::optional<instance_id> target = choose_instance(message.server);
    answer_message refusal;
    refusal.kind = error_kind::no_holder;
    if (!target) {
        refusal.message = "no instance holds " + message.server.value();
        on_attempt_answer(request, std::move(refusal), now);
        return;
    }
    request->sent_to = *target;
    if (*target == environment_.self) {
        request->handle = environment_.holders->submit(
            message, [this, number = last_number_](answer_message answer) {
                answer.number = number;
                on_answer(std::move(answer));
            });
        return;
    }
    if (!environment_.hub->send(*target, message)) {
        refusal.message = "no link to " + target->value();
        on_attempt_answer(request, std::move(refusal), now);
    }
}

void entry_service::relay(forward_message message, answer_callback done)
{
    answer_message refusal;
    refusal.kind = error_kind::no_holder;
    const std::optional<instance_id> target = choose_instance(message.server);
    if (!target) {
        refusal.message = "no instance holds " + message.server.value();
        done(std::move(refusal));
        return;
    }
    if (*target == environment_.self) {
        environment_.holders->submit(std::move(message), std::move(done));
        return;
    }
    last_number_ = last_number_.next();
    message.number = last_number_;
    const entry_number number = last_number_;
    relays_.emplace(
        number, relayed_request{std::move(done), *target,
                    clock_now() + milliseconds(message.remaining_ms)});
    if (!environment_.hub->send(*target, std::move(message))) {
        refusal.message = "no link to " + target->value();
        finish_relay(number, std::move(refusal));
    }
}

void entry_service::finish_relay(entry_number number, answer_message answer)
{
    const auto found = relays_.find(number);
    const answer_callback done = std::move(found->second.done);
    relays_.erase(found);
    done(std::move(answer));
}

void entry_service::on_answer(answer_message answer)
{
    if (relays_.contains(answer.number)) {
        const entry_number number = answer.number;
        finish_relay(number, std::move(answer));
        return;
    }
    const auto found = requests_.find(answer.number);
    if (found == requests_.end())
        return;
    const request_ptr request = found->second;
    on_attempt_answer(request, std::move(answer), clock_now());
}

void entry_service::on_attempt_answer(
    const request_ptr& request, answer_message answer, time_point now)
{
    request->handle.reset();
    record_answer(request->parsed.message.server, answer);
    if (answer.status != 0) {
        http_response response;
        response.status = answer.status;
        for (const auto& [name, value] : answer.headers)
            response.headers.add(name, value);
        response.headers.set("Filberthub-Outcome", to_string(outcome::done));
        response.body = std::move(answer.body);
        ++counters_.done;
        finish(request, std::move(response));
        return;
    }
    request->sent_to.reset();
    request->may_have_run = request->may_have_run ||
                            answer_for(answer.kind).result != outcome::not_run;
    if (retry(request, answer, now))
        return;
    const bool claims_not_run =
        answer_for(answer.kind).result == outcome::not_run;
    fail(request,
        claims_not_run && request->may_have_run ? error_kind::outcome_unknown
                                                : answer.kind,
        answer.message);
}

// Schedules a further attempt if one is allowed. Returns whether it did.
bool entry_service::retry(
    const request_ptr& request, const answer_message& answer, time_point now)
{
    const bool not_run = answer_for(answer.kind).result == outcome::not_run;
    const bool is_routing = is_routing_failure(answer.kind);
    if (answer.kind == error_kind::duplicate_done ||
        answer.kind == error_kind::duplicate_in_progress)
        return false;
    if (!not_run && !request->parsed.message.idempotent)
        return false;
    if (not_run && !answer_for(answer.kind).retryable)
        return false;
    if (now + retry_delay >= request->deadline)
        return false;
    if (!is_routing) {
        // After a refusal by a full queue only a request that can go to another
        // server is repeated.
        const bool may_change_server =
            !request->parsed.message.keyed && request->attempt_count < 3;
        const bool may_have_run = !not_run;
        if ((!may_change_server && !may_have_run) || !budget_.try_take())
            return false;
    }
    ++counters_.retries;
    request->next_attempt = now + retry_delay;
    request->waiting = true;
    return true;
}

void entry_service::record_answer(
    const backend_server_id& server, const answer_message& answer)
{
    if (server.empty())
        return;
    const bool wrong_holder =
        answer.status == 0 && (answer.kind == error_kind::no_holder ||
                                  answer.kind == error_kind::lease_lapsed ||
                                  answer.kind == error_kind::shutting_down ||
                                  answer.kind == error_kind::outcome_unknown);
    if (wrong_holder)
        ++holder_positions_[server];
    else
        loads_[server] = {answer.load, clock_now()};
}

void entry_service::on_link_lost(const instance_id& instance, bool established)
{
    answer_message lost_answer;
    lost_answer.kind =
        established ? error_kind::outcome_unknown : error_kind::no_holder;
    lost_answer.message = "the link to " + instance.value() + " was lost";
    std::vector<entry_number> relayed;
    for (const auto& item : relays_) {
        if (item.second.sent_to == instance)
            relayed.push_back(item.first);
    }
    for (const entry_number number : relayed)
        finish_relay(number, lost_answer);
    std::vector<request_ptr> lost;
    for (const auto& item : requests_) {
        if (item.second->sent_to == instance)
            lost.push_back(item.second);
    }
    for (const request_ptr& request : lost)
        on_attempt_answer(request, lost_answer, clock_now());
}

void entry_service::tick(time_point now)
{
    std::vector<entry_number> overdue_relays;
    for (const auto& item : relays_) {
        if (now > item.second.deadline + answer_allowance)
            overdue_relays.push_back(item.first);
    }
    for (const entry_number number : overdue_relays) {
        answer_message answer;
        answer.kind = error_kind::outcome_unknown;
        answer.message = "no answer of the holder before the deadline";
        finish_relay(number, std::move(answer));
    }
    std::vector<request_ptr> due;
    for (const auto& item : requests_) {
        const entry_request& request = *item.second;
        const bool overdue = now > request.deadline + answer_allowance;
        if (overdue || (request.waiting && now >= request.next_attempt))
            due.push_back(item.second);
    }
    for (const request_ptr& request : due) {
        if (request->waiting) {
            start(request, now);
            continue;
        }
        cancel(request);
        fail(request, error_kind::outcome_unknown,
            "no answer of the holder before the deadline");
    }
}

void entry_service::cancel(const request_ptr& request)
{
    requests_.erase(request->number);
    if (request->handle)
        environment_.holders->cancel(*request->handle);
    else if (request->sent_to)
        environment_.hub->send(
            *request->sent_to, cancel_message{request->number});
}

void entry_service::finish(const request_ptr& request, http_response response)
{
    requests_.erase(request->number);
    request->exchange->respond(std::move(response));
}

void entry_service::fail(
    const request_ptr& request, error_kind kind, const std::string& message)
{
    switch (answer_for(kind).result) {
    case outcome::done:
        ++counters_.done;
        break;
    case outcome::not_run:
        ++counters_.not_run;
        break;
    case outcome::unknown:
        ++counters_.unknown;
        break;
    }
    finish(request, error_response(kind, message));
}

} // namespace filberthub
