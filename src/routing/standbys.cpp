#include <filberthub/routing/standbys.hpp>

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace filberthub {
namespace {

constexpr std::size_t max_standbys = 3;
constexpr double min_share_fraction = 0.5;

} // namespace

std::vector<instance_id> choose_standbys(
    std::vector<standby_candidate> candidates)
{
    double largest_share = 0;
    for (const standby_candidate& candidate : candidates)
        largest_share = std::max(largest_share, candidate.processor_share);
    std::erase_if(candidates, [&](const standby_candidate& candidate) {
        return candidate.processor_share < largest_share * min_share_fraction;
    });
    const auto order = [](const standby_candidate& candidate) {
        const std::string& id = candidate.id.value();
        return std::make_tuple(XXH3_64bits(id.data(), id.size()), id);
    };
    std::sort(candidates.begin(), candidates.end(),
        [&](const standby_candidate& left, const standby_candidate& right) {
            return order(left) < order(right);
        });
    if (candidates.size() > max_standbys)
        candidates.resize(max_standbys);
    std::vector<instance_id> standbys;
    standbys.reserve(candidates.size());
    for (const standby_candidate& candidate : candidates)
        standbys.push_back(candidate.id);
    return standbys;
}

} // namespace filberthub
