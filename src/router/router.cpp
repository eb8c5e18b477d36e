#include <filberthub/router/router.hpp>

#include "router/caller_service.hpp"
#include "router/clock.hpp"
#include "router/fleet_role.hpp"
#include "router/status_page.hpp"

#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

constexpr milliseconds tick_interval{100};
constexpr milliseconds sweep_interval{1'000};
constexpr milliseconds rotate_interval{30'000};
// The platform asks for readiness once a second and stops sending new callers
// after two answers that are not 200.
constexpr milliseconds out_of_rotation{2'600};
// Idle connections are closed meanwhile; a caller in the middle of its requests
// gets "Connection: close".
constexpr milliseconds least_leave_time{3'400};
// The process ends by itself before the platform kills it.
constexpr milliseconds kill_margin{600};
// Work that begins later than this before the end would be cut; most requests
// take less.
constexpr milliseconds last_work_time{1'000};

http_listener_options caller_options()
{
    http_listener_options options;
    options.pipelined_requests = 16;
    options.buffered_bytes = std::size_t{64} * 1024 * 1024;
    return options;
}

http_response status_only(int status)
{
    http_response response;
    response.status = status;
    return response;
}

} // namespace

struct router::parts
{
    explicit parts(const route_settings& initial_settings)
        : settings(initial_settings),
          view(settings),
          gates(settings, view, present_time),
          callers(settings, view, gates, metrics, present_time),
          role(
              settings, view, metrics, [this] { return callers.take_counts(); },
              present_time),
          caller_listener(caller_options(),
              [this](std::shared_ptr<http_exchange> exchange) {
                  callers.accept(std::move(exchange));
              }),
          readiness_listener({},
              [this](const std::shared_ptr<http_exchange>& exchange) {
                  exchange->respond(
                      status_only(view.ready() && !leaving ? 200 : 503));
              }),
          peer_listener({},
              [this](std::shared_ptr<http_exchange> exchange) {
                  role.on_poll(std::move(exchange));
              }),
          operator_listener(
              {}, [this](const std::shared_ptr<http_exchange>& exchange) {
                  exchange->respond(operator_answer(exchange->request().target,
                      settings, view, role, metrics, present_time()));
              })
    {
        view.on_change([this] {
            apply_limits();
            role.on_view_changed();
            callers.on_view_changed();
        });
        QObject::connect(&ticker, &QTimer::timeout, [this] { tick(); });
    }

    void apply_limits()
    {
        const auto routes = view.routes();
        if (!routes || routes == limits_of)
            return;
        limits_of = routes;
        const caller_limits& limits = routes->config().limits;
        caller_listener.set_limits({limits.head_bytes, limits.body_bytes},
            limits.head_timeout, limits.idle_timeout);
    }

    void tick()
    {
        const time_point now = present_time();
        role.tick(now);
        if (now >= next_sweep) {
            next_sweep = now + sweep_interval;
            callers.sweep();
        }
        if (now >= next_rotate) {
            next_rotate = now + rotate_interval;
            metrics.rotate();
        }
        if (leaving)
            check_left(now);
    }

    void check_left(time_point now)
    {
        if (now >= leave_begun + out_of_rotation && !closed) {
            closed = true;
            caller_listener.begin_drain();
        }
        const bool idle =
            callers.in_flight() == 0 && caller_listener.connection_count() == 0;
        const time_point end =
            leave_begun + settings.bounds.stop_grace - kill_margin;
        const bool time_over = now >= end;
        if (time_over && callers.in_flight() > 0) {
            log_event(log_level::warn, "requests are open at the end",
                {{"in_flight", callers.in_flight()}});
            // The answers are on their way before the next tick.
            callers.answer_all();
            return;
        }
        if (now >= end - last_work_time)
            callers.refuse_unsent();
        if ((idle && now >= leave_begun + least_leave_time) || time_over) {
            log_event(log_level::info, "stopped", {{"time_over", time_over}});
            ticker.stop();
            left();
        }
    }

    route_settings settings;
    metric_registry metrics;
    deployment_view view;
    gate_service gates;
    caller_service callers;
    fleet_role role;
    http_listener caller_listener;
    http_listener readiness_listener;
    http_listener peer_listener;
    http_listener operator_listener;
    std::shared_ptr<const route_table> limits_of;
    QTimer ticker;
    time_point next_sweep;
    time_point next_rotate = present_time() + rotate_interval;
    bool leaving = false;
    bool closed = false;
    time_point leave_begun;
    std::function<void()> left;
};

router::router(const route_settings& settings)
    : parts_(std::make_unique<parts>(settings))
{}

router::~router() = default;

void router::start()
{
    parts& self = *parts_;
    self.caller_listener.listen(self.settings.callers);
    self.readiness_listener.listen(self.settings.readiness);
    self.peer_listener.listen(self.settings.peers);
    self.operator_listener.listen(self.settings.operators);
    self.gates.start();
    self.ticker.start(tick_interval);
    log_event(log_level::info, "started",
        {{log_key::failure_domain, self.settings.domain.value()},
            {log_key::address, to_string(self.settings.callers)},
            {"first_start", self.settings.first_start}});
}

void router::reload(const route_settings& changed)
{
    parts& self = *parts_;
    const bool same_addresses = changed.callers == self.settings.callers &&
                                changed.readiness == self.settings.readiness &&
                                changed.peers == self.settings.peers;
    self.settings.bounds = changed.bounds;
    set_log_level(log_level_from_string(changed.log_level));
    log_event(log_level::info, "settings read again",
        {{"addresses_changed", !same_addresses}});
}

void router::leave(std::function<void()> left)
{
    parts& self = *parts_;
    if (self.leaving)
        return;
    log_event(
        log_level::info, "leaving", {{"in_flight", self.callers.in_flight()}});
    self.leaving = true;
    self.leave_begun = present_time();
    self.left = std::move(left);
    self.caller_listener.announce_close();
    self.role.leave();
}

} // namespace filberthub
