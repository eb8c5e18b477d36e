#include "routing/store_epoch_model.hpp"

#include <filberthub/routing/coordinator_lease.hpp>
#include <filberthub/routing/key_coordinator.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace filberthub {
namespace {

constexpr std::size_t server_count = 3;
constexpr std::size_t process_count = 3;

int random_below(int end)
{
    return *rc::gen::inRange(0, end);
}

struct late_write
{
    time_point due;
    stored_object model_store::*object;
    std::uint64_t plain = 0;
    std::string text;
};

struct late_command
{
    time_point due;
    time_point arrival;
    std::size_t server = 0;
    grant_command command;
};

struct process
{
    // `run` tells the processes with one number apart.
    process(std::size_t number, std::uint64_t run, time_point start)
        : lease(self(number, run), lease_options{}), starts_at(start)
    {}

    static lease_record self(std::size_t number, std::uint64_t run)
    {
        lease_record record;
        record.holder = instance_id("i" + std::to_string(number));
        record.address = {"10.0.0.1", 7'000};
        record.run_id = 1'000'000 * (number + 1) + 1'000 * run;
        return record;
    }

    coordinator_lease lease;
    std::unique_ptr<key_coordinator> keys;
    store_epoch epoch;
    // When it starts. Until then it does nothing.
    time_point starts_at;
    bool seen_store = false;
    bool read_back = false;
    bool table_may_be_lost = false;
    bool cut_off = false;
    std::array<bool, server_count> server_cut{};
};

// Processes that compete for the lease of a store that is restored from older
// copies, with cut links, lost replies and writes that are carried out late.
class drill
{
public:
    drill()
    {
        // All start within 0.3 s, and some begin to use the store later.
        for (std::size_t number = 0; number < process_count; ++number) {
            process& item = processes_.emplace_back(
                number, 0, now_ + milliseconds(random_below(300)));
            item.lease.on_first_start(item.starts_at);
            item.cut_off = random_below(4) == 0;
        }
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            now_ += milliseconds(*rc::gen::inRange(20, 500));
            disturb();
            run_late();
            for (process& item : processes_) {
                if (now_ >= item.starts_at && random_below(12) != 0)
                    tick(item);
            }
            for (std::size_t index = 0; index < sample_count; ++index) {
                int holders = 0;
                for (const model_server& server : servers_)
                    holders += server.held_until[index] > now_ ? 1 : 0;
                RC_ASSERT(holders <= 1);
            }
        }
    }

private:
    void disturb()
    {
        copies_.push_back({now_, store_});
        std::erase_if(copies_, [this](const auto& item) {
            return item.first + milliseconds(9'000) < now_;
        });
        if (random_below(50) == 0) {
            const std::uint64_t next = store_.epoch.value() + 1;
            store_ = copies_[static_cast<std::size_t>(random_below(
                                 static_cast<int>(copies_.size())))]
                         .second;
            store_.epoch = store_epoch(next);
            copies_.clear();
            if (random_below(3) == 0)
                restart_all();
        }
        if (random_below(40) == 0)
            restart(random_below(process_count));
        lose_objects();
        process& item = processes_[random_below(process_count)];
        if (random_below(10) == 0)
            item.cut_off = !item.cut_off;
        if (random_below(10) == 0) {
            bool& cut = item.server_cut[random_below(server_count)];
            cut = !cut;
        }
    }

    // A copy may lack the lease, the table or both, whatever its age.
    void lose_objects()
    {
        if (copies_.empty() || random_below(20) != 0)
            return;
        model_store& copy = copies_[static_cast<std::size_t>(random_below(
                                        static_cast<int>(copies_.size())))]
                                .second;
        if (random_below(2) == 0)
            copy.lease = {};
        if (random_below(2) == 0)
            copy.table = {};
    }

    // A killed process starts again and remembers nothing.
    void restart(int number)
    {
        const auto index = static_cast<std::size_t>(number);
        processes_[index] = process(
            index, ++runs_, now_ + milliseconds(*rc::gen::inRange(0, 1'500)));
    }

    void restart_all()
    {
        for (std::size_t number = 0; number < process_count; ++number)
            restart(static_cast<int>(number));
    }

    void run_late()
    {
        std::erase_if(writes_, [this](const late_write& item) {
            if (item.due > now_)
                return false;
            store_.write(item.object, item.plain, item.text);
            return true;
        });
        std::erase_if(commands_, [this](const late_command& item) {
            if (item.due > now_)
                return false;
            servers_[item.server].run(item.command, item.arrival);
            return true;
        });
    }

    // The process gets a reply of the store.
    void contact(process& item)
    {
        if (item.epoch == store_.epoch)
            return;
        item.epoch = store_.epoch;
        if (!std::exchange(item.seen_store, true))
            return;
        item.lease.on_epoch(item.epoch, now_);
        if (item.keys) {
            item.keys->on_epoch(item.epoch, item.lease.unseen_grants_end(),
                item.table_may_be_lost);
            item.read_back = true;
        }
    }

    std::uint64_t combined(std::uint64_t plain) const
    {
        return combined_revision(store_.epoch, plain);
    }

    // Returns the revision of a write that is confirmed, or nothing.
    std::optional<std::uint64_t> write(process& item,
        stored_object model_store::*object, std::uint64_t base,
        const std::string& text)
    {
        const std::uint64_t plain = base - combined_revision(item.epoch, 0);
        if (epoch_of_revision(base) != item.epoch || item.cut_off)
            return std::nullopt;
        const int outcome = random_below(8);
        if (outcome == 0) {
            writes_.push_back({now_ + milliseconds(random_below(6'000)), object,
                plain, text});
            return std::nullopt;
        }
        const bool same_epoch = item.epoch == store_.epoch;
        const bool done = store_.write(object, plain, text);
        if (outcome == 1)
            return std::nullopt;
        contact(item);
        if (!done || !same_epoch)
            return std::nullopt;
        return combined((store_.*object).revision);
    }

    void read_lease(process& item)
    {
        if (item.cut_off)
            return;
        contact(item);
        std::optional<lease_record> record;
        if (store_.lease.revision > 0)
            record = lease_record::from_text(store_.lease.text);
        item.lease.on_read(record, combined(store_.lease.revision), now_);
    }

    void tick(process& item)
    {
        if (!item.lease.is_holder() || item.lease.needs_read())
            read_lease(item);
        if (const auto next = item.lease.next_write(now_)) {
            const auto revision = write(item, &model_store::lease,
                next->base_revision, next->record.text());
            if (revision)
                item.lease.on_written(*revision, now_);
            else
                item.lease.on_write_failed(now_);
        }
        if (!item.lease.may_resume())
            item.keys.reset();
        else if (item.lease.holds(now_))
            coordinate(item);
    }

    void coordinate(process& item)
    {
        const duration max_grant = key_granter_options{}.max_grant_duration();
        if (!item.keys && !item.cut_off && item.epoch == store_.epoch) {
            item.keys = std::make_unique<key_coordinator>(
                key_granter_options{}, key_plan_options{});
            item.read_back = false;
            item.table_may_be_lost = item.lease.table_may_be_lost();
            item.keys->on_epoch(item.epoch, item.lease.unseen_grants_end(),
                item.table_may_be_lost);
            std::optional<key_table> table;
            if (store_.table.revision > 0)
                table = key_table::from_text(store_.table.text);
            item.keys->start(table, combined(store_.table.revision),
                item.lease.earlier_leases_end() + max_grant, now_);
        }
        if (!item.keys)
            return;
        stop_predecessor(item);
        plan(item);
        if (now_ < item.lease.granting_end(now_))
            send(item);
    }

    void stop_predecessor(process& item)
    {
        if (!item.lease.predecessor() || random_below(3) != 0)
            return;
        for (process& other : processes_) {
            if (other.lease.run_id() != item.lease.predecessor()->run_id)
                continue;
            std::optional<time_point> earlier;
            if (other.lease.is_holder())
                earlier = other.lease.earlier_leases_end();
            other.lease.on_superseded(item.lease.record()->term);
            other.keys.reset();
            item.lease.on_predecessor_stopped(now_, earlier);
            item.keys->shorten_earlier_grants(
                item.lease.earlier_leases_end() +
                key_granter_options{}.max_grant_duration());
            return;
        }
    }

    void plan(process& item)
    {
        if (item.read_back) {
            if (item.cut_off || now_ < item.lease.unseen_grants_end())
                return;
            contact(item);
            item.read_back = now_ < item.lease.unseen_grants_end();
            if (item.read_back)
                return;
            if (store_.table.revision == 0)
                item.keys->on_write_undecided(combined(0));
            else
                item.keys->on_read_back(key_table::from_text(store_.table.text),
                    combined(store_.table.revision), now_);
            return;
        }
        std::vector<key_server> usable;
        for (std::size_t index = 0; index < server_count; ++index) {
            key_server server;
            server.incarnation = {
                backend_server_id("s" + std::to_string(index)), 1};
            if (random_below(4) != 0)
                usable.push_back(server);
        }
        if (usable.empty())
            return;
        const auto next = item.keys->plan(usable, now_);
        if (!next)
            return;
        const auto revision =
            write(item, &model_store::table, next->base_revision, next->text);
        if (revision)
            item.keys->on_written(*revision, now_);
        else
            item.read_back = true;
    }

    void send(process& item)
    {
        if (!item.keys->active())
            return;
        key_granter& granter = item.keys->granter();
        for (const grant_command& command : granter.due(now_)) {
            const std::size_t index = command.server.id.value()[1] - '0';
            const int outcome = random_below(10);
            if (item.server_cut[index] || outcome == 0) {
                if (outcome < 3) {
                    commands_.push_back(
                        {now_ + milliseconds(random_below(6'000)), now_, index,
                            command});
                }
                granter.on_reply(
                    command.number, grant_reply::unclear, {}, now_);
                continue;
            }
            const bool accepted = servers_[index].run(command, now_);
            granter.on_reply(command.number,
                accepted ? grant_reply::accepted : grant_reply::outdated, {},
                now_);
        }
    }

    time_point now_ = at_ms(0);
    model_store store_;
    std::vector<std::pair<time_point, model_store>> copies_;
    std::vector<late_write> writes_;
    std::vector<late_command> commands_;
    std::array<model_server, server_count> servers_;
    std::vector<process> processes_;
    std::uint64_t runs_ = 0;
};

// Guards against two owners of a key, for sequences of restores.
RC_GTEST_PROP(StoreEpochProperty, NeverLetsTwoServersHoldAKey, ())
{
    drill().run(*rc::gen::inRange(50, 400));
}

} // namespace
} // namespace filberthub
