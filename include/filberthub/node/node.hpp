// Runs one instance of filberthub: opens its listeners, joins the fleet, routes
// requests and leaves.
//
//     node instance(settings::from_text(text));
//     instance.start();
//     application.exec();

#ifndef FILBERTHUB_NODE_NODE_HPP
#define FILBERTHUB_NODE_NODE_HPP

#include <filberthub/policy/settings.hpp>

#include <functional>
#include <memory>

namespace filberthub {

// One instance process. `start` either opens all listeners or throws `error` of
// kind `bad_settings`. An instance whose lease lapsed joins again in the same
// process under a new incarnation.
class node
{
public:
    explicit node(const settings& config);
    ~node();

    // Opens the listeners and begins to join the fleet. Call once, before the
    // Qt event loop runs.
    void start();

    // Leaves the fleet: stops accepting callers, finishes the requests in
    // progress and hands over the held servers. Calls `on_left` when the
    // process may end, which takes at most about 20 s. Further calls have no
    // effect.
    void leave(std::function<void()> on_left);

    // Sets a callback for each time that the lease lapsed and the instance
    // joined again under a new incarnation.
    void on_lapsed(std::function<void()> callback);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace filberthub

#endif
