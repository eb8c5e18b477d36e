#include "node/policy_service.hpp"

#include "node/clock.hpp"
#include "node/while_alive.hpp"

#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

constexpr milliseconds retry_interval{250};
// Longest wait of a watch. The store confirms the revision in force at least
// this often, so that the confirmation is less than 3 s old throughout the
// fleet.
constexpr milliseconds watch_wait{1000};
// Number of revisions whose digests are kept.
constexpr std::size_t max_digest_revisions = 16;

} // namespace

policy_service::policy_service(store_client& store,
    dissemination_service& dissemination, std::function<bool()> reads_store)
    : store_(&store), reads_store_(std::move(reads_store))
{
    dissemination.add(policy_object,
        {.version = [this] { return object_version(in_force().value()); },
            .text =
                [this](object_version known) {
                    return encode_update(revision(known.value()));
                },
            .adopt = [this](object_version,
                         const std::string& text) { adopt_update(text); }});
    connect(&timer_, &QTimer::timeout, this, [this] {
        if (!watch_pending_ && (!document() || reads_store_()))
            watch();
    });
}

void policy_service::restore(const policy_service& earlier)
{
    register_ = earlier.register_;
    root_ = earlier.root_;
    sections_ = earlier.sections_;
}

void policy_service::start()
{
    timer_.start(retry_interval);
    refresh();
}

void policy_service::refresh()
{
    store_->get(policy_root_path,
        while_alive(
            this, [this](const store_reply& reply) { on_root(reply); }));
}

void policy_service::watch()
{
    watch_pending_ = true;
    store_->watch(policy_root_path, root_version_, watch_wait,
        while_alive(this, [this](const store_reply& reply) {
            watch_pending_ = false;
            if (reply.status == store_status::unchanged && on_confirmed &&
                document())
                on_confirmed(reply.started);
            on_root(reply);
            const bool answered = reply.status == store_status::ok ||
                                  reply.status == store_status::unchanged;
            if (answered && reads_store_() && !watch_pending_)
                watch();
        }));
}

void policy_service::on_root(const store_reply& reply)
{
    if (reply.status != store_status::ok)
        return;
    try {
        policy_root root = policy_root_from_text(reply.value);
        root_version_ = std::max(root_version_, reply.version);
        if (root.number <= in_force()) {
            if (on_confirmed && root.number == in_force())
                on_confirmed(reply.started);
            return;
        }
        read_sections(std::move(root), reply.started);
    } catch (const error& failure) {
        log_event(log_level::error, "the policy root is not valid",
            {{log_key::error, std::string_view(failure.what())}});
    }
}

void policy_service::read_sections(policy_root root, time_point started)
{
    auto read = std::make_shared<pending_read>();
    read->root = std::move(root);
    read->started = started;
    for (const auto& [section, entry] : read->root.sections) {
        if (entry.digest.empty())
            continue;
        const bool unchanged =
            root_ && root_->sections.contains(section) &&
            root_->sections.at(section).digest == entry.digest;
        if (unchanged)
            read->sections[section] = sections_.at(section);
        else
            ++read->missing;
    }
    if (read->missing == 0) {
        finish_read(read);
        return;
    }
    for (const auto& [section, entry] : read->root.sections) {
        if (entry.digest.empty() || read->sections.contains(section))
            continue;
        store_->get(section_path(section, entry.digest),
            while_alive(this, [this, read, id = section, digest = entry.digest](
                                  const store_reply& body) {
                --read->missing;
                try {
                    if (body.status != store_status::ok ||
                        digest_of(body.value) != digest)
                        read->failed = true;
                    else
                        read->sections[id] = parse_policy_text(body.value);
                } catch (const error&) {
                    read->failed = true;
                }
                if (read->missing == 0)
                    finish_read(read);
            }));
    }
}

void policy_service::finish_read(const std::shared_ptr<pending_read>& read)
{
    if (read->failed) {
        // The next watch reads the root again.
        root_version_ = object_version();
        return;
    }
    try {
        const revision number = read->root.number;
        adopt(std::move(read->root), std::move(read->sections));
        if (on_confirmed && number == in_force())
            on_confirmed(read->started);
    } catch (const error& failure) {
        log_event(log_level::error, "rejected a policy revision",
            {{log_key::revision, read->root.number.value()},
                {log_key::error, std::string_view(failure.what())}});
    }
}

void policy_service::record_digests()
{
    auto& digests = digests_[in_force()];
    for (const auto& item : sections_)
        digests[item.first] = root_->sections.at(item.first).digest;
    while (digests_.size() > max_digest_revisions)
        digests_.erase(digests_.begin());
}

void policy_service::adopt(
    policy_root root, std::map<section_id, json> sections)
{
    auto document = std::make_shared<const policy_document>(
        check_policy(sections, root.out_of_service()));
    if (!register_.offer(root.number, std::move(document)))
        return;
    root_ = std::move(root);
    sections_ = std::move(sections);
    record_digests();
    log_event(log_level::info, "a policy revision is in force",
        {{log_key::revision, in_force().value()}});
    if (on_changed)
        on_changed();
}

// Returns the root and the sections that differ from those of revision `known`.
std::string policy_service::encode_update(revision known) const
{
    const auto earlier = digests_.find(known);
    json sections = json::object();
    for (const auto& [id, body] : sections_) {
        const bool same =
            earlier != digests_.end() && earlier->second.contains(id) &&
            earlier->second.at(id) == root_->sections.at(id).digest;
        if (!same)
            sections[id.value()] = body;
    }
    return json{{"root", to_text(*root_)}, {"sections", sections}}.dump();
}

void policy_service::adopt_update(const std::string& text)
{
    const json document = parse_policy_text(text);
    json_reader reader(document, error_kind::bad_policy);
    policy_root root = policy_root_from_text(reader.string("root"));
    const json& bodies = reader.value("sections");
    std::map<section_id, json> sections;
    for (const auto& [section, entry] : root.sections) {
        if (entry.digest.empty())
            continue;
        const bool unchanged =
            root_ && root_->sections.contains(section) &&
            root_->sections.at(section).digest == entry.digest;
        if (unchanged) {
            sections[section] = sections_.at(section);
            continue;
        }
        const auto found = bodies.find(section.value());
        if (found == bodies.end() ||
            digest_of(canonical_text(*found)) != entry.digest) {
            throw error(error_kind::bad_policy,
                "section \"" + section.value() +
                    "\" does not match its digest in the root");
        }
        sections[section] = *found;
    }
    adopt(std::move(root), std::move(sections));
}

} // namespace filberthub
