// Guards callbacks of calls that may outlive the object that made them.
//
//     store->get(name, while_alive(this, [this](const store_reply& reply) {
//         on_reply(reply);
//     }));

#ifndef FILBERTHUB_NODE_WHILE_ALIVE_HPP
#define FILBERTHUB_NODE_WHILE_ALIVE_HPP

#include <QtCore/QPointer>

#include <utility>

namespace filberthub {

// Returns a callback that does nothing once `owner` is destroyed. An instance
// that joins again replaces its services while calls to the store are pending.
template <class Callback>
auto while_alive(QObject* owner, Callback callback)
{
    return [alive = QPointer<QObject>(owner), callback = std::move(callback)](
               auto&&... values) mutable {
        if (alive)
            callback(std::forward<decltype(values)>(values)...);
    };
}

} // namespace filberthub

#endif
