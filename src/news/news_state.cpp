#include <filberthub/news/news_state.hpp>

#include <algorithm>

namespace filberthub {

void news_state::announce(std::vector<pull_target>& result,
    const instance_id& from, const document_id& document, std::uint64_t version,
    time_point now)
{
    if (version == 0)
        return;
    if (documents_.size() >= followed_service_limit &&
        !documents_.contains(document))
        return;
    followed& item = documents_[document];
    if (version <= item.known)
        return;
    const bool newer = version > item.announced;
    const bool waiting = item.pulled_at && now - *item.pulled_at < pull_timeout;
    if (!newer && waiting)
        return;
    item.announced = std::max(item.announced, version);
    item.pulled_at = now;
    result.push_back({from, document, version});
}

std::vector<pull_target> news_state::merge(const instance_id& from,
    const revision_summary& summary, std::optional<time_point> sent,
    time_point now)
{
    std::vector<pull_target> result;
    announce(
        result, from, {document_kind::policy, {}}, summary.policy.value(), now);
    announce(
        result, from, {document_kind::fleet, {}}, summary.fleet.value(), now);
    for (const auto& [service, version] : summary.ownership) {
        announce(result, from, {document_kind::ownership, service},
            version.value(), now);
    }
    if (summary.store_age && sent)
        on_store_confirmed(*sent - *summary.store_age);
    return result;
}

bool news_state::on_pulled(const document_id& document, std::uint64_t version)
{
    followed& item = documents_[document];
    if (version <= item.known)
        return false;
    item.known = version;
    item.announced = std::max(item.announced, version);
    // An older body than announced leaves the pull open for the newer one.
    if (item.known == item.announced)
        item.pulled_at.reset();
    return true;
}

void news_state::on_store_confirmed(time_point started)
{
    confirmed_ = confirmed_ ? std::max(*confirmed_, started) : started;
}

std::uint64_t news_state::version_of(const document_id& document) const
{
    const auto found = documents_.find(document);
    return found == documents_.end() ? 0 : found->second.known;
}

std::optional<duration> news_state::store_age(time_point now) const
{
    if (!confirmed_)
        return std::nullopt;
    return now - *confirmed_;
}

revision_summary news_state::summary(time_point now) const
{
    revision_summary result;
    result.store_age = store_age(now);
    for (const auto& [document, item] : documents_) {
        switch (document.kind) {
        case document_kind::policy:
            result.policy = revision(item.known);
            break;
        case document_kind::fleet:
            result.fleet = object_version(item.known);
            break;
        case document_kind::ownership:
            result.ownership.emplace_back(
                document.service, object_version(item.known));
            break;
        }
    }
    return result;
}

bool news_state::is_behind() const
{
    return std::any_of(
        documents_.begin(), documents_.end(), [](const auto& item) {
            return item.second.announced > item.second.known;
        });
}

} // namespace filberthub
