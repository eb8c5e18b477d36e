// Tracks the revisions of shared documents that this instance knows, and the
// documents that it has to pull.
//
//     for (const pull_target& target : tracker.merge(from, summary, sent, now))
//         pull(target);
//     tracker.on_pulled({document_kind::fleet, {}}, version);

#ifndef FILBERTHUB_DISSEMINATION_REVISION_TRACKER_HPP
#define FILBERTHUB_DISSEMINATION_REVISION_TRACKER_HPP

#include <filberthub/base/revision_summary.hpp>
#include <filberthub/base/types.hpp>

#include <map>
#include <optional>
#include <vector>

namespace filberthub {

// Number of instances, lowest rank first, that watch the store.
inline constexpr std::size_t watcher_count = 3;
// Time after which an unanswered pull is repeated.
inline constexpr duration pull_timeout = milliseconds(250);
// Maximum number of documents that are tracked: announcements of further ones,
// which are ownership tables of services, are ignored.
inline constexpr std::size_t tracked_service_limit = 1024;

enum class document_kind : std::uint8_t
{
    policy,
    fleet,
    ownership,
};

// A document in the store. `service` is empty unless the document is an
// ownership table.
struct document_id
{
    document_kind kind = document_kind::policy;
    service_id service;

    // clang-tidy 14 takes the 0 of a generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const document_id&) const = default;
};

// A document to be pulled from an instance that has its version `version`.
struct pull_target
{
    instance_id from;
    document_id document;
    std::uint64_t version = 0;

    bool operator==(const pull_target&) const = default;
};

// Guarantees that a known version never decreases, and that a version of a
// document is pulled from one instance at a time. A version becomes known when
// its body has arrived.
class revision_tracker
{
public:
    // Handles the summary of another instance and returns the documents to be
    // pulled from it. `sent` is a local time before the summary was made: for
    // an ack, the sending time of the heartbeat. Without it the store age is
    // ignored, because the transit time is unknown.
    std::vector<pull_target> merge(const instance_id& from,
        const revision_summary& summary, std::optional<time_point> sent,
        time_point now);

    // Call when a body has arrived from a peer or the store. Returns whether
    // the version is newer than the known one; the caller then puts the body in
    // force.
    bool on_pulled(const document_id& document, std::uint64_t version);

    // Call after a read of all documents that this instance watches in the
    // store, with the time at which the read started.
    void on_store_confirmed(time_point started);

    // Returns the known version of `document`; 0 if there is none.
    std::uint64_t version_of(const document_id& document) const;

    // Returns the time since the last known confirmation of the revisions by
    // the store, to this instance or to one whose summary it received; empty if
    // there was none.
    std::optional<duration> store_age(time_point now) const;

    // Returns the summary for heartbeats and acks.
    revision_summary summary(time_point now) const;

    // Returns whether another instance announced a version whose body is
    // missing.
    bool is_behind() const;

private:
    struct tracked_document
    {
        // Newest version whose body has arrived.
        std::uint64_t known = 0;
        // Newest version that an instance announced.
        std::uint64_t announced = 0;
        // Start of the open pull.
        std::optional<time_point> pulled_at;
    };

    void handle_announcement(std::vector<pull_target>& result,
        const instance_id& from, const document_id& document,
        std::uint64_t version, time_point now);

    std::map<document_id, tracked_document> documents_;
    std::optional<time_point> store_confirmed_at_;
};

// Returns whether the instance of rank `rank` (0 is the lowest) watches the
// store. If there is no evidence that `unreachable` instances of lower rank are
// reachable, as many instances of the next ranks watch in their place.
constexpr bool watches_store(std::size_t rank, std::size_t unreachable = 0)
{
    return rank < watcher_count + unreachable;
}

} // namespace filberthub

#endif
