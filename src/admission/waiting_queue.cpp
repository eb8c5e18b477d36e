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

waiting_queue::waiting_queue(std::size_t capacity) : capacity_(capacity) {}

std::size_t waiting_queue::reserved(std::size_t level) const
{
    return level >= edit_index ? std::max<std::size_t>(1, capacity_ / 8) : 0;
}

std::optional<std::size_t> waiting_queue::find_displaceable_class(
    std::size_t level) const
{
    const bool below_reserve = waiting_.at(level).size() < reserved(level);
    for (std::size_t other_level = priority_count; other_level-- > 0;) {
        if (other_level == level || other_level == rescue_index)
            continue;
        if (other_level < level && !below_reserve)
            continue;
        if (waiting_.at(other_level).size() > reserved(other_level))
            return other_level;
    }
    return std::nullopt;
}

waiting_queue::push_result waiting_queue::push(const gate_request& request)
{
    push_result result;
    const std::size_t level = index(request.level);
    if (size_ >= capacity_) {
        const auto displaced_level = find_displaceable_class(level);
        if (!displaced_level)
            return result;
        auto& victims = waiting_.at(*displaced_level);
        result.displaced = victims.front();
        victims.erase(victims.begin());
        --size_;
    }
    auto& requests = waiting_.at(level);
    if (requests.empty())
        passes_.at(level) = 0;
    // Requests with equal deadlines keep the order of arrival: the later one is
    // inserted in front and removed last.
    requests.insert(std::lower_bound(requests.begin(), requests.end(), request,
                        later_deadline),
        request);
    ++size_;
    result.accepted = true;
    return result;
}

gate_request waiting_queue::pop_from(std::size_t level)
{
    const gate_request next = waiting_.at(level).back();
    waiting_.at(level).pop_back();
    --size_;
    for (unsigned& count : passes_)
        ++count;
    passes_.at(level) = 0;
    return next;
}

std::optional<gate_request> waiting_queue::pop(bool rescue_only)
{
    const bool rescue_waits = !waiting_.at(rescue_index).empty();
    const unsigned allowed = rescue_waits ? max_passes_by_rescue : max_passes;
    if (!rescue_only) {
        for (std::size_t level = priority_count; level-- > edit_index;) {
            if (!waiting_.at(level).empty() && passes_.at(level) >= allowed)
                return pop_from(level);
        }
    }
    const std::size_t levels = rescue_only ? 1 : priority_count;
    for (std::size_t level = 0; level < levels; ++level) {
        if (!waiting_.at(level).empty())
            return pop_from(level);
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

std::vector<gate_request> waiting_queue::remove_expired(time_point time)
{
    std::vector<gate_request> expired;
    for (auto& requests : waiting_) {
        while (!requests.empty() && requests.back().deadline < time) {
            expired.push_back(requests.back());
            requests.pop_back();
            --size_;
        }
    }
    return expired;
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
    const auto& same_level = waiting_.at(level);
    const auto earlier = static_cast<std::size_t>(
        same_level.end() - std::lower_bound(same_level.begin(),
                               same_level.end(), request, later_deadline));
    std::size_t higher_levels = 0;
    for (std::size_t other_level = 0; other_level < level; ++other_level)
        higher_levels += waiting_.at(other_level).size();
    if (level >= edit_index)
        higher_levels = std::min(higher_levels, (earlier + 1) * max_passes);
    return higher_levels + earlier;
}

} // namespace filberthub
