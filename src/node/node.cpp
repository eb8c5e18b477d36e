#include "node/clock.hpp"
#include "node/entry_service.hpp"
#include "node/forward_service.hpp"
#include "node/operator_service.hpp"

#include <filberthub/node/node.hpp>

#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

// Wall clock milliseconds are above the incarnation of any earlier process of
// this instance. Nothing else depends on the wall clock.
incarnation new_incarnation()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(since_epoch).count()));
}

constexpr milliseconds leave_check_interval{20};
// The balancer sees that the instance leaves and sends no new callers.
constexpr milliseconds balancer_notice{500};
constexpr milliseconds leave_limit{20'000};

} // namespace

// The membership side, which is made anew with each incarnation.
struct membership_parts
{
    std::unique_ptr<peer_hub> hub;
    std::unique_ptr<news_service> news;
    std::unique_ptr<fleet_service> fleet;
    std::unique_ptr<policy_service> policy;
    std::unique_ptr<ownership_service> ownership;
    std::unique_ptr<edit_service> edits;
    std::unique_ptr<holder_service> holders;
};

struct node::parts
{
    explicit parts(const settings& own) : config(own), store(own.platform) {}

    void open_listeners();
    // `earlier` is the policy of the incarnation before this one, or null.
    void join(const policy_service* earlier);
    void rejoin();
    void on_message(peer_connection& connection, peer_message message);
    void on_policy();
    void check_left();
    node_view view();

    settings config;
    store_client store;
    membership_parts membership;
    forward_service forwards;
    std::unique_ptr<entry_service> entry;
    std::unique_ptr<peer_listener> peers;
    std::unique_ptr<http_listener> callers;
    std::unique_ptr<http_listener> operators;
    std::unique_ptr<operator_service> operations;
    std::function<void()> lapsed;
    std::function<void()> left;
    QTimer leave_timer;
    time_point leave_started{};
    bool leaving = false;
    bool departed = false;
};

void node::parts::open_listeners()
{
    peers = std::make_unique<peer_listener>(
        [this](peer_connection& connection, peer_message message) {
            on_message(connection, std::move(message));
        },
        [this](peer_connection& connection) {
            forwards.on_closed(*membership.holders, connection);
        });
    callers = std::make_unique<http_listener>(
        http_listener_options{.limits = {.head_bytes = config.limits.head_bytes,
                                  .body_bytes = config.limits.body_bytes},
            .buffered_bytes = config.limits.buffered_bytes},
        [this](std::shared_ptr<http_exchange> exchange) {
            entry->accept(std::move(exchange));
        });
    operators = std::make_unique<http_listener>(http_listener_options{},
        [this](const std::shared_ptr<http_exchange>& exchange) {
            operations->handle(exchange);
        });
    peers->listen(config.peers);
    callers->listen(config.callers);
    operators->listen(config.operators);
}

void node::parts::join(const policy_service* earlier)
{
    const hello_message hello{config.instance, new_incarnation()};
    membership_parts& m = membership;
    m.hub = std::make_unique<peer_hub>(
        hello,
        [this](peer_connection& connection, peer_message message) {
            on_message(connection, std::move(message));
        },
        [this](const instance_id& instance, bool established) {
            if (entry)
                entry->on_link_lost(instance, established);
            if (membership.edits)
                membership.edits->on_link_lost(instance);
        });
    m.news = std::make_unique<news_service>(*m.hub);
    m.policy = std::make_unique<policy_service>(store, *m.news, [this] {
        const auto rank = membership.fleet->rank();
        return rank && *rank < planner_count;
    });
    if (earlier != nullptr)
        m.policy->restore(*earlier);
    fleet_environment fleet_needs;
    fleet_needs.self = {.id = config.instance,
        .run = hello.run,
        .domain = config.domain,
        .peer = config.peers,
        .caller = config.callers,
        .operators = config.operators,
        .leaving = false};
    fleet_needs.table_path = "fleet/" + config.region.value();
    fleet_needs.store = &store;
    fleet_needs.hub = m.hub.get();
    fleet_needs.news = m.news.get();
    fleet_needs.servers = [this] {
        std::vector<backend_server_id> servers;
        const shared_policy document = membership.policy->document();
        if (document) {
            for (const auto& item : document->services())
                for (const backend_server& server : item.second.servers)
                    servers.push_back(server.id);
        }
        return servers;
    };
    fleet_needs.out = [this](const instance_id& instance,
                          const failure_domain_id& domain) {
        const shared_policy document = membership.policy->document();
        return document && (!document->in_service(instance) ||
                               !document->in_service(domain));
    };
    m.fleet = std::make_unique<fleet_service>(std::move(fleet_needs));
    m.ownership = std::make_unique<ownership_service>(
        ownership_environment{.region = config.region,
            .store = &store,
            .news = m.news.get(),
            .policy = [this] { return membership.policy->document(); },
            .rank = [this] { return membership.fleet->rank(); },
            .settled = [](const service_id&) { return table_version(); }});
    m.edits =
        std::make_unique<edit_service>(edit_environment{.fleet = m.fleet.get(),
                                           .hub = m.hub.get(),
                                           .self = config.instance,
                                           .run = hello.run},
            clock_now());
    m.holders = std::make_unique<holder_service>(holder_environment{
        .fleet = m.fleet.get(),
        .ownership = m.ownership.get(),
        .policy = m.policy.get(),
        .edits = m.edits.get(),
        .hub = m.hub.get(),
        .relay =
            [this](forward_message message, answer_callback done) {
                entry->relay(std::move(message), std::move(done));
            },
        .out_of_service =
            [this] {
                const shared_policy document = membership.policy->document();
                return document && (!document->in_service(config.instance) ||
                                       !document->in_service(config.domain));
            }});

    m.policy->changed = [this] { on_policy(); };
    m.policy->confirmed = [this](time_point started) {
        membership.fleet->connectivity().on_store_confirmed(started);
    };
    m.fleet->changed = [this] { membership.holders->refresh(); };
    m.ownership->changed = [this](const service_id&) {
        membership.holders->refresh();
    };
    m.fleet->lapsed = [this] {
        membership.holders->abandon();
        // Not inside a callback of the object that is replaced.
        QTimer::singleShot(0, callers.get(), [this] { rejoin(); });
    };
    m.policy->start();
    m.fleet->start();
    m.ownership->start();
    m.holders->start();
    if (m.policy->document())
        on_policy();
}

void node::parts::rejoin()
{
    if (leaving)
        return;
    log_event(log_level::warn, "joining again with a new incarnation");
    const membership_parts old = std::move(membership);
    membership = {};
    join(old.policy.get());
    entry->set_membership(*membership.fleet, *membership.holders,
        *membership.ownership, *membership.policy, *membership.hub);
    if (lapsed)
        lapsed();
}

void node::parts::on_policy()
{
    membership.ownership->apply_policy();
    membership.holders->refresh();
}

void node::parts::on_message(peer_connection& connection, peer_message message)
{
    const time_point now = clock_now();
    if (auto* forward = std::get_if<forward_message>(&message)) {
        forwards.on_forward(
            *membership.holders, connection, std::move(*forward));
    } else if (auto* answer = std::get_if<answer_message>(&message)) {
        entry->on_answer(std::move(*answer));
    } else if (const auto* cancel = std::get_if<cancel_message>(&message)) {
        forwards.on_cancel(*membership.holders, connection, cancel->number);
    } else if (const auto* pull = std::get_if<pull_message>(&message)) {
        membership.news->on_pull(connection, *pull);
    } else if (const auto* news = std::get_if<news_message>(&message)) {
        membership.news->on_news(*news);
    } else if (const auto* release =
                   std::get_if<group_released_message>(&message)) {
        membership.holders->on_group_released(*release);
    } else if (!membership.edits->handle(connection, message, now)) {
        membership.fleet->handle(message, now);
    }
}

// Ends the process once no caller waits and no server is held any more.
void node::parts::check_left()
{
    const time_point now = clock_now();
    const bool noticed = now - leave_started >= balancer_notice;
    if (noticed && !callers->draining())
        callers->begin_drain();
    const bool late = now - leave_started >= leave_limit;
    const bool idle = callers->draining() && callers->in_flight() == 0 &&
                      callers->connection_count() == 0 &&
                      forwards.in_flight() == 0;
    if (noticed && !membership.holders->draining())
        membership.holders->begin_drain();
    if (!late && (!idle || !membership.holders->drained()))
        return;
    if (!departed) {
        departed = true;
        membership.fleet->depart();
        QTimer::singleShot(
            leave_check_interval * 10, callers.get(), [this] { left(); });
        leave_timer.stop();
    }
}

node_view node::parts::view()
{
    return {.config = &config,
        .store = &store,
        .fleet = [this] { return membership.fleet.get(); },
        .policy = [this] { return membership.policy.get(); },
        .ownership = [this] { return membership.ownership.get(); },
        .holders = [this] { return membership.holders.get(); },
        .entry = entry.get(),
        .callers = callers.get(),
        .leaving = [this] { return leaving; }};
}

node::node(const settings& own) : parts_(std::make_unique<parts>(own)) {}

node::~node() = default;

void node::start()
{
    parts& p = *parts_;
    p.open_listeners();
    p.join(nullptr);
    p.entry = std::make_unique<entry_service>(
        entry_environment{.self = p.config.instance,
            .fleet = p.membership.fleet.get(),
            .ownership = p.membership.ownership.get(),
            .policy = p.membership.policy.get(),
            .holders = p.membership.holders.get(),
            .hub = p.membership.hub.get()});
    p.operations = std::make_unique<operator_service>(p.view());
    log_event(log_level::info, "serves callers",
        {{log_key::address, to_string(p.config.callers)},
            {log_key::failure_domain, p.config.domain.value()}});
}

void node::leave(std::function<void()> left)
{
    parts& p = *parts_;
    if (p.leaving)
        return;
    p.leaving = true;
    p.left = std::move(left);
    p.leave_started = clock_now();
    p.membership.fleet->set_leaving();
    QObject::connect(&p.leave_timer, &QTimer::timeout, p.callers.get(),
        [&p] { p.check_left(); });
    p.leave_timer.start(leave_check_interval);
}

void node::on_lapsed(std::function<void()> callback)
{
    parts_->lapsed = std::move(callback);
}

} // namespace filberthub
