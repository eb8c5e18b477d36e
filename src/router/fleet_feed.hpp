// The link between the coordinator and the other instances: objects in one
// direction, reports in the other, both over long polls. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_FLEET_FEED_HPP
#define FILBERTHUB_ROUTER_FLEET_FEED_HPP

#include "router/deployment_view.hpp"

#include <filberthub/net/http_client.hpp>
#include <filberthub/net/http_listener.hpp>
#include <filberthub/routing/coordinator_lease.hpp>

#include <QtCore/QTimer>

namespace filberthub {

inline constexpr const char* feed_path = "/feed";
// Where a coordinator is told that another one has taken its lease.
inline constexpr const char* stop_path = "/stop";

// What an instance tells the coordinator.
struct load_counts
{
    // Requests per key since the last report.
    std::map<service_id, std::map<key_number, std::uint32_t>> requests;
    // Typical slowdowns of servers, relative to the mean of their service.
    std::map<backend_server_id, double> slowdowns;

    bool empty() const
    {
        return requests.empty() && slowdowns.empty();
    }
};

// The coordinator's side.
// How old the coordinator's view is.
struct feed_age
{
    // Since the store answered any call.
    milliseconds store{0};
    // Since all changes of the deployment were seen.
    milliseconds view{0};
};

class feed_server
{
public:
    feed_server(deployment_view& view,
        std::function<void(const instance_id&, const load_counts&)> report);

    // Takes a poll. `run_id` identifies this coordinator's start.
    void on_poll(std::shared_ptr<http_exchange> exchange, std::uint64_t run_id,
        feed_age age, time_point now);
    // Answers the polls that have news or have waited long enough.
    void flush(std::uint64_t run_id, feed_age age, time_point now);
    // Refuses all polls, because this process coordinates no longer.
    void refuse_all();
    // Instances that polled lately, with this one.
    std::size_t fleet_size(time_point now);
    // Those of them that do not leave, without this one.
    std::vector<live_instance> members() const;

private:
    struct poll
    {
        std::shared_ptr<http_exchange> exchange;
        std::uint64_t after = 0;
        time_point until;
    };

    void answer(poll& item, std::uint64_t run_id, feed_age age);
    milliseconds hold() const;

    deployment_view& view_;
    std::function<void(const instance_id&, const load_counts&)> report_;
    std::vector<poll> polls_;
    struct seen_member
    {
        live_instance member;
        bool leaving = false;
        time_point seen;
    };

    std::map<instance_id, seen_member> members_;
};

// The side of the others. It polls whatever coordinator it is told.
class feed_client : public QObject
{
public:
    feed_client(live_instance self, deployment_view& view,
        std::function<load_counts()> take_counts,
        std::function<time_point()> clock);

    // Polls this coordinator, or nobody.
    void follow(const std::optional<lease_record>& coordinator);

    // Tells the coordinator that this instance takes no more work.
    void announce_leaving()
    {
        leaving_ = true;
    }

    // Whether the coordinator's news are as fresh as own ones would be.
    bool fresh(time_point now) const;

    // Time until which all news have come from a coordinator.
    time_point complete_until() const
    {
        return complete_until_;
    }

    // Called at each answer, with the time since the store answered the
    // coordinator.
    void on_heard(std::function<void(milliseconds)> callback)
    {
        heard_ = std::move(callback);
    }
    // The coordinator refused: it is none any more.
    void on_refused(std::function<void()> callback)
    {
        refused_ = std::move(callback);
    }

private:
    void poll();
    void on_answer(http_result result);
    // Returns the time since the store answered the coordinator.
    milliseconds apply(const std::string& body, time_point now);

    live_instance self_;
    bool leaving_ = false;
    deployment_view& view_;
    std::function<load_counts()> take_counts_;
    std::function<time_point()> clock_;
    std::function<void(milliseconds)> heard_;
    std::function<void()> refused_;
    std::unique_ptr<http_client> client_;
    std::optional<lease_record> coordinator_;
    QTimer next_;
    std::uint64_t after_ = 0;
    // Start of the coordinator process that `after_` belongs to.
    std::uint64_t run_id_ = 0;
    milliseconds hold_{400};
    // The coordinator had been in contact with the store at this time.
    std::optional<time_point> confirmed_;
    // The last value of it.
    time_point complete_until_;
};

} // namespace filberthub

#endif
