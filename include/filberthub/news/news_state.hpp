// The revisions of shared documents that this instance knows, and what it has
// to pull.
//
//     for (const pull_target& item : news.merge(from, summary, sent))
//     pull(item); news.on_pulled({document_kind::fleet, {}}, version);

#ifndef FILBERTHUB_NEWS_NEWS_STATE_HPP
#define FILBERTHUB_NEWS_NEWS_STATE_HPP

#include <filberthub/base/revision_summary.hpp>
#include <filberthub/base/types.hpp>

#include <map>
#include <optional>
#include <vector>

namespace filberthub {

// Instances that watch the store, counted by rank.
inline constexpr std::size_t watcher_count = 3;
// Time after which an unanswered pull is repeated.
inline constexpr duration pull_timeout = milliseconds(250);
// Bound on the services whose ownership tables are followed.
inline constexpr std::size_t followed_service_limit = 1024;

enum class document_kind : std::uint8_t
{
    policy,
    fleet,
    ownership,
};

// A document in the store. `service` is empty unless it is an ownership table.
struct document_id
{
    document_kind kind = document_kind::policy;
    service_id service;

    // clang-tidy 14 takes the 0 of a generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const document_id&) const = default;
};

// A document to be pulled from an instance that has `version` of it.
struct pull_target
{
    instance_id from;
    document_id document;
    std::uint64_t version = 0;

    bool operator==(const pull_target&) const = default;
};

// Guarantees that a version never goes back, and that a document is pulled from
// one instance at a time. A version becomes known once its body has arrived.
class news_state
{
public:
    // Takes the summary of another instance. `sent` is a local time at which it
    // was not yet made: for an ack, the sending time of the heartbeat. Without
    // it the store age is ignored, as the time on the way is unknown. Returns
    // the documents to be pulled from `from`.
    std::vector<pull_target> merge(const instance_id& from,
        const revision_summary& summary, std::optional<time_point> sent,
        time_point now);

    // To be called when a body has arrived, from a peer or the store. Returns
    // whether the version is newer than the known one; the caller then puts the
    // body in force.
    bool on_pulled(const document_id& document, std::uint64_t version);

    // To be called after a read of all documents that this instance watches in
    // the store, with the time at which it started.
    void on_store_confirmed(time_point started);

    std::uint64_t version_of(const document_id& document) const;

    // Returns the time since the store confirmed the revisions to any
    // instance from which this one heard; empty if it never did.
    std::optional<duration> store_age(time_point now) const;

    // Returns what heartbeats and acks carry.
    revision_summary summary(time_point now) const;

    // Whether another instance announced a version whose body is missing.
    bool is_behind() const;

private:
    struct followed
    {
        std::uint64_t known = 0;
        std::uint64_t announced = 0;
        std::optional<time_point> pulled_at;
    };

    void announce(std::vector<pull_target>& result, const instance_id& from,
        const document_id& document, std::uint64_t version, time_point now);

    std::map<document_id, followed> documents_;
    std::optional<time_point> confirmed_;
};

// Whether the instance of rank `rank` (0 is the lowest) watches the store. With
// `unreachable` lower-ranked instances, for which there is no evidence, the
// next ones take over.
constexpr bool watches_store(std::size_t rank, std::size_t unreachable = 0)
{
    return rank < watcher_count + unreachable;
}

} // namespace filberthub

#endif
