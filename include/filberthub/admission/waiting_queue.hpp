// A bounded priority queue of requests that wait for a slot of one backend
// server.
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

// Identifies a request at one gate. The holder never reuses a number.
using request_number = strong_number<struct request_number_tag, std::uint64_t>;

// The properties of a request that a gate uses.
struct gate_request
{
    request_number number;
    priority level = priority::interactive;
    time_point deadline;
};

// Orders requests by priority, and by deadline within a priority.
//
// Guarantees that a waiting edit or bulk request does not starve. While no
// rescue request waits, at most `max_passes` + 1 requests of other classes are
// admitted before one of a waiting class edit or bulk; in any case at most
// `max_passes_by_rescue` + 1. Edit and bulk each have an eighth of the capacity
// reserved, from which other classes cannot displace them. A constant stream of
// reads thus neither starves nor displaces the upload of a scan.
class waiting_queue
{
public:
    static constexpr unsigned max_passes = 16;
    static constexpr unsigned max_passes_by_rescue = 64;

    // `capacity` is the maximum number of waiting requests.
    explicit waiting_queue(std::size_t capacity);

    // The result of adding a request.
    struct push_result
    {
        bool accepted = false;
        // The request that was removed to make room.
        std::optional<gate_request> displaced;
    };

    // Adds a request. If the queue is full, removes the request with the latest
    // deadline of another class: the lowest one that exceeds its reservation. A
    // higher class gives way only to a class that is below its reservation, and
    // rescue requests are never removed.
    push_result push(const gate_request& request);

    // Removes and returns the next request, or nothing if there is none. With
    // `rescue_only`, only rescue requests are considered.
    std::optional<gate_request> pop(bool rescue_only = false);

    // Removes and returns the request with this number, if it is in the queue.
    std::optional<gate_request> remove(request_number number);

    // Removes and returns all requests whose deadline is before `time`.
    std::vector<gate_request> remove_expired(time_point time);

    // Removes and returns all requests.
    std::vector<gate_request> remove_all();

    // Returns the number of requests that would be admitted before `request` if
    // it were added now.
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

    // Returns the number of places reserved for a class.
    std::size_t reserved(std::size_t level) const;
    std::optional<std::size_t> find_displaceable_class(std::size_t level) const;
    gate_request pop_from(std::size_t level);

    std::size_t capacity_;
    std::size_t size_ = 0;
    // The requests of each class, sorted by descending deadline, so that the
    // next one is last.
    std::array<std::vector<gate_request>, priority_count> waiting_;
    // Number of admissions of other classes since the last one of each class.
    std::array<unsigned, priority_count> passes_{};
};

} // namespace filberthub

#endif
