#include <filberthub/routing/object_cache.hpp>

#include <algorithm>
#include <set>

namespace filberthub {

bool object_cache::merge(const versioned_object& object)
{
    const auto [found, is_new] = objects_.try_emplace(object.key);
    cached_object& cached = found->second;
    if (!is_new) {
        if (object.version <= cached.object.version)
            return false;
        by_change_.erase(cached.change);
    }
    const bool same_value = !is_new && cached.object.value == object.value;
    cached.object = object;
    cached.change = ++last_change_;
    by_change_.emplace(cached.change, object.key);
    return !same_value;
}

std::vector<versioned_object> object_cache::merge_list(std::string_view kind,
    const std::vector<versioned_object>& objects, object_version version)
{
    std::vector<versioned_object> changes;
    std::set<std::string_view> present;
    for (const versioned_object& object : objects) {
        present.insert(object.key);
        if (merge(object))
            changes.push_back(object);
    }
    const std::string prefix = std::string(kind) + "/";
    std::vector<std::string> missing;
    for (auto it = objects_.lower_bound(prefix);
         it != objects_.end() && it->first.starts_with(prefix); ++it) {
        if (it->second.object.value && !present.contains(it->first))
            missing.push_back(it->first);
    }
    for (const std::string& key : missing) {
        const versioned_object removed{key, version, std::nullopt};
        if (merge(removed))
            changes.push_back(removed);
    }
    return changes;
}

std::vector<versioned_object> object_cache::changes_after(
    std::uint64_t last_seen) const
{
    std::vector<versioned_object> changes;
    for (auto it = by_change_.upper_bound(last_seen); it != by_change_.end();
         ++it)
        changes.push_back(objects_.at(it->second).object);
    return changes;
}

std::vector<versioned_object> object_cache::changes_beyond(
    const complete_versions& complete) const
{
    std::vector<versioned_object> changes;
    for (const auto& [change, key] : by_change_) {
        const versioned_object& object = objects_.at(key).object;
        const std::string_view kind =
            std::string_view(key).substr(0, key.find('/'));
        const auto found = complete.find(kind);
        if (found == complete.end() || object.version > found->second)
            changes.push_back(object);
    }
    return changes;
}

void object_cache::set_complete(const std::string& kind, object_version version)
{
    object_version& known =
        complete_.try_emplace(kind, object_version{}).first->second;
    known = std::max(known, version);
}

const versioned_object* object_cache::find(const std::string& key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? nullptr : &found->second.object;
}

} // namespace filberthub
