#include <filberthub/routing/descriptor_limits.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// The platform reserves these for files.
constexpr std::size_t reserved_descriptors = 200;
// With fewer, a process could not reach its servers and the other instances.
constexpr std::size_t min_shared_descriptors = 64;

} // namespace

descriptor_limits descriptor_limits::of_process(std::size_t descriptors)
{
    const std::size_t shared =
        std::max(descriptors - std::min(descriptors, reserved_descriptors),
            min_shared_descriptors);
    return {shared / 2, shared / 4, shared / 32, shared / 32};
}

std::optional<std::size_t> connection_to_close(
    const std::vector<connection_activity>& connections)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        const connection_activity& candidate = connections.at(index);
        if (!candidate.serving &&
            (!best || candidate.progress < connections.at(*best).progress))
            best = index;
    }
    return best;
}

} // namespace filberthub
