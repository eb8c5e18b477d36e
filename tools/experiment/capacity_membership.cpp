#include "tools/experiment/capacity.hpp"
#include "tools/experiment/fleet_model.hpp"
#include "tools/experiment/series.hpp"

#include <filberthub/dissemination/revision_tracker.hpp>
#include <filberthub/membership/connectivity_view.hpp>
#include <filberthub/membership/takeover_tracker.hpp>
#include <filberthub/membership/witness_ledger.hpp>
#include <filberthub/wire/codec.hpp>

#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <map>
#include <memory>

namespace filberthub::experiment {

namespace {

constexpr time_point start{std::chrono::seconds(1)};

// One instance with all that handles heartbeats.
struct participant
{
    participant(const fleet_table_ptr& table, const fleet_member& member)
        : lease(member.key, start),
          ledger(lease, start),
          tracker(lease),
          view(member.key.instance)
    {
        lease.adopt(*table, start);
        ledger.adopt(table, start);
        tracker.adopt(table, start);
        view.adopt(table);
        revisions.on_pulled({document_kind::policy, {}}, 7);
        revisions.on_pulled(
            {document_kind::fleet, {}}, table->version().value());
        // The four services of a deployment.
        for (const char* name :
            {"kartlas", "kartskriv", "skanintag", "raddning"})
            revisions.on_pulled(
                {document_kind::ownership, service_id(name)}, 3);
    }

    member_lease lease;
    witness_ledger ledger;
    takeover_tracker tracker;
    connectivity_view view;
    revision_tracker revisions;
};

// Size of an encoded message in Cap'n Proto's packed form, which leaves out
// most zero bytes.
double packed_bytes(const std::string& bytes)
{
    kj::VectorOutputStream output;
    capnp::_::PackedOutputStream packed(output);
    packed.write(bytes.data(), bytes.size());
    return static_cast<double>(output.getArray().size());
}

struct round_cost
{
    double send_ns = 0;
    double witness_ns = 0;
    double ack_ns = 0;
    double heartbeat_bytes = 0;
    double ack_bytes = 0;
    double packed_heartbeat_bytes = 0;
    double packed_ack_bytes = 0;
};

// A fleet that exchanges heartbeats in virtual time, without a network.
class heartbeat_fleet
{
public:
    explicit heartbeat_fleet(std::size_t members)
        : table_(std::make_shared<fleet_table>(
              settled_fleet({members, members, 3})))
    {
        for (const fleet_member& member : table_->members()) {
            auto& made = participants_[member.key.instance];
            made = std::make_unique<participant>(table_, member);
        }
    }

    // Costs are per message, with encoding and decoding.
    round_cost round(time_point now)
    {
        using packet = std::pair<participant*, std::string>;
        std::vector<packet> heartbeats;
        std::vector<packet> acks;
        round_cost cost;

        const double sending = thread_cpu_nanoseconds();
        for (auto& [id, from] : participants_) {
            auto message = from->lease.heartbeat_due(now);
            if (!message)
                continue;
            message->known = from->revisions.summary(now);
            message->known.store_age.reset();
            for (const instance_id& to : from->lease.targets())
                heartbeats.emplace_back(
                    participants_.at(to).get(), encode(*message));
        }
        const double witnessing = thread_cpu_nanoseconds();
        for (const auto& [witness, bytes] : heartbeats) {
            const auto message = std::get<heartbeat>(decode(bytes));
            const instance_id from = message.from.instance;
            witness->revisions.merge(from, message.known, std::nullopt, now);
            auto ack = witness->ledger.on_heartbeat(message, now);
            if (!ack)
                continue;
            ack->known = witness->revisions.summary(now);
            ack->evidence = witness->view.ages(now);
            acks.emplace_back(participants_.at(from).get(), encode(*ack));
        }
        const double taking = thread_cpu_nanoseconds();
        for (const auto& [member, bytes] : acks) {
            const auto ack = std::get<heartbeat_ack>(decode(bytes));
            const auto sent = member->lease.sent_at(ack.number);
            member->lease.on_ack(ack, now);
            member->tracker.on_acknowledged();
            member->revisions.merge(ack.from.instance, ack.known, sent, now);
            if (sent)
                member->view.on_ack(ack, *sent);
        }
        const double end = thread_cpu_nanoseconds();

        const auto sent = static_cast<double>(heartbeats.size());
        const auto answered =
            static_cast<double>(std::max<std::size_t>(1, acks.size()));
        cost.send_ns = (witnessing - sending) / sent;
        cost.witness_ns = (taking - witnessing) / sent;
        cost.ack_ns = (end - taking) / answered;
        for (const auto& [to, bytes] : heartbeats) {
            cost.heartbeat_bytes += static_cast<double>(bytes.size()) / sent;
            cost.packed_heartbeat_bytes += packed_bytes(bytes) / sent;
        }
        for (const auto& [to, bytes] : acks) {
            cost.ack_bytes += static_cast<double>(bytes.size()) / answered;
            cost.packed_ack_bytes += packed_bytes(bytes) / answered;
        }
        return cost;
    }

    // Nanoseconds for one `is_holder` of a held server.
    double is_holder_ns(time_point now) const
    {
        for (const auto& entry : participants_) {
            const participant& member = *entry.second;
            const auto held = member.tracker.held_servers();
            if (held.empty())
                continue;
            constexpr int calls = 100'000;
            return min_cpu_nanoseconds(20, [&] {
                for (int call = 0; call < calls; ++call)
                    do_not_optimize(
                        member.tracker.is_holder(held.front(), now));
            }) / calls;
        }
        return 0;
    }

    std::size_t leases_held(time_point now) const
    {
        return static_cast<std::size_t>(std::count_if(participants_.begin(),
            participants_.end(),
            [&](const auto& entry) { return entry.second->lease.held(now); }));
    }

private:
    static peer_message decode(const std::string& bytes)
    {
        frame_decoder decoder;
        decoder.feed(bytes);
        return decoder.next().value();
    }

    fleet_table_ptr table_;
    std::map<instance_id, std::unique_ptr<participant>> participants_;
};

// Returns the memory of the lease, ledger, tracker, evidence and revisions of
// one instance, without the table, which they share.
double instance_bytes(const fleet_table_ptr& table)
{
    const std::size_t before = allocated_bytes();
    const auto made =
        std::make_unique<participant>(table, table->members().front());
    return static_cast<double>(allocated_bytes() - before);
}

// Returns the memory of one intent in a witness's record.
double intent_bytes(const fleet_table_ptr& table)
{
    for (const fleet_member& member : table->members()) {
        if (member.witnesses.empty())
            continue;
        participant witness(table, *table->find(member.witnesses.front()));
        constexpr std::uint64_t intents = 10'000;
        const std::size_t before = allocated_bytes();
        for (std::uint64_t id = 0; id < intents; ++id)
            witness.ledger.record_intent(
                member.key, request_hash(id), start + std::chrono::seconds(2));
        return static_cast<double>(allocated_bytes() - before) / intents;
    }
    return 0;
}

} // namespace

void print_membership_slopes(std::ostream& stream)
{
    series send("heartbeat_send", "ns/message", "members");
    series witness("heartbeat_handle_and_ack", "ns/message", "members");
    series ack("ack_handle", "ns/message", "members");
    series heartbeat_size("heartbeat_wire", "bytes", "members");
    series ack_size("ack_wire", "bytes", "members");
    series packed_heartbeat("heartbeat_if_packed", "bytes", "members");
    series packed_ack("ack_if_packed", "bytes", "members");
    series holder("is_holder", "ns", "members");
    series state("membership_state", "bytes/instance", "members");
    series held("leases_held", "leases", "members");
    for (const std::size_t members : {24U, 48U, 96U, 160U, 480U}) {
        heartbeat_fleet fleet(members);
        round_cost least;
        time_point now = start + std::chrono::seconds(2);
        // The first rounds make connections between records; the rest repeat.
        for (int round = 0; round < 40; ++round) {
            const round_cost cost = fleet.round(now);
            if (round == 2)
                least = cost;
            if (round > 2) {
                least.send_ns = std::min(least.send_ns, cost.send_ns);
                least.witness_ns = std::min(least.witness_ns, cost.witness_ns);
                least.ack_ns = std::min(least.ack_ns, cost.ack_ns);
            }
            now += heartbeat_interval;
        }
        const auto size = static_cast<double>(members);
        send.add(size, least.send_ns);
        witness.add(size, least.witness_ns);
        ack.add(size, least.ack_ns);
        heartbeat_size.add(size, least.heartbeat_bytes);
        ack_size.add(size, least.ack_bytes);
        packed_heartbeat.add(size, least.packed_heartbeat_bytes);
        packed_ack.add(size, least.packed_ack_bytes);
        holder.add(size, fleet.is_holder_ns(now - heartbeat_interval));
        held.add(size,
            static_cast<double>(fleet.leases_held(now - heartbeat_interval)));
        const auto table =
            std::make_shared<fleet_table>(settled_fleet({members, members, 3}));
        state.add(size, instance_bytes(table));
    }
    for (const series* each : {&send, &witness, &ack, &heartbeat_size,
             &ack_size, &packed_heartbeat, &packed_ack, &holder, &state, &held})
        each->print(stream);
    series intents("witness_intent", "bytes", "intents");
    intents.add(1, intent_bytes(std::make_shared<fleet_table>(
                       settled_fleet({24, 34, 3}))));
    intents.print(stream);
}

void print_fleet_slopes(std::ostream& stream)
{
    series plan("fleet_plan_lost_member", "ms", "members");
    series size("fleet_table_json", "bytes", "members + servers");
    series decode("fleet_table_decode", "ms", "members + servers");
    series memory("fleet_table_memory", "bytes", "members + servers");
    json shapes = json::array();
    for (const auto& [members, servers] :
        std::vector<std::pair<std::size_t, std::size_t>>{
            {24, 34}, {48, 400}, {96, 800}, {160, 1334}, {480, 4000}}) {
        const fleet_size shape{members, servers, 3};
        const fleet_table table = settled_fleet(shape);
        fleet_input input = fleet_input_of(shape);
        for (member_status& status : input.statuses)
            status.settled = table.version();
        input.lapsed.insert(input.instances.front().key);
        input.instances.erase(input.instances.begin());
        const auto count = static_cast<double>(members + servers);
        plan.add(static_cast<double>(members), min_cpu_nanoseconds(12, [&] {
            do_not_optimize(plan_fleet(table, input));
        }) / 1e6);
        const std::string text = to_json(table);
        size.add(count, static_cast<double>(text.size()));
        decode.add(count, min_cpu_nanoseconds(12, [&] {
            do_not_optimize(fleet_table_from_json(text));
        }) / 1e6);
        const std::size_t before = allocated_bytes();
        const auto copy = std::make_unique<fleet_table>(table);
        memory.add(count, static_cast<double>(allocated_bytes() - before));
        shapes.push_back({members, servers});
    }
    for (series* each : {&plan, &size, &decode, &memory})
        each->note("members_and_servers", shapes).print(stream);
}

} // namespace filberthub::experiment
