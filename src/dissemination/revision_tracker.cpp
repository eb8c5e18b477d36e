#include <filberthub/dissemination/revision_tracker.hpp>

#include <algorithm>

namespace filberthub {

void revision_tracker::handle_announcement(std::vector<pull_target>& result,
    const instance_id& from, const document_id& document, std::uint64_t version,
    time_point now)
{
    if (version == 0)
        return;
    if (documents_.size() >= tracked_service_limit &&
        !documents_.contains(document))
        return;
    tracked_document& tracked = documents_[document];
    if (version <= tracked.known)
        return;
    const bool newer = version > tracked.announced;
    const bool waiting =
        tracked.pulled_at && now - *tracked.pulled_at < pull_timeout;
    if (!newer && waiting)
        return;
    tracked.announced = std::max(tracked.announced, version);
    tracked.pulled_at = now;
    result.push_back({from, document, version});
}

std::vector<pull_target> revision_tracker::merge(const instance_id& from,
    const revision_summary& summary, std::optional<time_point> sent,
    time_point now)
{
    std::vector<pull_target> result;
    handle_announcement(
        result, from, {document_kind::policy, {}}, summary.policy.value(), now);
    handle_announcement(
        result, from, {document_kind::fleet, {}}, summary.fleet.value(), now);
    for (const auto& [service, version] : summary.ownership) {
        handle_announcement(result, from, {document_kind::ownership, service},
            version.value(), now);
    }
    if (summary.store_age && sent)
        on_store_confirmed(*sent - *summary.store_age);
    return result;
}

bool revision_tracker::on_pulled(
    const document_id& document, std::uint64_t version)
{
    tracked_document& tracked = documents_[document];
    if (version <= tracked.known)
        return false;
    tracked.known = version;
    tracked.announced = std::max(tracked.announced, version);
    // If the body is older than the announced version, the pull of the newer
    // version stays open.
    if (tracked.known == tracked.announced)
        tracked.pulled_at.reset();
    return true;
}

void revision_tracker::on_store_confirmed(time_point started)
{
    store_confirmed_at_ =
        store_confirmed_at_ ? std::max(*store_confirmed_at_, started) : started;
}

std::uint64_t revision_tracker::version_of(const document_id& document) const
{
    const auto found = documents_.find(document);
    return found == documents_.end() ? 0 : found->second.known;
}

std::optional<duration> revision_tracker::store_age(time_point now) const
{
    if (!store_confirmed_at_)
        return std::nullopt;
    return now - *store_confirmed_at_;
}

revision_summary revision_tracker::summary(time_point now) const
{
    revision_summary result;
    result.store_age = store_age(now);
    for (const auto& [document, tracked] : documents_) {
        switch (document.kind) {
        case document_kind::policy:
            result.policy = revision(tracked.known);
            break;
        case document_kind::fleet:
            result.fleet = object_version(tracked.known);
            break;
        case document_kind::ownership:
            result.ownership.emplace_back(
                document.service, object_version(tracked.known));
            break;
        }
    }
    return result;
}

bool revision_tracker::is_behind() const
{
    return std::any_of(
        documents_.begin(), documents_.end(), [](const auto& tracked) {
            return tracked.second.announced > tracked.second.known;
        });
}

} // namespace filberthub
