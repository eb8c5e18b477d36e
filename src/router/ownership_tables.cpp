// Reads and writes of the ownership tables by `ownership_controller`, and what
// it publishes of them.

#include "router/ownership_controller.hpp"

#include <filberthub/base/json_text.hpp>
#include <filberthub/telemetry/log.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

namespace filberthub {
namespace {

using platform_api::object_kind;
using platform_api::store_outcome;

constexpr milliseconds table_read_retry{400};
constexpr milliseconds heavy_key_check_interval{1'000};

} // namespace

void ownership_controller::read_tables()
{
    table_read_open_ = true;
    store_.call(platform_api::list_call(object_kind::key_ownership, ""),
        [this, alive = alive_](store_outcome outcome, const std::string& body) {
            if (!*alive)
                return;
            table_read_open_ = false;
            next_table_read_ = clock_() + table_read_retry;
            if (outcome == store_outcome::not_found) {
                tables_read_ = true;
                return;
            }
            if (outcome != store_outcome::done)
                return;
            try {
                const auto page = platform_api::decode_list(
                    object_kind::key_ownership, body, store_.epoch());
                unreadable_tables_.clear();
                for (const versioned_object& object : page.objects)
                    read_table(object);
                tables_read_ = true;
            } catch (const error& failure) {
                log_event(log_level::error, "ownership tables are malformed",
                    {{log_key::error, shorten(failure.what())}});
            }
        });
}

// A table that cannot be read keeps only the keys of its own service from being
// granted: who holds them is not known.
void ownership_controller::read_table(const versioned_object& object)
{
    const service_id id(
        *platform_api::object_name(object_kind::key_ownership, object.key));
    try {
        stored_tables_[id] = {key_table::from_text(*object.value),
            platform_api::store_revision_of(object.version)};
    } catch (const error& failure) {
        unreadable_tables_.insert(id);
        count_rejected(rejected_input::ownership_table);
        log_event(log_level::error, "ownership table is malformed",
            {{log_key::service, id.value()},
                {log_key::error, shorten(failure.what())}});
    }
}

void ownership_controller::write(const service_id& id, const table_write& table)
{
    const std::string& name = id.value();
    const auto base = store_.plain_revision(table.base_revision);
    if (!base) {
        services_.at(id).needs_read_back = true;
        return;
    }
    http_request request =
        *base == 0 ? platform_api::create_call(
                         object_kind::key_ownership, name, table.text)
                   : platform_api::replace_call(
                         object_kind::key_ownership, name, *base, table.text);
    store_.call(
        std::move(request), [this, alive = alive_, id](store_outcome outcome,
                                const std::string& body) {
            if (*alive)
                on_write_reply(id, outcome, body);
        });
}

void ownership_controller::on_write_reply(
    const service_id& id, store_outcome outcome, const std::string& body)
{
    service_ownership& service = services_.at(id);
    if (outcome == store_outcome::refused) {
        service.keys.on_write_failed();
        return;
    }
    if (outcome != store_outcome::done) {
        // The write may have succeeded; reading the object decides.
        service.needs_read_back = true;
        return;
    }
    try {
        const auto object = platform_api::decode_object(body, store_.epoch());
        service.keys.on_written(object.store_revision, clock_());
        service.committed_at = clock_();
        log_event(log_level::info, "ownership table committed",
            {{log_key::service, id.value()},
                {"ranges", service.keys.table().ranges.size()},
                {"store_version", object.store_revision}});
        advance(clock_());
    } catch (const error& failure) {
        log_event(log_level::warn, "reply to a table write is malformed",
            {{log_key::error, failure.what()}});
        service.needs_read_back = true;
    }
}

void ownership_controller::read_back(const service_id& id)
{
    service_ownership& service = services_.at(id);
    service.needs_read_back = false;
    store_.call(platform_api::read_call(object_kind::key_ownership, id.value()),
        [this, alive = alive_, id](
            store_outcome outcome, const std::string& body) {
            if (!*alive)
                return;
            service_ownership& current = services_.at(id);
            if (clock_() < unseen_grants_end_) {
                current.needs_read_back = true;
                return;
            }
            if (outcome == store_outcome::not_found) {
                current.keys.on_write_undecided(store_.absent_revision());
                return;
            }
            if (outcome != store_outcome::done) {
                current.needs_read_back = true;
                return;
            }
            try {
                const auto object =
                    platform_api::decode_object(body, store_.epoch());
                const bool committed = current.keys.on_read_back(
                    key_table::from_text(object.content), object.store_revision,
                    clock_());
                if (committed)
                    current.committed_at = clock_();
                log_event(log_level::info, "ownership table read back",
                    {{log_key::service, id.value()}, {"committed", committed},
                        {"store_version", object.store_revision}});
            } catch (const error& failure) {
                log_event(log_level::warn, "ownership table is malformed",
                    {{log_key::error, failure.what()}});
                current.needs_read_back = true;
            }
        });
}

void ownership_controller::publish(
    const service_id& id, service_ownership& service, time_point now)
{
    const key_granter& granter = service.keys.granter();
    if (service.published_version == granter.granted_version())
        return;
    service.published_version = granter.granted_version();
    const auto parts = deployment_view::encode_served_ranges(granter.granted());
    service.published_parts.resize(parts.size());
    view_.update_together([&] {
        for (std::size_t part = 0; part < parts.size(); ++part) {
            if (service.published_parts[part] == parts[part])
                continue;
            service.published_parts[part] = parts[part];
            publish_part(id, part, parts[part], now);
        }
    });
}

void ownership_controller::publish_part(const service_id& id, std::size_t part,
    const std::string& text, time_point now)
{
    const std::string key = deployment_view::served_key(id, part);
    // This process may have published in the same term before its lease lapsed.
    const versioned_object* known = view_.objects().find(key);
    const object_version first = published_version(term_, 0);
    if (known != nullptr && known->version >= first &&
        known->version < published_version(term_ + 1, 0)) {
        publication_count_ = std::max(
            publication_count_, known->version.value() - first.value());
    }
    ++publication_count_;
    view_.update(
        {key, published_version(term_, publication_count_), text}, now);
}

void ownership_controller::report_heavy_keys(const service_id& id,
    service_ownership& service, const std::vector<key_server>& servers,
    time_point now)
{
    if (now < service.next_heavy_key_check)
        return;
    service.next_heavy_key_check = now + heavy_key_check_interval;
    const std::size_t before = service.heavy_keys.size();
    service.heavy_keys = service.keys.keys_beyond_capacity(servers);
    if (service.heavy_keys.size() <= before)
        return;
    log_event(log_level::warn, "a key has more load than any server can take",
        {{log_key::service, id.value()}, {"key", service.heavy_keys.front()},
            {"keys", service.heavy_keys.size()}});
}

} // namespace filberthub
