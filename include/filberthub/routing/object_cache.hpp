// What an instance has learned from the platform's store, directly or through
// another instance, merged so that an older version never replaces a newer one.
//
//     object_cache objects;
//     if (objects.merge({"servers/i-1", revision(12), text}))
//         apply(...);

#ifndef FILBERTHUB_ROUTING_OBJECT_CACHE_HPP
#define FILBERTHUB_ROUTING_OBJECT_CACHE_HPP

#include <filberthub/base/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filberthub {

// One object of the store at one revision.
struct versioned_object
{
    // "kind/name".
    std::string key;
    // Revision of the store at which the object had this value.
    object_version version;
    // The object as the store sent it; nothing if it does not exist.
    std::optional<std::string> value;
};

// Guarantees that the version of a key never falls. Removed objects are
// remembered, so that an older copy does not bring them back.
class object_cache
{
public:
    // Takes an object and returns whether its value changed.
    bool merge(const versioned_object& item);

    // Takes a complete list of the objects of `kind` at `version`; objects that
    // are missing from it are removed. Returns the changes.
    std::vector<versioned_object> merge_list(std::string_view kind,
        const std::vector<versioned_object>& items, object_version version);

    // Objects that were merged after the change number `after`, oldest first.
    std::vector<versioned_object> changes_after(std::uint64_t after) const;

    // Number of the last change.
    std::uint64_t last_change() const
    {
        return last_change_;
    }

    const versioned_object* find(const std::string& key) const;

private:
    struct entry
    {
        versioned_object item;
        std::uint64_t change = 0;
    };

    std::map<std::string, entry> entries_;
    // Change number to key; each key has one.
    std::map<std::uint64_t, std::string> by_change_;
    std::uint64_t last_change_ = 0;
};

} // namespace filberthub

#endif
