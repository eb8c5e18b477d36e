// The bounded queue of requests that wait for a slot of one backend server.
//
//     waiting_queue queue(64);
//     auto pushed = queue.push({number, priority::edit, deadline});
//     auto next = queue.pop();

#ifndef FILBERTHUB_ADMISSION_WAITING_QUEUE_HPP
#define FILBERTHUB_ADMISSION_WAITING_QUEUE_HPP

#include <filberthub/base/types.hpp>

#include <array>
#include <optional>
#include <vector>

namespace filberthub {

// Number of a request at one gate. The holder never reuses one.
using request_number = strong_number<struct request_number_tag, std::uint64_t>;

// A request as the gate sees it.
struct gate_request
{
    request_number number;
    priority level = priority::interactive;
    time_point deadline;
};

// Orders by priority, and by deadline within a priority.
//
// A waiting class edit or bulk is passed by at most `turn` + 1 admissions of
// other classes while no rescue request waits, and by at most `rescue_turn` + 1
// in any case. Edit and bulk each own an eighth of the places, which other
// classes cannot displace. So a constant stream of reads neither starves nor
// displaces the upload of a scan.
class waiting_queue
{
public:
    static constexpr unsigned turn = 16;
    static constexpr unsigned rescue_turn = 64;

    explicit waiting_queue(std::size_t bound);

    struct push_result
    {
        bool accepted = false;
        // The request which gave up its place.
        std::optional<gate_request> displaced;
    };

    // Adds a request. If the queue is full, the request with the latest
    // deadline of a lower class gives up its place.
    push_result push(const gate_request& request);

    // Removes the request that is next in order. With `rescue_only`, nothing
    // but a rescue request is returned.
    std::optional<gate_request> pop(bool rescue_only = false);

    // Removes the request with this number.
    std::optional<gate_request> remove(request_number number);

    // Removes all requests whose deadline is before `time`.
    std::vector<gate_request> remove_due(time_point time);

    std::vector<gate_request> remove_all();

    // Number of admissions before a request that would be added now.
    std::size_t ahead_of(const gate_request& request) const;

    std::size_t size() const
    {
        return size_;
    }

    std::size_t size(priority level) const
    {
        return waiting_.at(index(level)).size();
    }

private:
    static std::size_t index(priority level)
    {
        return static_cast<std::size_t>(level);
    }

    std::size_t reserved(std::size_t level) const;
    std::optional<std::size_t> displaced_class(std::size_t level) const;
    gate_request take(std::size_t level);

    std::size_t bound_;
    std::size_t size_ = 0;
    // Each class is sorted by descending deadline; the next one is last.
    std::array<std::vector<gate_request>, priority_count> waiting_;
    // Admissions of other classes since the class had its last one.
    std::array<unsigned, priority_count> passed_{};
};

} // namespace filberthub

#endif
