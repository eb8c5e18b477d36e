// What an instance has learned from the platform's store, directly or through
// another instance, merged so that older news never replaces newer.
//
//     fact_store facts;
//     if (facts.merge({"servers/i-1", revision(12), text}))
//         apply(...);

#ifndef FILBERTHUB_ROUTING_FACT_STORE_HPP
#define FILBERTHUB_ROUTING_FACT_STORE_HPP

#include <filberthub/base/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filberthub {

// One object of the store at one revision.
struct fact
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
class fact_store
{
public:
    // Takes a fact and returns whether it is news.
    bool merge(const fact& item);

    // Takes a complete list of the objects of `kind` at `version`; objects that
    // are missing from it are removed. Returns the news.
    std::vector<fact> merge_list(std::string_view kind,
        const std::vector<fact>& items, object_version version);

    // Facts that were merged after the change number `after`, oldest first.
    std::vector<fact> changes_after(std::uint64_t after) const;

    // Number of the last change.
    std::uint64_t last_change() const
    {
        return last_change_;
    }

    const fact* find(const std::string& key) const;

private:
    struct entry
    {
        fact item;
        std::uint64_t change = 0;
    };

    std::map<std::string, entry> entries_;
    // Change number to key; each key has one.
    std::map<std::uint64_t, std::string> by_change_;
    std::uint64_t last_change_ = 0;
};

} // namespace filberthub

#endif
