#include "node/clock.hpp"
#include "node/entry_service.hpp"
#include "node/forward_service.hpp"
#include "node/operator_service.hpp"

#include <filberthub/node/node.hpp>

#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

// Returns the wall clock time in milliseconds, which is higher than the
// incarnation of any earlier process of this instance. Nothing else depends on
// the wall clock.
incarnation new_incarnation()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(since_epoch).count()));
}

constexpr milliseconds leave_check_interval{20};
// Time for the balancer to see that the instance leaves and to send it no new
// callers.
constexpr milliseconds balancer_notice_time{500};
// The instance departs after this time even if requests are in progress.
constexpr milliseconds max_leave_time{20'000};

} // namespace

// The services of one incarnation; replaced when the instance joins again.
struct membership_services
{
    std::unique_ptr<peer_hub> hub;
    std::unique_ptr<dissemination_service> dissemination;
    std::unique_ptr<fleet_service> fleet;
    std::unique_ptr<policy_service> policy;
    std::unique_ptr<ownership_service> ownership;
    std::unique_ptr<at_most_once_service> at_most_once;
    std::unique_ptr<holder_service> holders;
};

struct node::impl
{
    explicit impl(const settings& node_settings)
        : config(node_settings), store(node_settings.platform)
    {}

    void open_listeners();
    // `earlier` is the policy of the incarnation before this one, or null.
    void join(const policy_service* earlier);
    void rejoin();
    void on_message(peer_connection& connection, peer_message message);
    void on_policy();
    void check_departure();
    node_view view();

    settings config;
    store_client store;
    membership_services membership;
    forward_service forwards;
    std::unique_ptr<entry_service> entry;
    std::unique_ptr<peer_listener> peers;
    std::unique_ptr<http_listener> callers;
    std::unique_ptr<http_listener> operators;
    std::unique_ptr<operator_service> operations;
    std::function<void()> lapsed_callback;
    std::function<void()> left_callback;
    QTimer leave_timer;
    time_point leave_started{};
    bool leaving = false;
    bool departed = false;
};

void node::impl::open_listeners()
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

void node::impl::join(const policy_service* earlier)
{
    const hello_message hello{config.instance, new_incarnation()};
    membership_services& services = membership;
    services.hub = std::make_unique<peer_hub>(
        hello,
        [this](peer_connection& connection, peer_message message) {
            on_message(connection, std::move(message));
        },
        [this](const instance_id& instance, bool established) {
            if (entry)
                entry->on_link_lost(instance, established);
            if (membership.at_most_once)
                membership.at_most_once->on_link_lost(instance);
        });
    services.dissemination =
        std::make_unique<dissemination_service>(*services.hub);
    services.policy = std::make_unique<policy_service>(
        store, *services.dissemination, [this] {
            const auto rank = membership.fleet->rank();
            return rank && *rank < planner_count;
        });
    if (earlier != nullptr)
        services.policy->restore(*earlier);
    fleet_environment environment;
    environment.self = {.id = config.instance,
        .run = hello.run,
        .domain = config.domain,
        .peer = config.peers,
        .caller = config.callers,
        .operators = config.operators,
        .leaving = false};
    environment.table_path = "fleet/" + config.region.value();
    environment.store = &store;
    environment.hub = services.hub.get();
    environment.dissemination = services.dissemination.get();
    environment.servers = [this] {
        std::vector<backend_server_id> servers;
        const shared_policy document = membership.policy->document();
        if (document) {
            for (const auto& item : document->services())
                for (const backend_server& server : item.second.servers)
                    servers.push_back(server.id);
        }
        return servers;
    };
    environment.is_out_of_service = [this](const instance_id& instance,
                                        const failure_domain_id& domain) {
        const shared_policy document = membership.policy->document();
        return document && (!document->in_service(instance) ||
                               !document->in_service(domain));
    };
    services.fleet = std::make_unique<fleet_service>(std::move(environment));
    services.ownership = std::make_unique<ownership_service>(
        ownership_environment{.region = config.region,
            .store = &store,
            .dissemination = services.dissemination.get(),
            .policy = [this] { return membership.policy->document(); },
            .rank = [this] { return membership.fleet->rank(); },
            .settled_version =
                [](const service_id&) { return table_version(); }});
    services.at_most_once = std::make_unique<at_most_once_service>(
        at_most_once_environment{.fleet = services.fleet.get(),
            .hub = services.hub.get(),
            .self = config.instance,
            .self_incarnation = hello.run},
        clock_now());
    services.holders = std::make_unique<holder_service>(holder_environment{
        .fleet = services.fleet.get(),
        .ownership = services.ownership.get(),
        .policy = services.policy.get(),
        .at_most_once = services.at_most_once.get(),
        .hub = services.hub.get(),
        .relay =
            [this](forward_message message, answer_callback done) {
                entry->relay(std::move(message), std::move(done));
            },
        .is_out_of_service =
            [this] {
                const shared_policy document = membership.policy->document();
                return document && (!document->in_service(config.instance) ||
                                       !document->in_service(config.domain));
            }});

    services.policy->on_changed = [this] { on_policy(); };
    services.policy->on_confirmed = [this](time_point started) {
        membership.fleet->connectivity().on_store_confirmed(started);
    };
    services.fleet->on_changed = [this] { membership.holders->refresh(); };
    services.ownership->on_changed = [this](const service_id&) {
        membership.holders->refresh();
    };
    services.fleet->on_lapsed = [this] {
        membership.holders->abandon();
        // Deferred, because this callback belongs to an object that `rejoin`
        // replaces.
        QTimer::singleShot(0, callers.get(), [this] { rejoin(); });
    };
    services.policy->start();
    services.fleet->start();
    services.ownership->start();
    services.holders->start();
    if (services.policy->document())
        on_policy();
}

void node::impl::rejoin()
{
    if (leaving)
        return;
    log_event(log_level::warn, "rejoining the fleet with a new incarnation");
    const membership_services old = std::move(membership);
    membership = {};
    join(old.policy.get());
    entry->set_membership(*membership.fleet, *membership.holders,
        *membership.ownership, *membership.policy, *membership.hub);
    if (lapsed_callback)
        lapsed_callback();
}

void node::impl::on_policy()
{
    membership.ownership->apply_policy();
    membership.holders->refresh();
}

void node::impl::on_message(peer_connection& connection, peer_message message)
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
        membership.dissemination->on_pull(connection, *pull);
    } else if (const auto* pulled =
                   std::get_if<pulled_object_message>(&message)) {
        membership.dissemination->on_pulled_object(*pulled);
    } else if (const auto* release =
                   std::get_if<group_released_message>(&message)) {
        membership.holders->on_group_released(*release);
    } else if (!membership.at_most_once->handle(connection, message, now)) {
        membership.fleet->handle(message, now);
    }
}

// Departs once no caller waits and no server is held, or after
// `max_leave_time`.
void node::impl::check_departure()
{
    const time_point now = clock_now();
    const bool balancer_notified = now - leave_started >= balancer_notice_time;
    if (balancer_notified && !callers->draining())
        callers->begin_drain();
    const bool overdue = now - leave_started >= max_leave_time;
    const bool idle = callers->draining() && callers->in_flight() == 0 &&
                      callers->connection_count() == 0 &&
                      forwards.in_flight() == 0;
    if (balancer_notified && !membership.holders->draining())
        membership.holders->begin_drain();
    if (!overdue && (!idle || !membership.holders->drained()))
        return;
    if (!departed) {
        departed = true;
        membership.fleet->depart();
        QTimer::singleShot(leave_check_interval * 10, callers.get(),
            [this] { left_callback(); });
        leave_timer.stop();
    }
}

node_view node::impl::view()
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

node::node(const settings& config) : impl_(std::make_unique<impl>(config)) {}

node::~node() = default;

void node::start()
{
    impl& self = *impl_;
    self.open_listeners();
    self.join(nullptr);
    self.entry = std::make_unique<entry_service>(
        entry_environment{.self = self.config.instance,
            .fleet = self.membership.fleet.get(),
            .ownership = self.membership.ownership.get(),
            .policy = self.membership.policy.get(),
            .holders = self.membership.holders.get(),
            .hub = self.membership.hub.get()});
    self.operations = std::make_unique<operator_service>(self.view());
    log_event(log_level::info, "accepting requests from callers",
        {{log_key::address, to_string(self.config.callers)},
            {log_key::failure_domain, self.config.domain.value()}});
}

void node::leave(std::function<void()> on_left)
{
    impl& self = *impl_;
    if (self.leaving)
        return;
    self.leaving = true;
    self.left_callback = std::move(on_left);
    self.leave_started = clock_now();
    self.membership.fleet->set_leaving();
    QObject::connect(&self.leave_timer, &QTimer::timeout, self.callers.get(),
        [&self] { self.check_departure(); });
    self.leave_timer.start(leave_check_interval);
}

void node::on_lapsed(std::function<void()> callback)
{
    impl_->lapsed_callback = std::move(callback);
}

} // namespace filberthub
