// Cache of the objects of the platform's store, as read directly or received
// from another instance. An older version never replaces a newer one.
//
//     object_cache objects;
//     if (objects.merge({"servers/i-1", revision(12), text}))
//         apply(...);

#ifndef FILBERTHUB_ROUTING_OBJECT_CACHE_HPP
#define FILBERTHUB_ROUTING_OBJECT_CACHE_HPP

#include <filberthub/base/types.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filberthub {

// An object of the store at one revision, or its absence.
struct versioned_object
{
    // "kind/name".
    std::string key;
    // Revision of the store at which the object had this value.
    object_version version;
    // The object as sent by the store; nothing if it does not exist.
    std::optional<std::string> value;
};

// By kind, the version up to which all objects of the kind are known. Kinds
// that are not in it may lack any object.
using complete_versions = std::map<std::string, object_version, std::less<>>;

// Guarantees that the version of a key never decreases. Removed objects are
// kept as tombstones, so that an older copy does not restore them.
class object_cache
{
public:
    // Merges an object and returns whether its value changed.
    bool merge(const versioned_object& object);

    // Merges the complete list of the objects of `kind` at `version`. Objects
    // that it does not contain are removed. Returns the changed objects.
    std::vector<versioned_object> merge_list(std::string_view kind,
        const std::vector<versioned_object>& objects, object_version version);

    // Returns the objects whose last change has a number above `last_seen`,
    // oldest change first.
    std::vector<versioned_object> changes_after(std::uint64_t last_seen) const;

    // Returns the objects that a cache may lack which is complete up to these
    // versions, oldest change first.
    std::vector<versioned_object> changes_beyond(
        const complete_versions& complete) const;

    // To be called when all changes of the objects of `kind` up to `version`
    // were merged.
    void set_complete(const std::string& kind, object_version version);
    const complete_versions& complete() const
    {
        return complete_;
    }

    // Number of the last change.
    std::uint64_t last_change() const
    {
        return last_change_;
    }

    // Returns the cached object, which may be a tombstone, or null.
    const versioned_object* find(const std::string& key) const;

private:
    struct cached_object
    {
        versioned_object object;
        std::uint64_t change = 0;
    };

    std::map<std::string, cached_object> objects_;
    // From the number of the last change of each key to that key.
    std::map<std::uint64_t, std::string> by_change_;
    std::uint64_t last_change_ = 0;
    complete_versions complete_;
};

} // namespace filberthub

#endif
