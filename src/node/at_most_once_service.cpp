#include "node/at_most_once_service.hpp"

#include "node/clock.hpp"

#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr milliseconds collect_interval{100};
// A request with less time left is refused instead of waiting longer for its
// intent to be recorded.
constexpr milliseconds min_run_time{10};

answer_message make_refusal(
    const forward_message& message, error_kind kind, const std::string& why)
{
    answer_message answer;
    answer.number = message.number;
    answer.kind = kind;
    answer.message = why;
    return answer;
}

intent_state state_of(const answer_message& answer)
{
    if (answer.status != 0)
        return intent_state::done;
    return answer_for(answer.kind).result == outcome::not_run
               ? intent_state::not_run
               : intent_state::unknown;
}

} // namespace

at_most_once_service::at_most_once_service(
    at_most_once_environment environment, time_point started)
    : environment_(std::move(environment)), started_(started)
{}

void at_most_once_service::on_held(
    const backend_server_id& server, time_point now)
{
    const auto token = environment_.fleet->tracker().token(server);
    home_server home;
    home.token = fencing_token(token.value_or(0));
    home.filter = std::make_unique<duplicate_filter>(
        duplicate_filter_settings{}, home.token);
    home.records_expire = now + intent_log_settings{}.window;
    const std::optional<std::vector<member_key>> former_members =
        environment_.fleet->former_holders(server);
    if (former_members && former_members->empty()) {
        home.filter->adopt({}, now);
    } else if (former_members) {
        for (const member_key& member : *former_members) {
            std::vector<instance_id> witnesses =
                environment_.fleet->witnesses_of(member);
            const auto count = static_cast<unsigned>(witnesses.size());
            home.former_homes.push_back(
                {std::move(witnesses), intent_collector(home.token, count)});
        }
    }
    const auto added = homes_.insert_or_assign(server, std::move(home)).first;
    if (added->second.filter->ready())
        synchronize(server, added->second);
}

void at_most_once_service::on_dropped(const backend_server_id& server)
{
    homes_.erase(server);
    std::vector<std::uint64_t> dropped;
    for (const auto& item : pending_) {
        if (item.second.server == server)
            dropped.push_back(item.first);
    }
    for (const std::uint64_t number : dropped) {
        const auto found = pending_.find(number);
        const pending_request request = std::move(found->second);
        pending_.erase(found);
        request.done(make_refusal(request.message, error_kind::no_holder,
            "this instance no longer holds " + server.value()));
    }
}

void at_most_once_service::submit(forward_message message, time_point deadline,
    answer_callback done, recorded_request_sender send, time_point now)
{
    const backend_server_id server = message.server;
    const auto found = homes_.find(server);
    if (found == homes_.end() || !found->second.filter->ready()) {
        done(make_refusal(message, error_kind::no_holder,
            "the records of earlier holders of " + server.value() +
                " are not complete"));
        return;
    }
    duplicate_check check = found->second.filter->begin(
        request_key_of(message.service, message.id), now);
    if (check.decision == duplicate_decision::refuse) {
        done(make_refusal(message, check.reason,
            "request id \"" + message.id.value() + "\" is known to " +
                server.value()));
        return;
    }
    if (check.decision == duplicate_decision::answer) {
        frame_decoder decoder;
        decoder.feed(check.answer);
        auto stored = decoder.next();
        auto answer = std::get<answer_message>(std::move(*stored));
        answer.number = message.number;
        done(std::move(answer));
        return;
    }
    pending_request request{server, check.record, std::move(message), deadline,
        std::move(done), std::move(send), {}};
    if (has_quorum(request)) {
        run(std::move(request));
        return;
    }
    const std::uint64_t number = ++last_number_;
    const intent_message intent_request{server, number, request.record};
    pending_.emplace(number, std::move(request));
    for (const instance_id& witness : environment_.fleet->lease().targets())
        environment_.hub->send(witness, intent_request);
}

// Returns whether a majority of each witness list has recorded the intent. The
// only member of a fleet has no witnesses: its records are lost with its
// process, and its successor waits until they have expired.
bool at_most_once_service::has_quorum(const pending_request& request) const
{
    const fleet_table_ptr& table = environment_.fleet->table();
    const fleet_member* self =
        table ? table->find(environment_.fleet->lease().self()) : nullptr;
    if (self == nullptr)
        return false;
    const auto reached = [&](const std::vector<instance_id>& list) {
        const auto count = static_cast<std::size_t>(std::count_if(
            list.begin(), list.end(), [&](const instance_id& witness) {
                return request.acknowledged.contains(witness);
            }));
        return list.empty() || count >= majority_of(list.size());
    };
    return reached(self->witnesses) && reached(self->previous);
}

void at_most_once_service::on_ack(const intent_ack_message& ack)
{
    const auto found = pending_.find(ack.number);
    if (found == pending_.end() || ack.reply != intent_reply::recorded)
        return;
    found->second.acknowledged.insert(ack.from);
    if (!has_quorum(found->second))
        return;
    pending_request request = std::move(found->second);
    pending_.erase(found);
    run(std::move(request));
}

void at_most_once_service::run(pending_request request)
{
    const auto remaining =
        std::chrono::floor<milliseconds>(request.deadline - clock_now());
    request.message.remaining_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, remaining.count()));
    request.message.recorded = true;
    const recorded_request_sender send = std::move(request.send);
    send(std::move(request.message),
        [this, server = request.server, record = request.record,
            done = std::move(request.done)](const answer_message& answer) {
            finish(server, record, answer);
            done(answer);
        });
}

void at_most_once_service::finish(const backend_server_id& server,
    const intent& record, const answer_message& answer)
{
    const auto found = homes_.find(server);
    if (found == homes_.end())
        return;
    const intent_state state = state_of(answer);
    const std::string stored =
        state == intent_state::done ? encode(answer) : std::string();
    const auto outcome =
        found->second.filter->finish(record, state, stored, clock_now());
    if (outcome)
        record_outcome(server, *outcome);
}

void at_most_once_service::record_outcome(
    const backend_server_id& server, const intent& record)
{
    const intent_message message{server, 0, record};
    for (const instance_id& witness : environment_.fleet->lease().targets())
        environment_.hub->send(witness, message);
}

void at_most_once_service::tick(time_point now)
{
    for (auto& [server, home] : homes_) {
        if (!home.filter->ready())
            collect(server, home, now);
        else
            synchronize(server, home);
    }
    std::vector<std::uint64_t> overdue;
    for (const auto& item : pending_) {
        if (now + min_run_time >= item.second.deadline)
            overdue.push_back(item.first);
    }
    for (const std::uint64_t number : overdue) {
        const auto found = pending_.find(number);
        const pending_request request = std::move(found->second);
        pending_.erase(found);
        const answer_message answer =
            make_refusal(request.message, error_kind::deadline_exceeded_not_run,
                "no majority of witnesses recorded the intent in time");
        finish(request.server, request.record, answer);
        request.done(answer);
    }
}

void at_most_once_service::collect(
    const backend_server_id& server, home_server& home, time_point now)
{
    if (now < home.next_collect)
        return;
    home.next_collect = now + collect_interval;
    if (now >= home.records_expire) {
        home.former_homes.clear();
        home.filter->adopt({}, now);
        return;
    }
    const collect_message message{server, 0, home.token};
    for (const former_home& former : home.former_homes) {
        for (const instance_id& witness : former.witnesses) {
            if (witness == environment_.self)
                add_collected(home, witness,
                    log_of(server).collect(home.token, now), now);
            else
                environment_.hub->send(witness, message);
        }
        if (home.filter->ready())
            return;
    }
}

void at_most_once_service::add_collected(home_server& home,
    const instance_id& from, const collect_reply& reply, time_point now)
{
    for (former_home& former : home.former_homes) {
        const auto place =
            std::find(former.witnesses.begin(), former.witnesses.end(), from);
        if (place == former.witnesses.end())
            continue;
        const auto index =
            static_cast<unsigned>(place - former.witnesses.begin());
        former.collector.add(index, reply);
    }
    finish_collection(home, now);
}

void at_most_once_service::finish_collection(home_server& home, time_point now)
{
    const bool complete =
        !home.former_homes.empty() &&
        std::all_of(home.former_homes.begin(), home.former_homes.end(),
            [](const former_home& former) {
                return former.collector.complete();
            });
    if (home.filter->ready() || !complete)
        return;
    std::map<request_key, intent> merged;
    for (const former_home& former : home.former_homes) {
        for (const intent& record : former.collector.merged()) {
            const auto [found, added] = merged.emplace(record.key, record);
            if (!added && earlier_run(found->second, record))
                found->second = record;
        }
    }
    std::vector<intent> records;
    records.reserve(merged.size());
    for (const auto& entry : merged)
        records.push_back(entry.second);
    home.filter->adopt(records, now);
}

// Sends all records to witnesses that may not have them: new witnesses and
// restarted ones.
void at_most_once_service::synchronize(
    const backend_server_id& server, home_server& home)
{
    const fleet_table_ptr& table = environment_.fleet->table();
    if (!table)
        return;
    for (const instance_id& witness : environment_.fleet->lease().targets()) {
        const fleet_member* member = table->find(witness);
        if (member == nullptr)
            continue;
        const auto known = home.synchronized.find(witness);
        if (known != home.synchronized.end() &&
            known->second == member->key.run)
            continue;
        const synchronize_message message{
            server, home.token, member->key.run, home.filter->intents()};
        if (environment_.hub->send(witness, message))
            home.synchronized[witness] = member->key.run;
    }
}

void at_most_once_service::on_link_lost(const instance_id& instance)
{
    for (auto& item : homes_)
        item.second.synchronized.erase(instance);
}

bool at_most_once_service::handle(
    peer_connection& connection, const peer_message& message, time_point now)
{
    if (const auto* request = std::get_if<intent_message>(&message)) {
        const intent_reply reply =
            log_of(request->server).record(request->record, now);
        if (request->number != 0)
            connection.send(
                intent_ack_message{request->number, environment_.self, reply});
    } else if (const auto* ack = std::get_if<intent_ack_message>(&message)) {
        on_ack(*ack);
    } else if (const auto* query = std::get_if<collect_message>(&message)) {
        collect_reply reply = log_of(query->server).collect(query->token, now);
        connection.send(
            collected_message{query->server, query->number, environment_.self,
                reply.complete, reply.former_holder, std::move(reply.intents)});
    } else if (const auto* found = std::get_if<collected_message>(&message)) {
        const auto item = homes_.find(found->server);
        if (item != homes_.end())
            add_collected(item->second, found->from,
                {found->complete, found->former_holder, found->intents}, now);
    } else if (const auto* sync = std::get_if<synchronize_message>(&message)) {
        log_of(sync->server)
            .synchronize(sync->token, sync->receiver, sync->intents, now);
    } else {
        return false;
    }
    return true;
}

bool at_most_once_service::has_pending(const backend_server_id& server) const
{
    return std::any_of(pending_.begin(), pending_.end(),
        [&](const auto& item) { return item.second.server == server; });
}

bool at_most_once_service::ready(const backend_server_id& server) const
{
    const auto found = homes_.find(server);
    return found != homes_.end() && found->second.filter->ready();
}

std::size_t at_most_once_service::recorded_count(
    const backend_server_id& server) const
{
    const auto found = homes_.find(server);
    return found == homes_.end() ? 0 : found->second.filter->size();
}

intent_log& at_most_once_service::log_of(const backend_server_id& server)
{
    const auto found = logs_.find(server);
    if (found != logs_.end())
        return found->second;
    return logs_
        .emplace(server, intent_log(intent_log_settings{},
                             environment_.self_incarnation, started_))
        .first->second;
}

} // namespace filberthub
