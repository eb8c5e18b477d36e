// Time bounds that depend on the number of instances, in one place, because
// each has to exceed another. Internal to `router`.
//
//     milliseconds wait = fleet_timing(members).poll_wait();

#ifndef FILBERTHUB_ROUTER_FLEET_TIMING_HPP
#define FILBERTHUB_ROUTER_FLEET_TIMING_HPP

#include <filberthub/base/types.hpp>

#include <algorithm>
#include <cstddef>

namespace filberthub {

// Guarantees, for each number of instances:
// - `poll_timeout`, `member_timeout` and `takeover` exceed `poll_wait` by more
//   than a busy coordinator needs for a reply;
// - the coordinator answers at most about 250 polls/s without changes up to 375
//   instances, and one per `poll_wait` and instance above;
// - `max_view_age` stays below 3 s, the bound of the largest deployments for
//   changes to arrive.
class fleet_timing
{
public:
    explicit fleet_timing(std::size_t instances)
        : fleet_timing(std::clamp(
              poll_wait_per_instance *
                  static_cast<long>(std::min(instances, max_instances)),
              min_poll_wait, max_poll_wait))
    {}

    // The bounds that follow from the waiting time that a coordinator
    // announces.
    explicit fleet_timing(milliseconds poll_wait)
        : poll_wait_(std::clamp(poll_wait, min_poll_wait, max_poll_wait))
    {}

    // How long the coordinator keeps a poll open without changes.
    milliseconds poll_wait() const
    {
        return poll_wait_;
    }
    // How long an instance waits for the answer to its poll.
    milliseconds poll_timeout() const
    {
        return poll_wait_ + reply_time_;
    }
    // An instance that has not polled for this time is regarded as gone.
    milliseconds member_timeout() const
    {
        return poll_wait_ + milliseconds(1'100);
    }
    // Time without an answer of the coordinator after which another instance
    // takes over, if the lease is not renewed either.
    milliseconds takeover() const
    {
        return poll_timeout() + milliseconds(200);
    }
    // After this age of its view an instance reads the store itself.
    milliseconds max_view_age() const
    {
        return poll_wait_ + milliseconds(1'150);
    }

    // The bounds of a standby, which replaces a lost coordinator before the
    // grants of keys end, whatever the size of the fleet.
    static fleet_timing standby()
    {
        return fleet_timing(standby_tag{});
    }
    // Delay of a takeover by the standby of this rank, from 0, so that standbys
    // do not write the lease at the same time.
    static milliseconds standby_delay(std::size_t rank)
    {
        return milliseconds(200) * static_cast<long>(std::min(rank, max_rank));
    }

    // Time for which changes are gathered before they are sent to all
    // instances, as each instance costs a reply.
    static milliseconds flush_delay(std::size_t instances)
    {
        return std::clamp(milliseconds(1) * static_cast<long>(std::min(
                                                instances, max_instances)),
            milliseconds(3), milliseconds(300));
    }

    // Time for which the coordinator gathers answers of servers before the next
    // commands follow from them, because that work grows with the number of key
    // ranges.
    static milliseconds answer_delay(std::size_t ranges)
    {
        return std::min(std::chrono::duration_cast<milliseconds>(
                            answer_delay_per_range *
                            static_cast<long>(std::min(ranges, max_ranges))),
            max_answer_delay);
    }

private:
    struct standby_tag
    {};

    explicit fleet_timing(standby_tag)
        : poll_wait_(standby_poll_wait), reply_time_(standby_reply_time)
    {}

    static constexpr std::chrono::microseconds answer_delay_per_range{30};
    static constexpr milliseconds max_answer_delay{50};
    static constexpr std::size_t max_ranges = 1'000'000;
    static constexpr milliseconds min_poll_wait{400};
    static constexpr milliseconds poll_wait_per_instance{4};
    static constexpr milliseconds max_poll_wait{1'500};
    static constexpr std::size_t max_instances = 1'000'000;
    static constexpr milliseconds standby_poll_wait{300};
    static constexpr milliseconds standby_reply_time{500};
    static constexpr std::size_t max_rank = 100;

    milliseconds poll_wait_;
    // Time that a reply may take beyond `poll_wait_`.
    milliseconds reply_time_{600};
};

} // namespace filberthub

#endif
