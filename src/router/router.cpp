#include <filberthub/router/router.hpp>

#include "router/caller_service.hpp"
#include "router/clock.hpp"
#include "router/fleet_role.hpp"
#include "router/status_page.hpp"

#include <filberthub/routing/descriptor_limits.hpp>
#include <filberthub/telemetry/callback_guard.hpp>
#include <filberthub/telemetry/log.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

#include <sys/resource.h>

#include <array>

namespace filberthub {
namespace {

constexpr milliseconds tick_interval{100};
// A longer delay of a tick is logged: what this process has learned and decided
// meanwhile came late.
constexpr milliseconds logged_tick_delay{400};
constexpr milliseconds sweep_interval{1'000};
// Window over which the quantiles of histograms are computed.
constexpr milliseconds metric_window{30'000};

// Received bytes that are not yet read count toward the memory of the process
// on the platform. Above the bytes in flight at the deployments' rates.
constexpr std::size_t receive_buffer_bytes = std::size_t{256} * 1024;

// For a process without a limit of its descriptors.
constexpr std::size_t max_descriptors = 65'536;

// Returns how many descriptors this process may open.
std::size_t descriptors_of(const route_settings& settings)
{
    std::size_t count =
        settings.descriptors > 0 ? settings.descriptors : max_descriptors;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
        count = std::min<std::size_t>(count, limit.rlim_cur);
    return count;
}

http_listener_options listener_options(
    std::shared_ptr<memory_budget> budget, std::size_t max_connections)
{
    http_listener_options options;
    options.pipelined_requests = 16;
    options.max_connections = max_connections;
    options.buffered_bytes = budget->limits().total;
    options.budget = std::move(budget);
    options.receive_buffer_bytes = receive_buffer_bytes;
    return options;
}

// What the memory budget holds and has dropped.
class memory_metrics
{
public:
    memory_metrics(metric_registry& metrics, const memory_budget& budget)
        : budget_(budget)
    {
        for (std::size_t kind = 0; kind < memory_kind_count; ++kind) {
            const auto name = to_string(static_cast<memory_kind>(kind));
            held_.at(kind) = &metrics.add_gauge("filberthub_held_bytes",
                "Bytes held for callers, servers and other instances.",
                {{"kind", std::string(name)}});
        }
        for (std::size_t reason = 0; reason < shed_reason_count; ++reason) {
            const auto name = to_string(static_cast<shed_reason>(reason));
            shed_.at(reason) = &metrics.add_counter("filberthub_shed_total",
                "Connections dropped because they held too much memory.",
                {{"reason", std::string(name)}});
        }
    }

    void update()
    {
        for (std::size_t kind = 0; kind < memory_kind_count; ++kind) {
            held_.at(kind)->set(static_cast<double>(
                budget_.use()[static_cast<memory_kind>(kind)]));
        }
        for (std::size_t reason = 0; reason < shed_reason_count; ++reason) {
            const std::uint64_t count =
                budget_.shed(static_cast<shed_reason>(reason));
            shed_.at(reason)->add(count - shed_.at(reason)->value());
        }
    }

private:
    const memory_budget& budget_;
    std::array<gauge*, memory_kind_count> held_{};
    std::array<counter*, shed_reason_count> shed_{};
};

http_response status_only(int status)
{
    http_response response;
    response.status = status;
    return response;
}

} // namespace

// Owns the components of the process and connects them.
struct router::impl
{
    explicit impl(const route_settings& initial_settings)
        : settings(initial_settings),
          view(settings),
          gates(settings, view, boot_time_now),
          budget(std::make_shared<memory_budget>(
              memory_limits::of_process(settings.memory_bytes))),
          memory(metrics, *budget),
          rejected(metrics),
          failed_callbacks(
              metrics.add_counter("filberthub_failed_callbacks_total",
                  "Events whose handling has failed. Each one is a fault.")),
          connections(descriptor_limits::of_process(descriptors_of(settings))),
          callers(settings, view, gates, metrics, budget, boot_time_now),
          role(
              settings, view, metrics,
              [this] { return callers.take_load_counts(); }, boot_time_now),
          caller_listener(listener_options(budget, connections.callers),
              [this](std::shared_ptr<http_exchange> exchange) {
                  callers.accept(std::move(exchange));
              }),
          readiness_listener(listener_options(budget, connections.readiness),
              [this](const std::shared_ptr<http_exchange>& exchange) {
                  exchange->respond(
                      status_only(view.ready() && !shutdown ? 200 : 503));
              }),
          peer_listener(listener_options(budget, connections.peers),
              [this](std::shared_ptr<http_exchange> exchange) {
                  role.on_poll(std::move(exchange));
              }),
          operator_listener(listener_options(budget, connections.operators),
              [this](const std::shared_ptr<http_exchange>& exchange) {
                  exchange->respond(
                      operator_response(exchange->request().target, settings,
                          view, role, metrics, boot_time_now()));
              })
    {
        view.on_change([this] {
            apply_caller_limits();
            role.on_view_changed();
            callers.on_view_changed();
        });
        role.on_quota([this](const quota_reply& reply, time_point sent) {
            callers.apply_quota(reply, sent);
        });
        QObject::connect(&ticker, &QTimer::timeout, [this] { tick(); });
    }

    void apply_caller_limits()
    {
        const auto routes = view.routes();
        if (!routes || routes == limits_source)
            return;
        limits_source = routes;
        const caller_limits& limits = routes->config().limits;
        caller_listener.set_limits(
            {limits.head_bytes,
                std::min(limits.body_bytes, budget->limits().largest_body())},
            limits.head_timeout, limits.idle_timeout);
    }

    void tick()
    {
        const time_point now = boot_time_now();
        log_tick_delay(now);
        role.tick(now);
        guard_callback(
            "metrics", [&] { sweep(now); }, [] {});
        if (shutdown)
            check_leaving(now);
    }

    void sweep(time_point now)
    {
        if (now >= next_sweep) {
            next_sweep = now + sweep_interval;
            callers.sweep();
            memory.update();
            rejected.update();
            failed_callbacks.add(
                failed_callback_count() - failed_callbacks.value());
        }
        if (now >= next_rotate) {
            next_rotate = now + metric_window;
            metrics.rotate();
        }
    }

    void log_tick_delay(time_point now)
    {
        if (last_tick && now > *last_tick + tick_interval + logged_tick_delay) {
            log_event(log_level::warn, "event loop was delayed",
                {{log_key::duration_ms,
                    std::chrono::duration_cast<milliseconds>(
                        now - *last_tick - tick_interval)
                        .count()}});
        }
        last_tick = now;
    }

    void check_leaving(time_point now)
    {
        if (now >= shutdown->rotation_removal() && !draining) {
            draining = true;
            caller_listener.begin_drain();
        }
        const bool idle =
            callers.in_flight() == 0 && caller_listener.connection_count() == 0;
        const bool time_over = now >= shutdown->end();
        if (time_over && callers.in_flight() > 0) {
            log_event(log_level::warn,
                "requests still open at the end of the shutdown",
                {{"in_flight", callers.in_flight()}});
            // The answers are sent before the next tick ends the process.
            callers.answer_all();
            return;
        }
        if (shutdown->refuses_unsent(now))
            callers.refuse_unsent();
        if ((idle && now >= shutdown->earliest_end()) || time_over) {
            log_event(log_level::info, "stopped", {{"time_over", time_over}});
            ticker.stop();
            on_finished();
        }
    }

    route_settings settings;
    metric_registry metrics;
    deployment_view view;
    gate_service gates;
    std::shared_ptr<memory_budget> budget;
    memory_metrics memory;
    rejected_input_metrics rejected;
    counter& failed_callbacks;
    descriptor_limits connections;
    caller_service callers;
    fleet_role role;
    http_listener caller_listener;
    http_listener readiness_listener;
    http_listener peer_listener;
    http_listener operator_listener;
    std::shared_ptr<const route_table> limits_source;
    QTimer ticker;
    std::optional<time_point> last_tick;
    time_point next_sweep;
    time_point next_rotate = boot_time_now() + metric_window;
    // Set once the process was told to stop.
    std::optional<shutdown_plan> shutdown;
    bool draining = false;
    std::function<void()> on_finished;
};

router::router(const route_settings& settings)
    : impl_(std::make_unique<impl>(settings))
{}

router::~router() = default;

void router::start()
{
    impl& state = *impl_;
    state.caller_listener.listen(state.settings.callers);
    state.readiness_listener.listen(state.settings.readiness);
    state.peer_listener.listen(state.settings.peers);
    state.operator_listener.listen(state.settings.operators);
    state.gates.start();
    state.ticker.start(tick_interval);
    log_event(log_level::info, "started",
        {{log_key::failure_domain, state.settings.domain.value()},
            {log_key::address, to_string(state.settings.callers)},
            {"first_start", state.settings.first_start}});
}

void router::reload(const route_settings& changed)
{
    impl& state = *impl_;
    const bool same_addresses = changed.callers == state.settings.callers &&
                                changed.readiness == state.settings.readiness &&
                                changed.peers == state.settings.peers;
    state.settings.bounds = changed.bounds;
    set_log_level(log_level_from_string(changed.log_level));
    log_event(log_level::info, "settings reloaded",
        {{"addresses_changed", !same_addresses}});
}

void router::leave(std::function<void()> on_finished)
{
    impl& state = *impl_;
    if (state.shutdown)
        return;
    log_event(
        log_level::info, "leaving", {{"in_flight", state.callers.in_flight()}});
    state.shutdown.emplace(boot_time_now(), state.settings.bounds.stop_grace);
    state.callers.begin_shutdown(*state.shutdown);
    state.on_finished = std::move(on_finished);
    state.caller_listener.announce_close();
    state.role.leave();
}

} // namespace filberthub
