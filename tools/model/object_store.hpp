// The objects of the platform stand-in, with versions and the faults that can
// be set.
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

// Admits a number of calls per second, with a burst of one second's calls.
class call_rate
{
public:
    // 0 admits every call.
    void set(double calls_per_second);

    bool take(time_point now);

private:
    double rate_ = 0;
    double available_ = 0;
    std::optional<time_point> last_;
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
    // The version after the call.
    object_version version;
    // Whether the reply must not reach the caller.
    bool reply_lost = false;
};

// Guarantees that the version of an object grows by one with each change, and
// that a conditional update is applied only to the version that it names.
class object_store
{
public:
    static constexpr std::size_t value_bytes = 1'000'000;

    // Returns the object, or nothing if it does not exist.
    const stored_object* find(const std::string& name) const;

    object_version version_of(const std::string& name) const;

    // Replaces the value. `expected` 0 means that the object must not exist;
    // without a value the update is unconditional.
    put_result put(const std::string& name, std::string value,
        std::optional<object_version> expected);

    // Returns names with versions, in the order of the names.
    std::vector<std::pair<std::string, object_version>> list(
        const std::string& prefix) const;

    // The replies of the next `count` applied updates are lost.
    void lose_replies(std::uint64_t count);

private:
    std::map<std::string, stored_object> objects_;
    std::uint64_t replies_to_lose_ = 0;
};

} // namespace filberthub::tools

#endif
