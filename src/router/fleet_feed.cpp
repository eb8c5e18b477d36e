#include "router/fleet_feed.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// An answer to each instance this often costs the coordinator little and shows
// a lost one soon.
constexpr milliseconds shortest_hold{400};
// Keeps the coordinator's work constant in large fleets.
constexpr milliseconds hold_per_instance{6};
constexpr milliseconds answer_slack{600};
constexpr milliseconds retry_delay{250};
// An instance that was silent this long has left.
constexpr milliseconds member_timeout{1'500};
// Together with the own watch that begins then, news still arrive within the
// platform's tightest bound of 2 s.
constexpr milliseconds longest_age{1'150};

json counts_json(const load_counts& counts)
{
    json requests = json::object();
    for (const auto& [service, keys] : counts.requests) {
        json rows = json::array();
        for (const auto& [key, count] : keys)
            rows.push_back({key, count});
        requests[service.value()] = std::move(rows);
    }
    json slowdowns = json::object();
    for (const auto& [server, slowdown] : counts.slowdowns)
        slowdowns[server.value()] = slowdown;
    return {{"requests", requests}, {"paces", slowdowns}};
}

load_counts counts_from(const json& document)
{
    load_counts counts;
    for (const auto& [service, rows] : document.at("requests").items()) {
        auto& keys = counts.requests[service_id(service)];
        for (const json& row : rows)
            keys[row.at(0).get<key_number>()] += row.at(1).get<std::uint32_t>();
    }
    for (const auto& [server, time] : document.at("paces").items())
        counts.slowdowns[backend_server_id(server)] = time.get<double>();
    return counts;
}

http_response plain(int status, const std::string& body)
{
    http_response response;
    response.status = status;
    response.body = body;
    return response;
}

} // namespace

feed_server::feed_server(deployment_view& view,
    std::function<void(const instance_id&, const load_counts&)> report)
    : view_(view), report_(std::move(report))
{}

milliseconds feed_server::hold() const
{
    return std::max(
        shortest_hold, hold_per_instance * static_cast<int>(members_.size()));
}

void feed_server::on_poll(std::shared_ptr<http_exchange> exchange,
    std::uint64_t run_id, feed_age age, time_point now)
{
    try {
        const json document =
            parse_json(exchange->request().body, error_kind::bad_peer_message);
        const instance_id sender(document.at("instance").get<std::string>());
        members_[sender] = {
            {sender,
                endpoint_from_string(document.at("address").get<std::string>()),
                document.at("processor_share").get<double>()},
            document.at("leaving").get<bool>(), now};
        report_(sender, counts_from(document.at("counts")));
        poll item;
        item.exchange = std::move(exchange);
        // Another process counted its changes in another way.
        item.after = document.at("run").get<std::uint64_t>() == run_id
                         ? document.at("after").get<std::uint64_t>()
                         : 0;
        item.until = now + hold();
        if (view_.objects().last_change() > item.after) {
            answer(item, run_id, age);
            return;
        }
        polls_.push_back(std::move(item));
    } catch (const json::exception& failure) {
        log_event(log_level::warn, "poll of an instance is malformed",
            {{log_key::error, failure.what()}});
        exchange->respond(plain(400, failure.what()));
    } catch (const error& failure) {
        log_event(log_level::warn, "poll of an instance is malformed",
            {{log_key::error, failure.what()}});
        exchange->respond(plain(400, failure.what()));
    }
}

void feed_server::answer(poll& item, std::uint64_t run_id, feed_age age)
{
    json objects = json::array();
    for (const versioned_object& object :
        view_.objects().changes_after(item.after)) {
        objects.push_back({object.key, object.version.value(),
            object.value ? json(*object.value) : json(nullptr)});
    }
    item.exchange->respond(plain(200,
        json{{"run", run_id}, {"change", view_.objects().last_change()},
            {"facts", objects}, {"fleet", view_.fleet_size()},
            {"hold_ms", hold().count()}, {"store_age_ms", age.store.count()},
            {"view_age_ms", age.view.count()}}
            .dump(-1, ' ', false, json::error_handler_t::replace)));
}

void feed_server::flush(std::uint64_t run_id, feed_age age, time_point now)
{
    std::vector<poll> waiting;
    waiting.swap(polls_);
    for (poll& item : waiting) {
        if (now >= item.until || view_.objects().last_change() > item.after)
            answer(item, run_id, age);
        else
            polls_.push_back(std::move(item));
    }
}

void feed_server::refuse_all()
{
    std::vector<poll> waiting;
    waiting.swap(polls_);
    members_.clear();
    for (poll& item : waiting)
        item.exchange->respond(plain(409, "not the coordinator"));
}

std::size_t feed_server::fleet_size(time_point now)
{
    std::erase_if(members_, [now](const auto& member) {
        return now >= member.second.seen + member_timeout;
    });
    return members_.size() + 1;
}

std::vector<live_instance> feed_server::members() const
{
    std::vector<live_instance> result;
    for (const auto& [id, seen] : members_) {
        if (!seen.leaving)
            result.push_back(seen.member);
    }
    return result;
}

feed_client::feed_client(live_instance self, deployment_view& view,
    std::function<load_counts()> take_counts, std::function<time_point()> clock)
    : self_(std::move(self)),
      view_(view),
      take_counts_(std::move(take_counts)),
      clock_(std::move(clock))
{
    next_.setSingleShot(true);
    connect(&next_, &QTimer::timeout, this, [this] { poll(); });
}

void feed_client::follow(const std::optional<lease_record>& coordinator)
{
    const bool same = coordinator && coordinator_ &&
                      coordinator->run_id == coordinator_->run_id &&
                      coordinator->address == coordinator_->address;
    if (same || (!coordinator && !coordinator_))
        return;
    coordinator_ = coordinator;
    confirmed_.reset();
    next_.stop();
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
    next_.start(0);
}

bool feed_client::fresh(time_point now) const
{
    return confirmed_ && now < *confirmed_ + longest_age + hold_;
}

void feed_client::poll()
{
    if (!client_ || client_->calls() > 0)
        return;
    http_request request;
    request.method = "POST";
    request.target = feed_path;
    request.body = json{{"instance", self_.id.value()},
        {"address", to_string(self_.address)},
        {"processor_share", self_.processor_share}, {"leaving", leaving_},
        {"run", run_id_}, {"after", after_},
        {"counts", counts_json(take_counts_())}}
                       .dump();
    client_->send(std::move(request), hold_ + answer_slack,
        [this](http_result result) { on_answer(std::move(result)); });
}

void feed_client::on_answer(http_result result)
{
    if (!result.response) {
        confirmed_.reset();
        next_.start(retry_delay);
        return;
    }
    if (result.response->status != 200) {
        confirmed_.reset();
        next_.start(retry_delay);
        if (refused_)
            refused_();
        return;
    }
    milliseconds age{0};
    try {
        age = apply(result.response->body, clock_());
    } catch (const json::exception& failure) {
        log_event(log_level::warn, "answer of the coordinator is malformed",
            {{log_key::error, failure.what()}});
        next_.start(retry_delay);
        return;
    }
    next_.start(0);
    if (heard_)
        heard_(age);
}

milliseconds feed_client::apply(const std::string& body, time_point now)
{
    const json document = json::parse(body);
    const auto run_id = document.at("run").get<std::uint64_t>();
    if (!fresh(now))
        view_.set_changes_missed_since(complete_until_);
    for (const json& row : document.at("facts")) {
        versioned_object item;
        item.key = row.at(0).get<std::string>();
        item.version = object_version(row.at(1).get<std::uint64_t>());
        if (!row.at(2).is_null())
            item.value = row.at(2).get<std::string>();
        view_.update(item, now);
    }
    view_.set_changes_missed_since(std::nullopt);
    run_id_ = run_id;
    after_ = document.at("change").get<std::uint64_t>();
    view_.set_fleet_size(document.at("fleet").get<std::size_t>(), now);
    hold_ = milliseconds(document.at("hold_ms").get<std::int64_t>());
    confirmed_ =
        now - milliseconds(document.at("view_age_ms").get<std::int64_t>());
    complete_until_ = std::max(complete_until_, *confirmed_);
    return milliseconds(document.at("store_age_ms").get<std::int64_t>());
}

} // namespace filberthub
