#include "tools/model/object_store.hpp"

#include <algorithm>

namespace filberthub::tools {

void rate_limiter::set(double calls_per_second)
{
    rate_ = calls_per_second;
    tokens_ = calls_per_second;
    last_refill_.reset();
}

bool rate_limiter::try_acquire(time_point now)
{
    if (rate_ <= 0)
        return true;
    if (last_refill_) {
        const std::chrono::duration<double> elapsed = now - *last_refill_;
        tokens_ = std::min(rate_, tokens_ + elapsed.count() * rate_);
    }
    last_refill_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

const stored_object* object_store::find(const std::string& name) const
{
    const auto found = objects_.find(name);
    return found == objects_.end() ? nullptr : &found->second;
}

object_version object_store::version_of(const std::string& name) const
{
    const stored_object* object = find(name);
    return object == nullptr ? object_version(0) : object->version;
}

put_result object_store::put(const std::string& name, std::string value,
    std::optional<object_version> expected)
{
    const object_version current = version_of(name);
    if (value.size() > max_value_bytes)
        return {put_status::too_large, current};
    if (expected && *expected != current)
        return {put_status::version_mismatch, current};
    stored_object& object = objects_[name];
    object.version = current.next();
    object.value = std::move(value);
    const bool lost = replies_to_lose_ > 0;
    if (lost)
        --replies_to_lose_;
    return {put_status::applied, object.version, lost};
}

std::vector<std::pair<std::string, object_version>> object_store::list(
    const std::string& prefix) const
{
    std::vector<std::pair<std::string, object_version>> result;
    for (auto item = objects_.lower_bound(prefix);
         item != objects_.end() && item->first.starts_with(prefix); ++item)
        result.emplace_back(item->first, item->second.version);
    return result;
}

void object_store::lose_replies(std::uint64_t count)
{
    replies_to_lose_ = count;
}

} // namespace filberthub::tools
