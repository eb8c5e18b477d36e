// The identifier, quantity and time types that all libraries share.
//
// The core libraries do not read a clock. The current time is an argument:
//
//     bool held = lease.held(now);

#ifndef FILBERTHUB_BASE_TYPES_HPP
#define FILBERTHUB_BASE_TYPES_HPP

#include <filberthub/base/strong.hpp>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace filberthub {

// Time of the local monotonic clock. Only intervals are exchanged between
// instances, because their clocks cannot be compared.
using time_point = std::chrono::time_point<std::chrono::steady_clock,
    std::chrono::nanoseconds>;
using duration = std::chrono::nanoseconds;
using std::chrono::milliseconds;

// One process of filberthub.
using instance_id = strong_name<struct instance_id_tag>;
// One server to which filberthub routes requests.
using backend_server_id = strong_name<struct backend_server_id_tag>;
// A set of instances and backend servers that can fail together.
using failure_domain_id = strong_name<struct failure_domain_id_tag>;
// A service of a deployment, such as "kartlas".
using service_id = strong_name<struct service_id_tag>;
// A part of the policy document that one team owns.
using section_id = strong_name<struct section_id_tag>;
// The id that a caller assigns to a request. Each repeat of the request carries
// the same id.
using request_id = strong_name<struct request_id_tag>;

// What the last holder of keys returned when it released them, for the next
// holder. Its content is opaque to filberthub.
using key_handover = strong_name<struct key_handover_tag, 8'192>;

// Index of a key group within one service.
using key_group = strong_number<struct key_group_tag, std::uint32_t>;
// Number that increases with each grant. Servers refuse requests with a lower
// one.
using fencing_token = strong_number<struct fencing_token_tag, std::uint64_t>;
// Number of an accepted version of the policy document.
using revision = strong_number<struct revision_tag, std::uint64_t>;
// Version of an object in the platform's store. 0 means that the object does
// not exist.
using object_version = strong_number<struct object_version_tag, std::uint64_t>;
// Number of the current start of an instance. An instance joins with a new
// incarnation after each start.
using incarnation = strong_number<struct incarnation_tag, std::uint64_t>;

// Priority class of a request. Waiting requests are admitted in the order of
// the enumerators.
enum class priority : std::uint8_t
{
    rescue,
    interactive,
    edit,
    bulk
};
inline constexpr std::size_t priority_count = 4;

// Returns the name for headers and settings, such as "rescue".
std::string_view to_string(priority value);

// Parses the name of a priority class. Throws `error` of kind `bad_request` if
// there is no such class.
priority priority_from_string(std::string_view text);

// Address of a listener: an IP address and a TCP port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): as in strong_number
    auto operator<=>(const endpoint&) const = default;
};

// Parses text such as "127.0.0.1:8080". Throws `error` of kind `bad_settings`
// if it is malformed.
endpoint endpoint_from_string(std::string_view text);
std::string to_string(const endpoint& value);

} // namespace filberthub

#endif
