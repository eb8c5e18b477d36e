// The routing process on a platform that keeps the deployment in its store.
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

// Guarantees that nothing is half started: `start` either opens all listeners
// or throws `error` of kind `bad_settings`. Needs the Qt event loop.
class router
{
public:
    explicit router(const route_settings& settings);
    ~router();

    void start();

    // Takes what may change while the process runs: the log level. Changes of
    // addresses need a restart and are logged.
    void reload(const route_settings& changed);

    // Reports not ready, serves what still arrives, and calls `left` when the
    // process may end, within the platform's grace.
    void leave(std::function<void()> left);

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace filberthub

#endif
