// Keeps the policy document of this instance up to date and makes the changes
// that operators ask for.

#ifndef FILBERTHUB_NODE_POLICY_SERVICE_HPP
#define FILBERTHUB_NODE_POLICY_SERVICE_HPP

#include "node/news_service.hpp"

#include <filberthub/platform/store_client.hpp>
#include <filberthub/policy/policy_root.hpp>
#include <filberthub/policy/revision_register.hpp>

#include <QtCore/QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace filberthub {

class policy_service : public QObject
{
public:
    // `reads_store` tells whether this instance is one of those that watch the
    // store for the others.
    policy_service(store_client& store, news_service& news,
        std::function<bool()> reads_store);

    // Takes over what is in force at a service of an earlier incarnation, so
    // that the revision of the process does not fall. To be called before
    // `start`.
    void restore(const policy_service& earlier);

    // Begins to read. The first read is made by every instance.
    void start();

    // Null until a document is in force.
    const shared_policy& document() const
    {
        return register_.document();
    }
    revision in_force() const
    {
        return register_.in_force();
    }
    // The root in force; empty until a document is.
    const std::optional<policy_root>& root() const
    {
        return root_;
    }
    // The section bodies in force.
    const std::map<section_id, json>& sections() const
    {
        return sections_;
    }

    // Reads the store now, for example after a change through this instance.
    void refresh();

    // Called after each adopted revision.
    std::function<void()> changed;
    // Called when the store has confirmed the revision in force, with the time
    // at which the call began.
    std::function<void(time_point)> confirmed;

private:
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
    void remember_digests();
    std::string bundle(revision known) const;
    void adopt_bundle(const std::string& text);

    store_client* store_;
    std::function<bool()> reads_store_;
    revision_register register_;
    std::optional<policy_root> root_;
    std::map<section_id, json> sections_;
    // Digests of the sections of the last revisions, so that a peer with one of
    // them is sent only what changed.
    std::map<revision, std::map<section_id, std::string>> digests_;
    // Version of the store object of the last read root.
    object_version root_version_;
    bool waiting_ = false;
    QTimer timer_;
};

} // namespace filberthub

#endif
