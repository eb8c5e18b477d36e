// One instance of filberthub at run time.
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

// Guarantees that nothing is half started: `start` either opens all listeners
// or throws `error` of kind `bad_settings`.
class node
{
public:
    explicit node(const settings& own);
    ~node();

    // Opens the listeners and joins the fleet. Needs the Qt event loop.
    void start();

    // Leaves: stops accepting, finishes what is in progress, hands over what is
    // held. `left` is called when the process may end.
    void leave(std::function<void()> left);

    // Called when the lease has lapsed. The process has to be replaced by a new
    // incarnation, which is a new `node`.
    void on_lapsed(std::function<void()> callback);

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace filberthub

#endif
