#include <filberthub/net/answer_budget.hpp>

#include <algorithm>

namespace filberthub {

void answer_budget::set(
    holder owner, std::size_t bytes, std::function<void()> drop)
{
    remove(owner);
    shares_[owner] = {bytes, std::move(drop)};
    total_ += bytes;
    while (total_ > limit_ && !shares_.empty()) {
        const auto largest = std::max_element(shares_.begin(), shares_.end(),
            [](const auto& left, const auto& right) {
                return left.second.bytes < right.second.bytes;
            });
        const std::function<void()> drop_largest =
            std::move(largest->second.drop);
        remove(largest->first);
        drop_largest();
    }
}

void answer_budget::remove(holder owner)
{
    const auto found = shares_.find(owner);
    if (found == shares_.end())
        return;
    total_ -= found->second.bytes;
    shares_.erase(found);
}

} // namespace filberthub
