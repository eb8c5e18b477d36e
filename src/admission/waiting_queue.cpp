#include <filberthub/admission/waiting_queue.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr auto rescue_index = static_cast<std::size_t>(priority::rescue);
constexpr auto edit_index = static_cast<std::size_t>(priority::edit);

bool later_deadline(const gate_request& left, const gate_request& right)
{
    return left.deadline > right.deadline;
}

} // namespace

waiting_queue::waiting_queue(std::size_t bound) : bound_(bound) {}

std::size_t waiting_queue::reserved(std::size_t level) const
{
    return level >= edit_index ? std::max<std::size_t>(1, bound_ / 8) : 0;
}

std::optional<std::size_t> waiting_queue::displaced_class(
    std::size_t level) const
{
    const bool within_own = waiting_.at(level).size() < reserved(level);
    for (std::size_t other = priority_count; other-- > 0;) {
        if (other == level || other == rescue_index)
            continue;
        if (other < level && !within_own)
            continue;
        if (waiting_.at(other).size() > reserved(other))
            return other;
    }
    return std::nullopt;
}

waiting_queue::push_result waiting_queue::push(const gate_request& request)
{
    push_result result;
    const std::size_t level = index(request.level);
    if (size_ >= bound_) {
        const auto other = displaced_class(level);
        if (!other)
            return result;
        auto& victims = waiting_.at(*other);
        result.displaced = victims.front();
        victims.erase(victims.begin());
        --size_;
    }
    auto& requests = waiting_.at(level);
    if (requests.empty())
        passed_.at(level) = 0;
    // Equal deadlines keep the order of arrival: the later one goes in front.
    requests.insert(std::lower_bound(requests.begin(), requests.end(), request,
                        later_deadline),
        request);
    ++size_;
    result.accepted = true;
    return result;
}

gate_request waiting_queue::take(std::size_t level)
{
    const gate_request next = waiting_.at(level).back();
    waiting_.at(level).pop_back();
    --size_;
    for (unsigned& count : passed_)
        ++count;
    passed_.at(level) = 0;
    return next;
}

std::optional<gate_request> waiting_queue::pop(bool rescue_only)
{
    const bool rescue_waits = !waiting_.at(rescue_index).empty();
    const unsigned allowed = rescue_waits ? rescue_turn : turn;
    if (!rescue_only) {
        for (std::size_t level = priority_count; level-- > edit_index;) {
            if (!waiting_.at(level).empty() && passed_.at(level) >= allowed)
                return take(level);
        }
    }
    const std::size_t levels = rescue_only ? 1 : priority_count;
    for (std::size_t level = 0; level < levels; ++level) {
        if (!waiting_.at(level).empty())
            return take(level);
    }
    return std::nullopt;
}

std::optional<gate_request> waiting_queue::remove(request_number number)
{
    for (auto& requests : waiting_) {
        const auto found = std::find_if(requests.begin(), requests.end(),
            [&](const auto& request) { return request.number == number; });
        if (found == requests.end())
            continue;
        const gate_request result = *found;
        requests.erase(found);
        --size_;
        return result;
    }
    return std::nullopt;
}

std::vector<gate_request> waiting_queue::remove_due(time_point time)
{
    std::vector<gate_request> due;
    for (auto& requests : waiting_) {
        while (!requests.empty() && requests.back().deadline < time) {
            due.push_back(requests.back());
            requests.pop_back();
            --size_;
        }
    }
    return due;
}

std::vector<gate_request> waiting_queue::remove_all()
{
    std::vector<gate_request> all;
    for (auto& requests : waiting_) {
        all.insert(all.end(), requests.rbegin(), requests.rend());
        requests.clear();
    }
    size_ = 0;
    return all;
}

std::size_t waiting_queue::ahead_of(const gate_request& request) const
{
    const std::size_t level = index(request.level);
    const auto& same = waiting_.at(level);
    const auto earlier = static_cast<std::size_t>(
        same.end() -
        std::lower_bound(same.begin(), same.end(), request, later_deadline));
    std::size_t higher = 0;
    for (std::size_t other = 0; other < level; ++other)
        higher += waiting_.at(other).size();
    if (level >= edit_index)
        higher = std::min(higher, (earlier + 1) * turn);
    return higher + earlier;
}

} // namespace filberthub
