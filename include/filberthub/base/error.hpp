// The closed list of error kinds, and the table that maps each kind to the
// response for the caller.
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

// The ways in which an operation can fail. The numbers are part of the peer
// protocol: append new kinds at the end.
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

// What a response says about the execution of its request.
enum class outcome : std::uint8_t
{
    // A backend server executed the request and sent the response.
    done,
    // No backend server started the request; this is proved.
    not_run,
    // A backend server may have executed the request.
    unknown,
};

// The response to a caller for one kind of error.
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

// Returns the rule for `kind`.
const answer_rule& answer_for(error_kind kind);

// Returns the value for the `Filberthub-Outcome` header.
std::string_view to_string(outcome value);

// Converts the number in a peer message to a kind. Returns `internal` for a
// number that is not in the list.
error_kind error_kind_from_number(std::uint8_t number);

// The exception that all libraries throw. The message states the location, the
// actual value and the expected one.
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
