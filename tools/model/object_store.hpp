// The versioned objects of the platform stand-in, with fault injection.
//
//     object_store store;
//     store.put("policy/root", "{}", object_version(0));

#ifndef FILBERTHUB_TOOLS_MODEL_OBJECT_STORE_HPP
#define FILBERTHUB_TOOLS_MODEL_OBJECT_STORE_HPP

#include <filberthub/base/types.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filberthub::tools {

// A token bucket that admits a number of calls per second. A burst may use the
// calls of one second at once.
class rate_limiter
{
public:
    // Sets the rate and fills the bucket; 0 admits every call.
    void set(double calls_per_second);

    // Returns whether a call at this time is admitted.
    bool try_acquire(time_point now);

private:
    double rate_ = 0;
    double tokens_ = 0;
    std::optional<time_point> last_refill_;
};

struct stored_object
{
    object_version version;
    std::string value;
};

enum class put_status
{
    applied,
    version_mismatch,
    too_large
};

struct put_result
{
    put_status status;
    // Version of the object after the call.
    object_version version;
    // The update was applied, but the caller must not get the reply.
    bool reply_lost = false;
};

// Guarantees that each applied update increases the version of an object by
// one, and that a conditional update is applied only to the version that it
// names.
class object_store
{
public:
    static constexpr std::size_t max_value_bytes = 1'000'000;

    // Returns the object, or a null pointer if it does not exist.
    const stored_object* find(const std::string& name) const;

    // Returns the version of the object, or 0 if it does not exist.
    object_version version_of(const std::string& name) const;

    // Replaces the value if the object has the version `expected`; version 0
    // means that the object does not exist. Without `expected` the update is
    // unconditional.
    put_result put(const std::string& name, std::string value,
        std::optional<object_version> expected);

    // Returns the names that start with `prefix`, in order, with the versions.
    std::vector<std::pair<std::string, object_version>> list(
        const std::string& prefix) const;

    // Marks the replies of the next `count` applied updates as lost.
    void lose_replies(std::uint64_t count);

private:
    std::map<std::string, stored_object> objects_;
    std::uint64_t replies_to_lose_ = 0;
};

} // namespace filberthub::tools

#endif
