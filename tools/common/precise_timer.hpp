// A single-shot timer on the Qt event loop with the resolution of the kernel.
// QTimer rounds to milliseconds, which is too coarse for short service times
// and for the interarrival times of a load generator.
//
//     precise_timer timer([&] { advance(); });
//     timer.start(now + duration(250'000));

#ifndef FILBERTHUB_TOOLS_COMMON_PRECISE_TIMER_HPP
#define FILBERTHUB_TOOLS_COMMON_PRECISE_TIMER_HPP

#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>

#include <QtCore/QSocketNotifier>

#include <functional>
#include <memory>

#include <sys/timerfd.h>
#include <unistd.h>

namespace filberthub::tools {

// Calls back at most once for each `start`, on the thread of the event loop and
// never before the given time.
class precise_timer
{
public:
    explicit precise_timer(std::function<void()> callback)
        : callback_(std::move(callback)),
          descriptor_(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK))
    {
        if (descriptor_ < 0)
            throw error(error_kind::internal, "timerfd_create failed");
        notifier_ = std::make_unique<QSocketNotifier>(
            descriptor_, QSocketNotifier::Read);
        QObject::connect(notifier_.get(), &QSocketNotifier::activated, [this] {
            std::uint64_t expirations = 0;
            if (::read(descriptor_, &expirations, sizeof expirations) > 0)
                callback_();
        });
    }

    ~precise_timer()
    {
        notifier_.reset();
        ::close(descriptor_);
    }

    precise_timer(const precise_timer&) = delete;
    precise_timer& operator=(const precise_timer&) = delete;

    // Sets the time of the next call and replaces an earlier one. With a time
    // in the past, the call follows in the next iteration of the event loop.
    void start(time_point when)
    {
        // timerfd_settime takes 0 as a request to disarm the timer.
        const std::int64_t count =
            std::max<std::int64_t>(when.time_since_epoch().count(), 1);
        set(count);
    }

    // Cancels the next call.
    void stop()
    {
        set(0);
    }

private:
    void set(std::int64_t nanoseconds)
    {
        constexpr std::int64_t second = 1'000'000'000;
        itimerspec value{};
        value.it_value.tv_sec = nanoseconds / second;
        value.it_value.tv_nsec = nanoseconds % second;
        ::timerfd_settime(descriptor_, TFD_TIMER_ABSTIME, &value, nullptr);
    }

    std::function<void()> callback_;
    int descriptor_;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace filberthub::tools

#endif
