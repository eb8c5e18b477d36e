// The view that a routing process has of the deployment: routes, servers,
// evacuations and key owners, built from versioned objects. Internal to
// `router`.
//
//     deployment_view view(settings);
//     view.on_change([&] { retry_waiting_requests(); });
//     view.update(object, now);
//     if (auto owner = view.owner_of(service, key))
//         send_to(*owner);

#ifndef FILBERTHUB_ROUTER_DEPLOYMENT_VIEW_HPP
#define FILBERTHUB_ROUTER_DEPLOYMENT_VIEW_HPP

#include <filberthub/router/route_settings.hpp>
#include <filberthub/routing/key_table.hpp>
#include <filberthub/routing/object_cache.hpp>
#include <filberthub/routing/route_table.hpp>
#include <filberthub/routing/server_pool.hpp>
#include <filberthub/routing/store_epoch.hpp>

#include <platform/store_api.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace filberthub {

// A range of keys and the server that serves it now.
struct served_range
{
    key_number first = 0;
    key_number last = 0;
    backend_server_id owner;
};

// An instance that takes part in the work of the fleet.
struct live_instance
{
    instance_id id;
    // Address at which other instances reach it, over TCP and UDP.
    endpoint address;
    // Share of one processor core that it may use.
    double processor_share = 1;
};

// Guarantees that an object only changes the view if its version is newer than
// the known one, whether it comes from the store or from the coordinator. A
// malformed configuration is logged and leaves the previous one in force.
class deployment_view
{
public:
    explicit deployment_view(const route_settings& settings);

    // Applies an object if its version is newer than the known one.
    void update(const versioned_object& object, time_point now);
    // Applies a complete list of the objects of a kind. Known objects of this
    // kind that it lacks are removed.
    void update_list(platform_api::object_kind kind,
        const std::vector<versioned_object>& objects, object_version version,
        time_point now);
    // Defers removals of servers that are not draining until this time. To be
    // called after an outage of the store, in which server entries lapsed.
    void defer_removals_until(time_point until);
    // Declares that the updates up to the next call of this function may report
    // changes that happened at any time since `since`.
    void set_changes_missed_since(std::optional<time_point> since);
    // Returns how long ago the last change of an object may have happened, or 0
    // if the object is not known.
    milliseconds max_change_age(const std::string& key, time_point now) const;
    // Applies the deferred removals that are due. To be called at each tick.
    void apply_deferred_removals(time_point now);

    // Sets whether each update of a server is logged, as one instance of the
    // fleet should do. Others log servers that start to drain or are removed.
    void log_all_updates(bool enabled)
    {
        logs_all_updates_ = enabled;
    }

    // Applies objects together: the function set with `on_change` is called
    // once at the end.
    template <class Function>
    void update_together(const Function& function)
    {
        ++open_batches_;
        function();
        if (--open_batches_ == 0)
            end_batch();
    }

    // Sets the function that is called each time after objects were applied.
    void on_change(std::function<void()> callback);

    const object_cache& objects() const
    {
        return objects_;
    }
    // To be called when all changes of the objects of `kind` up to `version`
    // were applied.
    void set_complete(const std::string& kind, object_version version)
    {
        objects_.set_complete(kind, version);
    }
    std::shared_ptr<const route_table> routes() const
    {
        return routes_;
    }
    server_pool& servers()
    {
        return servers_;
    }
    const server_pool& servers() const
    {
        return servers_;
    }
    bool evacuated(const failure_domain_id& domain) const
    {
        return evacuated_.contains(domain);
    }
    // Returns the start of the current incarnation of a server, or nothing if
    // the server is not registered.
    std::optional<std::uint64_t> incarnation_of(
        const backend_server_id& id) const;

    // Returns the server that serves a key now, or nothing if there is none.
    std::optional<backend_server_id> owner_of(
        const service_id& service, key_number key) const;

    // The instances that the coordinator has listed as live and not leaving.
    const std::vector<live_instance>& members() const
    {
        return members_;
    }
    // Returns the largest processor share that a member has had, or 0 if no
    // members were known yet. A new coordinator knows only some at first.
    double largest_processor_share() const
    {
        return largest_processor_share_;
    }
    // Changes whenever the members change.
    std::uint64_t members_version() const
    {
        return members_version_;
    }
    // Returns the content of the object at `members_key`.
    static std::string encode_members(
        const std::vector<live_instance>& members);

    std::size_t fleet_size() const
    {
        return fleet_size_;
    }
    // Sets the number of instances. A smaller number is accepted only some time
    // after the last accepted one, because a new coordinator knows only some of
    // the members at first.
    void set_fleet_size(std::size_t size, time_point now);
    // Whether the routes and the servers are known, so that requests can be
    // served.
    bool ready() const
    {
        return routes_ != nullptr && servers_known_;
    }
    // Returns a random number, uniformly distributed in [0, 1).
    double uniform_random();

    // Key of the object that lists the members of the fleet.
    static constexpr const char* members_key = "fleet/members";
    // The keys of a service are divided into this number of equal parts, and
    // the owners of each part are one object, so that a move of keys changes a
    // small object only.
    static constexpr std::size_t served_parts = 64;
    // Returns the key of the object that lists the served key ranges of one
    // part of the keys of a service.
    static std::string served_key(const service_id& service, std::size_t part);
    // Returns the contents of the objects at `served_key`, in the order of the
    // parts. `ranges` are sorted and do not overlap.
    static std::vector<std::string> encode_served_ranges(
        const std::vector<key_range>& ranges);

private:
    void apply(const versioned_object& object, time_point now);
    // To be called with each object before it is merged. The first one of a
    // later epoch of the store defers removals of servers.
    void note_epoch(const versioned_object& object, time_point now);
    // Returns a configuration of a later epoch with the content in force, if
    // its own is older or missing.
    versioned_object newest_configuration(const versioned_object& object) const;
    // The same for the list at `version`. Missing ones are added.
    std::vector<versioned_object> newest_configurations(
        std::vector<versioned_object> objects, object_version version) const;
    // Returns whether an incarnation is leaving, by this entry or by one of an
    // earlier epoch, and remembers it.
    bool note_leaving(
        const server_entry& entry, object_version version, time_point now);
    void apply_config(const versioned_object& object);
    template <class Name, class Function>
    static void apply_named(const std::string& text, const Function& function);
    void apply_server(const backend_server_id& id,
        const versioned_object& object, time_point now);
    void apply_evacuation(const failure_domain_id& domain,
        const versioned_object& object, time_point now);
    static bool is_served_key(const std::string& key);
    void apply_published(const versioned_object& object);
    void apply_members(const versioned_object& object);
    void apply_served(const versioned_object& object);
    void report_change();
    // Whether the update of a server is logged.
    bool is_news(const server_entry& entry) const
    {
        return first_servers_logged_ && (logs_all_updates_ || entry.draining);
    }
    void end_batch();
    void refresh_servers(time_point now);

    object_cache objects_;
    std::shared_ptr<const route_table> routes_;
    server_pool servers_;
    std::map<backend_server_id, server_entry> entries_;
    std::map<backend_server_id, time_point> deferred_removals_;
    time_point defer_until_;
    // Highest epoch of an object of the store; nothing before the first object.
    std::optional<store_epoch> epoch_;
    struct leaving_server
    {
        std::uint64_t started = 0;
        object_version version;
        time_point seen_at;
    };
    // Servers whose entries have said that they drain.
    std::map<backend_server_id, leaving_server> leaving_;
    std::optional<time_point> changes_missed_since_;
    // By key, the earliest time at which the last change may have happened.
    std::map<std::string, time_point> changed_since_;
    std::set<failure_domain_id> evacuated_;
    // By key of the published object.
    std::map<std::string, std::vector<served_range>> served_;
    std::vector<live_instance> members_;
    std::uint64_t members_version_ = 0;
    double largest_processor_share_ = 0;
    unsigned open_batches_ = 0;
    bool change_pending_ = false;
    // Whether the first entries of servers were logged as a number.
    bool first_servers_logged_ = false;
    bool logs_all_updates_ = false;
    std::function<void()> change_callback_;
    std::size_t fleet_size_;
    std::optional<time_point> fleet_size_updated_;
    bool servers_known_ = false;
    std::mt19937_64 random_;
};

} // namespace filberthub

#endif
