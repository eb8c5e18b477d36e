#include <filberthub/routing/key_coordinator.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Servers of a deployment that starts register within this time; planning
// earlier would move most keys again.
constexpr milliseconds first_plan_delay{1'200};
// Keys of a lost server are placed with the next write; this bounds the rate
// of writes to the store, which are priced.
constexpr milliseconds write_interval{700};
// Clears previous owners of finished moves, which only matter to a successor.
constexpr milliseconds clean_interval{2'000};
// Load of a hot key is seen within a second, and Poisson noise of a few dozen
// requests per server does not move keys.
constexpr double weight_half_life_ms = 2'000;

} // namespace

key_coordinator::key_coordinator(
    key_granter_options grants, key_plan_options plans)
    : granter_(grants), plans_(plans)
{}

void key_coordinator::start(const std::optional<key_table>& stored,
    std::uint64_t store_revision, time_point earlier_grants_end, time_point now)
{
    table_ = stored.value_or(key_table{});
    revision_ = store_revision;
    earlier_grants_end_ = earlier_grants_end;
    begun_ = now;
    last_decay_ = now;
    pending_.reset();
    active_ = false;
}

void key_coordinator::shorten_earlier_grants(time_point earlier_grants_end)
{
    earlier_grants_end_ = std::min(earlier_grants_end_, earlier_grants_end);
    granter_.shorten_earlier_grants(earlier_grants_end);
}

void key_coordinator::on_requests(key_number key, double count)
{
    if (key < key_count)
        weights_.add(key, count);
}

// Returns the table with finished moves removed and new tokens for ranges whose
// token was refused.
key_table key_coordinator::cleaned(bool& changed) const
{
    key_table next = table_;
    const std::set<fencing_token> outdated = granter_.outdated();
    for (key_range& range : next.ranges) {
        if (!range.previous.empty() && granter_.is_granted(range.token)) {
            range.previous.clear();
            changed = true;
        }
        if (outdated.contains(range.token)) {
            range.token = next.next_token;
            next.next_token = next.next_token.next();
            changed = true;
        }
    }
    return next;
}

std::optional<table_write> key_coordinator::plan(
    const std::vector<key_server>& servers, time_point now)
{
    const double age_ms =
        std::chrono::duration<double, std::milli>(now - last_decay_).count();
    weights_.decay(std::exp2(-age_ms / weight_half_life_ms));
    last_decay_ = now;
    if (pending_)
        return std::nullopt;
    if (!active_) {
        if (table_.ranges.empty()) {
            if (now - begun_ < first_plan_delay)
                return std::nullopt;
            pending_ = plan_keys(table_, weights_, servers, plans_);
        } else {
            // New tokens make the servers refuse the old coordinator.
            pending_ = table_;
            for (key_range& range : pending_->ranges) {
                range.token = pending_->next_token;
                pending_->next_token = pending_->next_token.next();
            }
        }
    } else {
        if (now - last_write_ < write_interval)
            return std::nullopt;
        bool changed = !granter_.outdated().empty();
        const key_table base = cleaned(changed);
        pending_ = plan_keys(base, weights_, servers, plans_);
        if (!pending_ && changed &&
            (now - last_write_ >= clean_interval ||
                !granter_.outdated().empty()))
            pending_ = base;
    }
    if (!pending_)
        return std::nullopt;
    last_write_ = now;
    pending_text_ = pending_->text();
    return table_write{revision_, pending_text_};
}

void key_coordinator::on_written(std::uint64_t store_revision, time_point now)
{
    if (!pending_)
        return;
    table_ = std::move(*pending_);
    pending_.reset();
    revision_ = store_revision;
    if (active_)
        granter_.adopt(table_, now);
    else
        granter_.take_over(table_, earlier_grants_end_, now);
    active_ = true;
}

void key_coordinator::on_write_failed()
{
    pending_.reset();
}

} // namespace filberthub
