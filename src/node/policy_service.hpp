// Keeps the policy document of this instance up to date, from the store and
// from other instances.
//
//     policy.on_changed = [&] { apply(*policy.document()); };
//     policy.start();

#ifndef FILBERTHUB_NODE_POLICY_SERVICE_HPP
#define FILBERTHUB_NODE_POLICY_SERVICE_HPP

#include "node/dissemination_service.hpp"

#include <filberthub/platform/store_client.hpp>
#include <filberthub/policy/policy_root.hpp>
#include <filberthub/policy/revision_register.hpp>

#include <QtCore/QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace filberthub {

// Guarantees that the revision in force never falls and that only checked
// documents come into force.
class policy_service : public QObject
{
public:
    // `reads_store` returns whether this instance is one of those that watch
    // the store on behalf of all.
    policy_service(store_client& store, dissemination_service& dissemination,
        std::function<bool()> reads_store);

    // Copies the policy in force from the service of an earlier incarnation, so
    // that the revision of the process does not fall. Call before `start`.
    void restore(const policy_service& earlier);

    // Begins to read. Every instance makes the first read, whatever
    // `reads_store` returns.
    void start();

    // Returns the document in force; null until there is one.
    const shared_policy& document() const
    {
        return register_.document();
    }
    revision in_force() const
    {
        return register_.in_force();
    }
    // Returns the root in force; `nullopt` until a document is in force.
    const std::optional<policy_root>& root() const
    {
        return root_;
    }
    // Returns the section bodies in force.
    const std::map<section_id, json>& sections() const
    {
        return sections_;
    }

    // Reads the store now, for example after a change through this instance.
    void refresh();

    // Called after each adopted revision.
    std::function<void()> on_changed;
    // Called when the store has confirmed the revision in force, with the time
    // at which the call to the store began.
    std::function<void(time_point)> on_confirmed;

private:
    // A root whose sections are being read.
    struct pending_read
    {
        policy_root root;
        time_point started;
        std::map<section_id, json> sections;
        std::size_t missing = 0;
        bool failed = false;
    };

    void watch();
    void on_root(const store_reply& reply);
    void read_sections(policy_root root, time_point started);
    void finish_read(const std::shared_ptr<pending_read>& read);
    void adopt(policy_root root, std::map<section_id, json> sections);
    void record_digests();
    std::string encode_update(revision known) const;
    void adopt_update(const std::string& text);

    store_client* store_;
    std::function<bool()> reads_store_;
    revision_register register_;
    std::optional<policy_root> root_;
    std::map<section_id, json> sections_;
    // Digests of the sections of recent revisions, so that an instance which
    // has one of these revisions is sent only the sections that differ.
    std::map<revision, std::map<section_id, std::string>> digests_;
    // Store version of the root that was last read.
    object_version root_version_;
    bool watch_pending_ = false;
    QTimer timer_;
};

} // namespace filberthub

#endif
