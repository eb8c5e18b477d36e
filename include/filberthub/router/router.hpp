// The routing process for a platform that keeps the deployment in its metadata
// store.
//
//     router instance(route_settings::from_text(text));
//     instance.start();
//     application.exec();

#ifndef FILBERTHUB_ROUTER_ROUTER_HPP
#define FILBERTHUB_ROUTER_ROUTER_HPP

#include <filberthub/router/route_settings.hpp>

#include <functional>
#include <memory>

namespace filberthub {

// Routes the requests of callers to backend servers and takes part in the
// coordination of the fleet. Needs a running Qt event loop.
class router
{
public:
    explicit router(const route_settings& settings);
    ~router();

    // Opens all listeners and starts to serve, or throws `error` of kind
    // `bad_settings` if an address cannot be used.
    void start();

    // Applies the settings that may change while the process runs, such as the
    // log level. A change of an address needs a restart and is only logged.
    void reload(const route_settings& changed);

    // Reports the process as not ready, serves the requests that still arrive,
    // and calls `on_finished` when the process may exit, within the grace
    // period of the platform. Further calls have no effect.
    void leave(std::function<void()> on_finished);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace filberthub

#endif
