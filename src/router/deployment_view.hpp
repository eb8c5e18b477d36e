// What the process knows of the deployment: routes, servers, evacuations and
// key owners, kept up to date by versioned objects. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_DEPLOYMENT_VIEW_HPP
#define FILBERTHUB_ROUTER_DEPLOYMENT_VIEW_HPP

#include <filberthub/router/route_settings.hpp>
#include <filberthub/routing/key_table.hpp>
#include <filberthub/routing/object_cache.hpp>
#include <filberthub/routing/route_table.hpp>
#include <filberthub/routing/server_pool.hpp>

#include <platform/store_api.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace filberthub {

// Who serves a key at present.
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
    // Where other instances reach it, over TCP and UDP.
    endpoint address;
    // Part of a core that it may use.
    double processor_share = 1;
};

class deployment_view
{
public:
    explicit deployment_view(const route_settings& settings);

    // Takes an object, and applies what has changed.
    void update(const versioned_object& item, time_point now);
    void update_list(platform_api::object_kind kind,
        const std::vector<versioned_object>& items, object_version version,
        time_point now);
    // Removals of servers are deferred until then, because the store was away
    // and entries lapsed meanwhile.
    void defer_removals_until(time_point until);
    // What is updated until the next call may have happened since this time.
    void set_changes_missed_since(std::optional<time_point> since);
    // Applies deferred removals whose time has come.
    void apply_deferred_removals(time_point now);

    // Called after objects were applied.
    void on_change(std::function<void()> callback);

    const object_cache& objects() const
    {
        return objects_;
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
    // Start of the present incarnation of a server, if it is registered.
    std::optional<std::uint64_t> incarnation_of(
        const backend_server_id& id) const;

    // Returns the server that serves a key now.
    std::optional<backend_server_id> owner_of(
        const service_id& service, key_number key) const;

    // Instances that do not leave, as the coordinator knows them.
    const std::vector<live_instance>& members() const
    {
        return members_;
    }
    static std::string members_text(const std::vector<live_instance>& members);

    std::size_t fleet_size() const
    {
        return fleet_size_;
    }
    // A new coordinator knows only some members at first, so that a smaller
    // size is believed only after a while.
    void set_fleet_size(std::size_t size, time_point now);
    bool ready() const
    {
        return routes_ != nullptr && has_servers_;
    }
    double uniform_random();

    // Key of the object that lists the members of the fleet.
    static constexpr const char* members_key = "fleet/members";
    // Key of the object that tells who serves the keys of a service.
    static std::string served_key(const service_id& service);
    static std::string served_text(const std::vector<key_range>& ranges);

private:
    void apply(const versioned_object& item, time_point now);
    void apply_config(const versioned_object& item);
    void apply_server(
        const std::string& name, const versioned_object& item, time_point now);
    void apply_evacuation(
        const std::string& name, const versioned_object& item, time_point now);
    void apply_members(const versioned_object& item);
    void apply_served(const std::string& service, const versioned_object& item);
    void refresh_servers(time_point now);

    object_cache objects_;
    std::shared_ptr<const route_table> routes_;
    server_pool servers_;
    std::map<backend_server_id, server_entry> entries_;
    std::map<backend_server_id, time_point> deferred_removals_;
    time_point defer_until_;
    std::optional<time_point> changes_missed_since_;
    std::set<failure_domain_id> evacuated_;
    std::map<service_id, std::vector<served_range>> served_;
    std::vector<live_instance> members_;
    std::function<void()> changed_;
    std::size_t fleet_size_;
    std::optional<time_point> fleet_size_seen_;
    bool has_servers_ = false;
    std::mt19937_64 random_;
};

} // namespace filberthub

#endif
