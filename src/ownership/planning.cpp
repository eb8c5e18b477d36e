#include <filberthub/ownership/planning.hpp>

#include <limits>

namespace filberthub {

double group_weights::at(key_group group) const
{
    if (group.value() < common_.size())
        return common_[group.value()];
    const auto found = isolated_.find(group);
    return found == isolated_.end() ? 0 : found->second;
}

void group_weights::set(key_group group, double weight)
{
    if (group.value() < common_.size())
        common_[group.value()] = weight;
    else
        isolated_[group] = weight;
}

double plan_result::churn_ratio() const
{
    if (moves.empty())
        return 1;
    if (min_moves == 0)
        return std::numeric_limits<double>::infinity();
    return static_cast<double>(moves.size()) / static_cast<double>(min_moves);
}

} // namespace filberthub
