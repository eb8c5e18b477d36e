#include <filberthub/routing/object_cache.hpp>

#include <set>

namespace filberthub {

bool object_cache::merge(const versioned_object& item)
{
    const auto [found, is_new] = entries_.try_emplace(item.key);
    entry& known = found->second;
    if (!is_new) {
        if (item.version <= known.item.version)
            return false;
        by_change_.erase(known.change);
    }
    const bool same_value = !is_new && known.item.value == item.value;
    known.item = item;
    known.change = ++last_change_;
    by_change_.emplace(known.change, item.key);
    return !same_value;
}

std::vector<versioned_object> object_cache::merge_list(std::string_view kind,
    const std::vector<versioned_object>& items, object_version version)
{
    std::vector<versioned_object> changes;
    std::set<std::string_view> present;
    for (const versioned_object& item : items) {
        present.insert(item.key);
        if (merge(item))
            changes.push_back(item);
    }
    const std::string prefix = std::string(kind) + "/";
    std::vector<std::string> missing;
    for (auto at = entries_.lower_bound(prefix);
         at != entries_.end() && at->first.starts_with(prefix); ++at) {
        if (at->second.item.value && !present.contains(at->first))
            missing.push_back(at->first);
    }
    for (const std::string& key : missing) {
        const versioned_object removed{key, version, std::nullopt};
        if (merge(removed))
            changes.push_back(removed);
    }
    return changes;
}

std::vector<versioned_object> object_cache::changes_after(
    std::uint64_t after) const
{
    std::vector<versioned_object> changes;
    for (auto at = by_change_.upper_bound(after); at != by_change_.end(); ++at)
        changes.push_back(entries_.at(at->second).item);
    return changes;
}

const versioned_object* object_cache::find(const std::string& key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second.item;
}

} // namespace filberthub
