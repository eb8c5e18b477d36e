// The closed list of error kinds, and the table from a kind to the answer that
// a caller gets.
//
//     throw error(error_kind::overloaded, "queue of kartlas-3 holds 64 of 64");
//     const answer_rule& rule = answer_for(failure.kind());

#ifndef FILBERTHUB_BASE_ERROR_HPP
#define FILBERTHUB_BASE_ERROR_HPP

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace filberthub {

// Each way in which an operation can fail. The numbers are part of the peer
// protocol: new kinds are added at the end.
enum class error_kind : std::uint8_t
{
    bad_request = 0,
    head_too_large = 1,
    body_too_large = 2,
    unknown_service = 3,
    not_owner = 4,
    no_holder = 5,
    overloaded = 6,
    deadline_exceeded_not_run = 7,
    shutting_down = 8,
    domain_out_of_service = 9,
    lease_lapsed = 10,
    duplicate_in_progress = 11,
    duplicate_done = 12,
    outcome_unknown = 13,
    bad_backend_answer = 14,
    cancelled = 15,
    bad_settings = 16,
    bad_policy = 17,
    revision_conflict = 18,
    store_unavailable = 19,
    bad_peer_message = 20,
    internal = 21,
};
inline constexpr std::size_t error_kind_count = 22;

// What an answer says about the request.
enum class outcome : std::uint8_t
{
    // The backend server ran it, and the answer is the server's.
    done,
    // It is proved that no backend server began it.
    not_run,
    // A backend server may have run it.
    unknown,
};

// How a kind of error is answered to a caller.
struct answer_rule
{
    error_kind kind;
    // Name in the `Filberthub-Error` header and in logs.
    std::string_view name;
    // HTTP status code.
    int status;
    outcome result;
    // Whether the same request may succeed if it is sent again.
    bool retryable;
};

// Returns the row of the table for `kind`.
const answer_rule& answer_for(error_kind kind);

// Returns the name of an outcome as in the `Filberthub-Outcome` header.
std::string_view to_string(outcome value);

// Reads a kind from its number in a peer message. A number that is not in the
// list gives `internal`.
error_kind error_kind_from_number(std::uint8_t number);

// The exception of all libraries. The message says what was seen, what was
// expected and where.
class error : public std::runtime_error
{
public:
    error(error_kind kind, const std::string& message)
        : std::runtime_error(message), kind_(kind)
    {}

    error_kind kind() const
    {
        return kind_;
    }

private:
    error_kind kind_;
};

} // namespace filberthub

#endif
