#include <filberthub/base/error.hpp>

#include <array>

namespace filberthub {
namespace {

using enum error_kind;

// `not_run` is allowed only for kinds that always occur before the first byte
// is sent to a backend server.
constexpr std::array<answer_rule, error_kind_count> answer_table = {{
    {bad_request, "bad_request", 400, outcome::not_run, false},
    {head_too_large, "head_too_large", 431, outcome::not_run, false},
    {body_too_large, "body_too_large", 413, outcome::not_run, false},
    {unknown_service, "unknown_service", 404, outcome::not_run, false},
    {not_owner, "not_owner", 421, outcome::not_run, true},
    {no_holder, "no_holder", 503, outcome::not_run, true},
    {overloaded, "overloaded", 503, outcome::not_run, true},
    {deadline_exceeded_not_run, "deadline_exceeded_not_run", 504,
        outcome::not_run, true},
    {shutting_down, "shutting_down", 503, outcome::not_run, true},
    {domain_out_of_service, "domain_out_of_service", 503, outcome::not_run,
        true},
    {lease_lapsed, "lease_lapsed", 503, outcome::not_run, true},
    {duplicate_in_progress, "duplicate_in_progress", 409, outcome::unknown,
        true},
    {duplicate_done, "duplicate_done", 409, outcome::done, false},
    {outcome_unknown, "outcome_unknown", 502, outcome::unknown, false},
    {bad_backend_answer, "bad_backend_answer", 502, outcome::unknown, false},
    {cancelled, "cancelled", 499, outcome::unknown, false},
    {bad_settings, "bad_settings", 500, outcome::not_run, false},
    {bad_policy, "bad_policy", 422, outcome::not_run, false},
    {revision_conflict, "revision_conflict", 409, outcome::not_run, true},
    {store_unavailable, "store_unavailable", 503, outcome::unknown, true},
    {bad_peer_message, "bad_peer_message", 502, outcome::unknown, false},
    {internal, "internal", 500, outcome::unknown, false},
}};

} // namespace

const answer_rule& answer_for(error_kind kind)
{
    return answer_table.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(outcome value)
{
    switch (value) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

error_kind error_kind_from_number(std::uint8_t number)
{
    return number < error_kind_count ? static_cast<error_kind>(number)
                                     : error_kind::internal;
}

} // namespace filberthub
