// The ownership tables of the keyed services: reading, spreading, planning.

#ifndef FILBERTHUB_NODE_OWNERSHIP_SERVICE_HPP
#define FILBERTHUB_NODE_OWNERSHIP_SERVICE_HPP

#include "node/news_service.hpp"

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

struct ownership_environment
{
    region_id region;
    store_client* store = nullptr;
    news_service* news = nullptr;
    std::function<shared_policy()> policy;
    // Position among the planners; empty if this instance is no member.
    std::function<std::optional<std::size_t>()> rank;
    // Highest table version that all holders of the service have finished.
    std::function<table_version(const service_id&)> settled;
};

// Guarantees that a table only follows a lower version, and that a server which
// this instance reported as lost owns no group in a table it plans.
class ownership_service : public QObject
{
public:
    explicit ownership_service(ownership_environment environment);

    void start();

    // To be called after each change of the policy.
    void apply_policy();

    // Returns the table, or null while none is known.
    const ownership_table* find(const service_id& service) const;

    // To be called by the holder of `server` when it sees that the server is
    // lost or serves again. Plans at once.
    void report(const service_id& service, const backend_server_id& server,
        server_state state);
    // To be called when this instance no longer holds the server.
    void forget(const service_id& service, const backend_server_id& server);

    // Called after a newer table of the service was adopted.
    std::function<void(const service_id&)> changed;

private:
    struct entry
    {
        std::optional<ownership_table> table;
        // Version of the store object and of the table in it.
        object_version store_version;
        table_version stored;
        bool store_read = false;
        bool busy = false;
        bool dirty = false;
        std::optional<time_point> change_wanted;
        std::map<backend_server_id, server_state> observed;
    };

    void tick(time_point now);
    void read(const service_id& service);
    void adopt(const service_id& service, ownership_table table);
    void plan(const service_id& service, entry& item, time_point now);
    std::vector<planned_server> planned_servers(
        const service_policy& policy, const entry& item) const;
    void commit(const service_id& service, const ownership_table& table);
    std::string path_of(const service_id& service) const;

    ownership_environment environment_;
    std::map<service_id, entry> entries_;
    QTimer timer_;
};

} // namespace filberthub

#endif
