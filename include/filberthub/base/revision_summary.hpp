// The revisions that an instance knows. Heartbeats and their acks carry it.
//
//     message.known = news.summary(now);

#ifndef FILBERTHUB_BASE_REVISION_SUMMARY_HPP
#define FILBERTHUB_BASE_REVISION_SUMMARY_HPP

#include <filberthub/base/types.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace filberthub {

struct revision_summary
{
    // Revision of the policy root.
    revision policy;
    // Version of the fleet table of the region.
    object_version fleet;
    // Version of the ownership table of each service, ordered by service.
    std::vector<std::pair<service_id, object_version>> ownership;
    // Time since the store last confirmed these revisions to any instance that
    // the news came through. It is an interval, because clocks of two
    // instances are never compared. Empty if it was never confirmed.
    std::optional<duration> store_age;

    bool operator==(const revision_summary&) const = default;
};

} // namespace filberthub

#endif
