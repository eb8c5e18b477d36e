// Reads and writes of the coordinator lease by `fleet_role`, and the messages
// between an earlier coordinator and its successor.

#include "router/fleet_role.hpp"

#include "router/peer_messages.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/json_text.hpp>
#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

using platform_api::object_kind;
using platform_api::store_outcome;

constexpr const char* lease_name = "coordinator";
// A coordinator that does not answer within this time may be gone.
constexpr milliseconds stop_timeout{800};
// Delay before the earlier coordinator is asked again. The first request often
// fails, because a coordinator that is replaced is busy or hard to reach.
constexpr milliseconds stop_retry{250};
constexpr const char* earlier_grants_field = "earlier_grants_ms";

// Returns when the leases before that of the stopped coordinator end, if it
// knows.
std::optional<time_point> decode_stop_reply(
    const http_response& response, time_point now)
{
    try {
        const json document =
            parse_json(response.body, error_kind::bad_peer_message);
        return now + read_milliseconds(document.at(earlier_grants_field));
    } catch (const std::exception&) {
        // A coordinator that has lost its lease, or of an earlier release, does
        // not tell.
        return std::nullopt;
    }
}

} // namespace

void fleet_role::on_lease_objects(const watch_update& update)
{
    const std::string key =
        platform_api::object_key(object_kind::coordinator_lease, lease_name);
    bool found = false;
    for (const versioned_object& object : update.objects) {
        if (object.key != key || !object.value)
            continue;
        found = true;
        try {
            lease_.on_read(lease_record::from_text(*object.value),
                platform_api::store_revision_of(object.version), clock_());
        } catch (const error& failure) {
            log_event(log_level::warn, "coordinator lease is malformed",
                {{log_key::error, failure.what()}});
        }
    }
    if (update.complete && !found)
        lease_.on_read(std::nullopt, store_.absent_revision(), clock_());
    tick_soon();
}

void fleet_role::apply_lease_reply(const std::string& body)
{
    try {
        const auto object = platform_api::decode_object(body, store_.epoch());
        lease_.on_read(lease_record::from_text(object.content),
            object.store_revision, clock_());
    } catch (const error& failure) {
        log_event(log_level::warn, "coordinator lease is malformed",
            {{log_key::error, failure.what()}});
        lease_.on_write_failed(clock_());
    }
}

void fleet_role::read_lease()
{
    if (lease_read_open_)
        return;
    lease_read_open_ = true;
    store_.call(
        platform_api::read_call(object_kind::coordinator_lease, lease_name),
        [this](store_outcome outcome, const std::string& body) {
            lease_read_open_ = false;
            if (outcome == store_outcome::done)
                apply_lease_reply(body);
            else if (outcome == store_outcome::not_found)
                lease_.on_read(
                    std::nullopt, store_.absent_revision(), clock_());
            else
                lease_.on_write_failed(clock_());
        });
}

void fleet_role::write_lease(const lease_write& write)
{
    const auto base = store_.plain_revision(write.base_revision);
    if (!base) {
        // Another instance has told of a later epoch than this process knows.
        lease_.on_write_failed(clock_());
        return;
    }
    http_request request =
        *base == 0 ? platform_api::create_call(object_kind::coordinator_lease,
                         lease_name, write.record.text())
                   : platform_api::replace_call(object_kind::coordinator_lease,
                         lease_name, *base, write.record.text());
    store_.call(std::move(request),
        [this](store_outcome outcome, const std::string& body) {
            const time_point now = clock_();
            if (outcome == store_outcome::done) {
                try {
                    lease_.on_written(
                        platform_api::decode_object(body, store_.epoch())
                            .store_revision,
                        now);
                } catch (const error& failure) {
                    log_event(log_level::warn, "lease reply is malformed",
                        {{log_key::error, failure.what()}});
                    lease_.on_write_failed(now);
                }
                return;
            }
            log_event(log_level::info, "lease write failed",
                {{"conflict", outcome == store_outcome::conflict}});
            lease_.on_write_failed(now);
            if (outcome == store_outcome::conflict)
                read_lease();
        });
}

void fleet_role::renew(time_point now)
{
    if (leaving_)
        return;
    // While the watch of the lease fails, calls to take over the lease of
    // another process would fail as well.
    if (!lease_.is_holder() && store_.lease_watch_failing())
        return;
    // The watch reads the lease for the first time.
    if (lease_.needs_read() && lease_.has_read() && !lease_read_open_ &&
        lease_.may_retry(now)) {
        read_lease();
        return;
    }
    if (const auto write = lease_.next_write(now))
        write_lease(*write);
}

void fleet_role::resign()
{
    if (controller_)
        stop_coordinating();
    if (const auto write = lease_.leave())
        write_lease(*write);
}

// Tells the earlier coordinator to stop granting. If it is cut off from the
// store, it does not know that its lease was taken, and this process would have
// to wait until the last of its grants has expired.
void fleet_role::stop_predecessor(time_point now)
{
    if (!lease_.predecessor() || stop_request_open_ ||
        now < next_stop_request_ || now >= lease_.earlier_leases_end())
        return;
    stop_request_open_ = true;
    http_client_options options;
    options.max_connections = 1;
    options.connect_timeout = milliseconds(300);
    predecessor_client_ =
        std::make_unique<http_client>(lease_.predecessor()->address, options);
    http_request request;
    request.method = "POST";
    request.target = stop_path;
    json body = encode({*lease_.record(), lease_.store_revision()});
    body["run"] = lease_.predecessor()->run_id;
    body["term"] = lease_.record()->term;
    request.body = body.dump();
    predecessor_client_->send(std::move(request), stop_timeout,
        [this, term = lease_.record()->term](
            const http_result& result) { on_stop_reply(term, result); });
}

void fleet_role::on_stop_reply(std::uint64_t term, const http_result& result)
{
    const time_point now = clock_();
    stop_request_open_ = false;
    next_stop_request_ = now + stop_retry;
    const bool stopped = result.response && result.response->status == 200;
    log_event(log_level::info, "asked the earlier coordinator to stop",
        {{"term", term}, {"stopped", stopped},
            {log_key::error, result.message}});
    if (stopped && lease_.is_holder() && lease_.record()->term == term)
        on_predecessor_stopped(now, decode_stop_reply(*result.response, now));
}

void fleet_role::on_predecessor_stopped(
    time_point now, const std::optional<time_point>& leases_before_it_end)
{
    lease_.on_predecessor_stopped(now, leases_before_it_end);
    if (controller_)
        controller_->on_predecessor_stopped(lease_.earlier_leases_end());
    if (quotas_)
        quotas_->shorten_earlier_leases(lease_.earlier_leases_end());
}

void fleet_role::on_stop_request(http_exchange& exchange)
{
    http_response response;
    try {
        const json document =
            parse_json(exchange.request().body, error_kind::bad_peer_message);
        const auto term = document.at("term").get<std::uint64_t>();
        // A successor of an earlier release does not tell its lease.
        if (document.contains("lease"))
            told_by_successor_ = decode_lease_news(document);
        // With a different run id, the message is for an earlier run of this
        // process, and this run has granted nothing.
        if (document.at("run").get<std::uint64_t>() == lease_.run_id()) {
            // While the record names this process, the time is that of its own
            // lease.
            if (lease_.is_holder()) {
                const auto left = std::chrono::ceil<milliseconds>(
                    lease_.earlier_leases_end() - clock_());
                response.body =
                    json{{earlier_grants_field,
                             std::max(milliseconds(0), left).count()}}
                        .dump();
            }
            lease_.on_superseded(term);
        }
        log_event(log_level::info, "lease was taken by another coordinator",
            {{"term", term}});
        tick(clock_());
    } catch (const std::exception& failure) {
        response.status = 400;
        response.body = shorten(failure.what());
    }
    exchange.respond(std::move(response));
}

void fleet_role::on_poll(std::shared_ptr<http_exchange> exchange)
{
    const time_point now = clock_();
    const std::string& target = exchange->request().target;
    if (target == stop_path) {
        on_stop_request(*exchange);
        return;
    }
    http_response response;
    if (target == lease_path) {
        const auto news = newest_lease();
        response.status = news ? 200 : 404;
        response.body = news ? encode(*news).dump() : "no lease is known";
        exchange->respond(std::move(response));
        return;
    }
    if (!lease_.may_resume() || leaving_) {
        response.status = 409;
        response.body = refusal_text();
        exchange->respond(std::move(response));
        return;
    }
    server_.on_poll(std::move(exchange), self_.run_id, now);
    flush_soon();
}

void fleet_role::on_lease_news(const lease_news& news)
{
    lease_.on_told(news.record, news.store_revision, clock_());
    // Only a reply of the store tells its epoch, so that a malformed message
    // cannot make this process ignore the store.
    if (lease_.is_holder() &&
        epoch_of_revision(news.store_revision) > store_.epoch())
        read_lease();
    tick_soon();
}

std::optional<lease_news> fleet_role::newest_lease() const
{
    const bool has_read = lease_.record().has_value();
    if (told_by_successor_ && (!has_read || told_by_successor_->store_revision >
                                                lease_.store_revision()))
        return told_by_successor_;
    if (!has_read)
        return std::nullopt;
    return lease_news{*lease_.record(), lease_.store_revision()};
}

std::string fleet_role::refusal_text() const
{
    const auto news = newest_lease();
    return news ? encode(*news).dump() : "not the coordinator";
}

std::vector<endpoint> fleet_role::peers_to_ask() const
{
    const std::vector<instance_id>& standbys = client_.standbys();
    std::vector<endpoint> peers;
    std::vector<endpoint> others;
    for (const live_instance& member : view_.members()) {
        if (member.id == settings_.instance)
            continue;
        const bool is_standby = std::find(standbys.begin(), standbys.end(),
                                    member.id) != standbys.end();
        (is_standby ? peers : others).push_back(member.address);
    }
    // Any other instance may have read the lease since.
    if (!others.empty()) {
        const auto index = static_cast<std::size_t>(
            view_.uniform_random() * static_cast<double>(others.size()));
        peers.push_back(others[std::min(index, others.size() - 1)]);
    }
    return peers;
}

} // namespace filberthub
