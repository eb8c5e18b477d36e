// Runs the Qt event loop in tests until a condition holds.

#ifndef FILBERTHUB_TEST_NET_LOOP_HPP
#define FILBERTHUB_TEST_NET_LOOP_HPP

#include <filberthub/base/types.hpp>

#include <QtCore/QCoreApplication>
#include <QtCore/QEventLoop>

#include <functional>

namespace filberthub::test {

// Processes events until `condition` is true. Returns false if it is still
// false after `limit`.
inline bool run_until(const std::function<bool()>& condition,
    milliseconds limit = milliseconds(10'000))
{
    const time_point end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return true;
}

} // namespace filberthub::test

#endif
