#include "router/fleet_feed.hpp"

#include "router/feed_messages.hpp"
#include "router/peer_messages.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/json_text.hpp>
#include <filberthub/routing/standbys.hpp>
#include <filberthub/telemetry/callback_guard.hpp>
#include <filberthub/telemetry/log.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr milliseconds retry_delay{250};
// Smaller replies are not worth the work of compressing them.
constexpr std::size_t min_compressed_bytes = 1'024;

http_response text_response(int status, const std::string& body)
{
    http_response response;
    response.status = status;
    response.body = body;
    return response;
}

} // namespace

feed_server::feed_server(deployment_view& view,
    std::function<void(const instance_id&, const load_counts&)> on_report)
    : view_(view), on_report_(std::move(on_report))
{}

fleet_timing feed_server::timing() const
{
    return fleet_timing(members_.size() + 1);
}

void feed_server::on_poll(std::shared_ptr<http_exchange> exchange,
    std::uint64_t run_id, time_point now)
{
    try {
        const json document =
            parse_json(exchange->request().body, error_kind::bad_peer_message);
        // Read as a whole first, so that a malformed poll changes nothing.
        const instance_id sender(document.at("instance").get<std::string>());
        const polling_member member{
            {sender,
                endpoint_from_string(document.at("address").get<std::string>()),
                document.at("processor_share").get<double>()},
            document.at("leaving").get<bool>(), now};
        const load_counts counts = decode_counts(document.at("counts"));
        open_poll poll;
        // An instance of an earlier release is never a standby.
        const bool is_standby = document.value("standby", false);
        // Change numbers of another process do not apply to this one.
        if (document.at("run").get<std::uint64_t>() == run_id)
            poll.after_change = document.at("after").get<std::uint64_t>();
        else
            poll.complete = decode_complete(document);
        if (counts.quota.sequence > 0)
            poll.quota_sender = sender;
        members_[sender] = member;
        on_report_(sender, counts);
        poll.exchange = std::move(exchange);
        poll.answer_by =
            now + (is_standby ? fleet_timing::standby() : timing()).poll_wait();
        // Not answered at once: a series of changes would become a series of
        // replies to each instance, and all instances poll a new coordinator
        // for the whole view at the same time.
        polls_.push_back(std::move(poll));
    } catch (const std::exception& failure) {
        const std::string message = shorten(failure.what());
        count_rejected(rejected_input::peer_message);
        log_event(log_level::warn, "malformed poll from an instance",
            {{log_key::error, message}});
        exchange->respond(text_response(400, message));
    }
}

std::string feed_server::encode_reply(const open_poll& poll,
    std::uint64_t run_id, feed_age age, time_point now) const
{
    const object_cache& known = view_.objects();
    json objects = json::array();
    for (const versioned_object& object :
        poll.after_change > 0 ? known.changes_after(poll.after_change)
                              : known.changes_beyond(poll.complete)) {
        objects.push_back({object.key, object.version.value(),
            object.value ? json(*object.value) : json(nullptr),
            view_.max_change_age(object.key, now).count()});
    }
    json standby_ids = json::array();
    for (const instance_id& id : standbys())
        standby_ids.push_back(id.value());
    return json{{"run", run_id}, {"change", known.last_change()},
        {"standbys", standby_ids}, {"facts", objects},
        {"complete", encode_complete(known.complete())},
        {"fleet", view_.fleet_size()},
        {"hold_ms", timing().poll_wait().count()},
        {"store_age_ms", age.store.count()}, {"view_age_ms", age.view.count()}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

void feed_server::assume_members(const std::vector<live_instance>& members,
    const instance_id& self, time_point now)
{
    for (const live_instance& member : members) {
        if (member.id != self)
            members_.try_emplace(member.id, polling_member{member, false, now});
    }
}

bool feed_server::has_changes_to_send() const
{
    return std::any_of(
        polls_.begin(), polls_.end(), [this](const open_poll& poll) {
            return view_.objects().last_change() > poll.after_change;
        });
}

void feed_server::answer_due(std::uint64_t run_id, feed_age age, time_point now)
{
    answer_if(run_id, age, now,
        [now](const open_poll& poll) { return now >= poll.answer_by; });
}

void feed_server::flush(std::uint64_t run_id, feed_age age, time_point now)
{
    answer_if(run_id, age, now, [this, now](const open_poll& poll) {
        return now >= poll.answer_by ||
               view_.objects().last_change() > poll.after_change;
    });
}

template <class Condition>
void feed_server::answer_if(
    std::uint64_t run_id, feed_age age, time_point now, const Condition& is_due)
{
    const auto first_due = std::stable_partition(polls_.begin(), polls_.end(),
        [&is_due](const open_poll& poll) { return !is_due(poll); });
    std::vector<open_poll> due(std::make_move_iterator(first_due),
        std::make_move_iterator(polls_.end()));
    polls_.erase(first_due, polls_.end());
    std::vector<complete_versions*> versions;
    for (open_poll& poll : due) {
        if (poll.after_change == 0)
            versions.push_back(&poll.complete);
    }
    share_versions(std::move(versions));
    // Most instances have the same changes, so that one text serves them all.
    std::map<std::pair<std::uint64_t, complete_versions>, encoded_reply>
        replies;
    for (const open_poll& poll : due) {
        encoded_reply& reply = replies[{poll.after_change, poll.complete}];
        if (reply.text.empty())
            reply.text = encode_reply(poll, run_id, age, now);
        http_response response = response_to(poll, reply);
        if (poll.quota_sender && on_quota_needed_)
            append_quota(response, on_quota_needed_(*poll.quota_sender));
        poll.exchange->respond(std::move(response));
    }
}

http_response feed_server::response_to(
    const open_poll& poll, encoded_reply& reply)
{
    const auto accepted =
        poll.exchange->request().headers.get("Accept-Encoding");
    if (accepted != reply_encoding || reply.text.size() < min_compressed_bytes)
        return text_response(200, reply.text);
    if (reply.compressed.empty())
        reply.compressed = compress_reply(reply.text);
    http_response response = text_response(200, reply.compressed);
    response.headers.set("Content-Encoding", reply_encoding);
    return response;
}

void feed_server::refuse_all(const std::string& body)
{
    std::vector<open_poll> waiting;
    waiting.swap(polls_);
    members_.clear();
    for (open_poll& poll : waiting)
        poll.exchange->respond(text_response(409, body));
}

std::size_t feed_server::fleet_size(time_point now)
{
    const milliseconds timeout = timing().member_timeout();
    std::erase_if(members_, [&](const auto& member) {
        return now >= member.second.last_poll + timeout;
    });
    return members_.size() + 1;
}

std::vector<live_instance> feed_server::members() const
{
    std::vector<live_instance> result;
    for (const auto& [id, polling] : members_) {
        if (!polling.leaving)
            result.push_back(polling.member);
    }
    return result;
}

std::vector<instance_id> feed_server::standbys() const
{
    std::vector<standby_candidate> candidates;
    for (const live_instance& member : members())
        candidates.push_back({member.id, member.processor_share});
    return choose_standbys(std::move(candidates));
}

feed_client::feed_client(live_instance self, deployment_view& view,
    std::function<load_counts()> take_load_counts,
    std::function<time_point()> clock)
    : self_(std::move(self)),
      view_(view),
      take_load_counts_(std::move(take_load_counts)),
      clock_(std::move(clock))
{
    poll_timer_.setSingleShot(true);
    connect(&poll_timer_, &QTimer::timeout, this, [this] {
        guard_callback(
            "poll of the coordinator", [this] { poll(); },
            [this] { poll_timer_.start(retry_delay); });
    });
}

void feed_client::follow(const std::optional<lease_record>& coordinator)
{
    const bool same = coordinator && coordinator_ &&
                      coordinator->run_id == coordinator_->run_id &&
                      coordinator->address == coordinator_->address;
    if (same || (!coordinator && !coordinator_))
        return;
    coordinator_ = coordinator;
    answering_ = false;
    standby_rank_.reset();
    poll_timer_.stop();
    client_.reset();
    if (!coordinator)
        return;
    log_event(log_level::info, "following the coordinator",
        {{"coordinator", coordinator->holder.value()},
            {"term", coordinator->term}});
    http_client_options options;
    options.max_connections = 2;
    options.connect_timeout = milliseconds(300);
    client_ = std::make_unique<http_client>(coordinator->address, options);
    poll_timer_.start(0);
}

bool feed_client::fresh(time_point now) const
{
    return view_complete_until_ &&
           now < *view_complete_until_ + timing_.max_view_age();
}

void feed_client::poll()
{
    if (!client_ || client_->calls() > 0)
        return;
    load_counts counts = take_load_counts_();
    // The coordinator knows the shares that it has set.
    if (counts.quota.run == coordinator_->term)
        counts.quota.shares.clear();
    poll_sent_ = clock_();
    http_request request;
    request.method = "POST";
    request.target = feed_path;
    request.headers.set("Accept-Encoding", reply_encoding);
    request.body = json{{"instance", self_.id.value()},
        {"address", to_string(self_.address)},
        {"processor_share", self_.processor_share}, {"leaving", leaving_},
        {"standby", standby_rank_.has_value()}, {"run", run_id_},
        {"after", last_change_},
        {"complete", encode_complete(view_.objects().complete())},
        {"counts", encode_counts(counts)}}
                       .dump();
    const fleet_timing timing =
        standby_rank_ ? fleet_timing::standby() : timing_;
    client_->send(
        std::move(request), timing.poll_timeout(), [this](http_result result) {
            guard_callback(
                "reply of the coordinator",
                [&] { on_reply(std::move(result)); },
                [&] { poll_timer_.start(retry_delay); });
        });
}

void feed_client::on_reply(http_result result)
{
    answering_ = result.response && result.response->status == 200;
    if (!result.response) {
        poll_timer_.start(retry_delay);
        return;
    }
    if (!answering_) {
        poll_timer_.start(retry_delay);
        if (on_refused_)
            on_refused_(result.response->body);
        return;
    }
    milliseconds age{0};
    try {
        const auto quota = take_quota(*result.response);
        age = apply(reply_text(*result.response), clock_());
        if (quota && on_quota_)
            on_quota_(*quota, poll_sent_);
    } catch (const std::exception& failure) {
        count_rejected(rejected_input::peer_message);
        log_event(log_level::warn, "malformed reply from the coordinator",
            {{log_key::error, shorten(failure.what())}});
        poll_timer_.start(retry_delay);
        return;
    }
    poll_timer_.start(0);
    if (on_answered_)
        on_answered_(age);
}

void feed_client::set_standbys(const std::vector<instance_id>& standbys)
{
    const auto found = std::find(standbys.begin(), standbys.end(), self_.id);
    const auto rank = static_cast<std::size_t>(found - standbys.begin());
    const bool is_standby = found != standbys.end();
    if (is_standby != standby_rank_.has_value()) {
        log_event(log_level::info,
            is_standby ? "standby of the coordinator"
                       : "no longer a standby of the coordinator",
            {{"rank", is_standby ? rank : *standby_rank_}});
    }
    standby_rank_ = is_standby ? std::optional(rank) : std::nullopt;
    standbys_ = standbys;
}

milliseconds feed_client::apply(const std::string& body, time_point now)
{
    const json document = parse_json(body, error_kind::bad_peer_message);
    const auto run_id = document.at("run").get<std::uint64_t>();
    const bool was_fresh = fresh(now);
    // Read as a whole first, so that a malformed reply changes nothing.
    const std::vector<received_change> changes =
        decode_changes(document.at("facts"));
    const complete_versions complete = decode_complete(document);
    const std::vector<instance_id> standbys = decode_standbys(document);
    view_.update_together([&] {
        for (const received_change& change : changes) {
            const time_point changed_since = now - change.age;
            view_.set_changes_missed_since(
                was_fresh ? changed_since
                          : std::min(changed_since, complete_until_));
            view_.update(change.object, now);
        }
    });
    view_.set_changes_missed_since(std::nullopt);
    for (const auto& [kind, version] : complete)
        view_.set_complete(kind, version);
    run_id_ = run_id;
    last_change_ = document.at("change").get<std::uint64_t>();
    view_.set_fleet_size(document.at("fleet").get<std::size_t>(), now);
    timing_ = fleet_timing(read_milliseconds(document.at("hold_ms")));
    set_standbys(standbys);
    view_complete_until_ = now - read_milliseconds(document.at("view_age_ms"));
    complete_until_ = std::max(complete_until_, *view_complete_until_);
    return read_milliseconds(document.at("store_age_ms"));
}

} // namespace filberthub
