// Reads, disseminates and plans the ownership tables of the keyed services.
//
//     ownership.start();
//     ownership.apply_policy();
//     const ownership_table* table = ownership.find(service);

#ifndef FILBERTHUB_NODE_OWNERSHIP_SERVICE_HPP
#define FILBERTHUB_NODE_OWNERSHIP_SERVICE_HPP

#include "node/dissemination_service.hpp"

#include <filberthub/ownership/ownership_planner.hpp>
#include <filberthub/ownership/table_codec.hpp>
#include <filberthub/platform/store_client.hpp>
#include <filberthub/policy/revision_register.hpp>

#include <QtCore/QObject>
#include <QtCore/QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace filberthub {

// What the service needs from the rest of the node.
struct ownership_environment
{
    region_id region;
    store_client* store = nullptr;
    dissemination_service* dissemination = nullptr;
    std::function<shared_policy()> policy;
    // Position among the planners; `nullopt` if this instance is not a member.
    std::function<std::optional<std::size_t>()> rank;
    // Highest table version that all holders of the service have completed.
    std::function<table_version(const service_id&)> settled_version;
};

// Guarantees that an adopted table only follows one of a lower version, and
// that a server which `report` last called lost owns no group in a table that
// this instance plans.
class ownership_service : public QObject
{
public:
    explicit ownership_service(ownership_environment environment);

    // Starts the timer of the planning.
    void start();

    // Call after each change of the policy.
    void apply_policy();

    // Returns the table, or null while none is known. The pointer is valid
    // until the next table of the service is adopted.
    const ownership_table* find(const service_id& service) const;

    // Call when this instance holds `server` and finds it lost or serving
    // again. Plans at once.
    void report(const service_id& service, const backend_server_id& server,
        server_state state);
    // Call when this instance no longer holds the server.
    void forget(const service_id& service, const backend_server_id& server);

    // Called after a newer table of the service was adopted.
    std::function<void(const service_id&)> on_changed;

private:
    // The table of one service.
    struct service_state
    {
        std::optional<ownership_table> table;
        // Version of the store object and of the table in it.
        object_version store_version;
        table_version stored_version;
        bool store_read = false;
        bool store_call_pending = false;
        bool needs_planning = false;
        // Since when the planner has found a change that is not committed.
        std::optional<time_point> change_needed_since;
        // States of the held servers as reported.
        std::map<backend_server_id, server_state> observed;
    };

    void tick(time_point now);
    void read(const service_id& service);
    void adopt(const service_id& service, ownership_table table);
    void plan(const service_id& service, service_state& state, time_point now);
    std::vector<planned_server> planned_servers(
        const service_policy& policy, const service_state& state) const;
    void commit(const service_id& service, const ownership_table& table);
    std::string path_of(const service_id& service) const;

    ownership_environment environment_;
    std::map<service_id, service_state> services_;
    QTimer timer_;
};

} // namespace filberthub

#endif
