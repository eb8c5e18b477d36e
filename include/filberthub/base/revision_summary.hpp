// The revisions that an instance knows. Heartbeats and their acknowledgments
// carry them, so that a peer notices which of its objects are out of date.
//
//     message.known = revisions.summary(now);

#ifndef FILBERTHUB_BASE_REVISION_SUMMARY_HPP
#define FILBERTHUB_BASE_REVISION_SUMMARY_HPP

#include <filberthub/base/types.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace filberthub {

// The latest revision of each replicated object that one instance knows.
struct revision_summary
{
    // Revision of the policy root.
    revision policy;
    // Version of the fleet table of the region.
    object_version fleet;
    // Version of the ownership table of each service, ordered by service.
    std::vector<std::pair<service_id, object_version>> ownership;
    // Time since the store last confirmed these revisions to any of the
    // instances that relayed them. It is an interval, because clocks of two
    // instances are never compared. Empty if they were never confirmed.
    std::optional<duration> store_age;

    bool operator==(const revision_summary&) const = default;
};

} // namespace filberthub

#endif
