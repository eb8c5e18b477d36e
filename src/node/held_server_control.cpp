// The member functions of `held_server` for probes and grants.

#include "node/clock.hpp"
#include "node/held_server.hpp"

#include <filberthub/base/json_reader.hpp>

#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

constexpr milliseconds probe_interval{200};
// A server is lost after this number of consecutive probes without an answer.
constexpr unsigned lost_probe_count = 3;
constexpr milliseconds grant_interval{300};
// Delay of the next grant after a refusal or a lost answer.
constexpr milliseconds grant_retry{50};
// No grant shorter than this is sent.
constexpr milliseconds min_grant_time{100};

// Returns ascending groups as inclusive ranges [first, last].
json ranges_of(const std::vector<key_group>& groups)
{
    json ranges = json::array();
    for (std::size_t first = 0; first < groups.size();) {
        std::size_t last = first;
        while (last + 1 < groups.size() &&
               groups[last + 1].value() == groups[last].value() + 1)
            ++last;
        ranges.push_back({groups[first].value(), groups[last].value()});
        first = last + 1;
    }
    return ranges;
}

} // namespace

void held_server::probe(time_point now)
{
    if (probing_ || now < next_probe_)
        return;
    next_probe_ = now + probe_interval;
    probing_ = true;
    http_request request;
    request.target = "/_filberthub/health";
    probes_.send(
        std::move(request), probe_interval, [this](const http_result& result) {
            probing_ = false;
            on_probe(result.response.has_value());
        });
}

void held_server::on_probe(bool answered)
{
    missed_probes_ = answered ? 0 : missed_probes_ + 1;
    const bool lost = missed_probes_ >= lost_probe_count;
    if (lost == lost_)
        return;
    lost_ = lost;
    const time_point now = clock_now();
    log_event(log_level::warn,
        lost ? "server does not answer health probes"
             : "server answers health probes again",
        {{log_key::server, server_.id.value()}});
    gate_.on_connection_reset(now);
    environment_.on_lost_changed(lost);
}

void held_server::renew_grants(time_point now)
{
    if (!policy_.verifies_tokens || policy_.kind != routing::by_key ||
        now < next_grants_ || !environment_.is_holder(now))
        return;
    next_grants_ = now + grant_interval;
    const auto until = environment_.grants_until();
    if (!until || *until - now < min_grant_time)
        return;
    for (const auto& [group_token, groups] : environment_.groups()) {
        const auto token = environment_.token(group_token);
        if (!token || groups.empty())
            continue;
        for (const key_group group : groups)
            sent_grant_until_[group] = *until;
        http_request request;
        request.method = "PUT";
        request.target = "/_filberthub/grant";
        const auto lease = std::chrono::floor<milliseconds>(*until - now);
        request.body = json{{"groups", ranges_of(groups)},
            {"token", std::to_string(token->value())},
            {"lease_ms", lease.count()}}
                           .dump();
        grants_.send(std::move(request), grant_interval,
            [this, key = group_token, end = *until](const http_result& result) {
                if (result.response && result.response->status == 200) {
                    time_point& accepted_until = granted_until_[key];
                    accepted_until = std::max(accepted_until, end);
                } else {
                    if (!result.response && result.sent)
                        unconfirmed_grant_until_ =
                            std::max(unconfirmed_grant_until_, end);
                    next_grants_ =
                        std::min(next_grants_, clock_now() + grant_retry);
                }
            });
    }
}

bool held_server::is_granted(key_group group, time_point now) const
{
    const auto found = sent_grant_until_.find(group);
    return found != sent_grant_until_.end() &&
           now < std::max(found->second, unconfirmed_grant_until_);
}

void held_server::revoke(
    std::uint32_t group_token, const std::vector<key_group>& groups)
{
    const auto token = environment_.token(group_token);
    if (revoking_ || lost_ || !token)
        return;
    revoking_ = true;
    http_request request;
    request.method = "PUT";
    request.target = "/_filberthub/revoke";
    request.body = json{{"groups", ranges_of(groups)},
        {"token", std::to_string(token->value())}}
                       .dump();
    grants_.send(std::move(request), grant_interval,
        [this, groups](const http_result& result) {
            revoking_ = false;
            if (!result.response || result.response->status != 200)
                return;
            for (const key_group group : groups) {
                // A grant without an answer may still be in effect.
                time_point& until = sent_grant_until_[group];
                until = std::min(until, unconfirmed_grant_until_);
            }
        });
}

} // namespace filberthub
