#include <filberthub/routing/key_coordinator.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Servers of a new deployment register within this time. A plan made earlier
// would have most of its keys moved again.
constexpr milliseconds first_plan_delay{1'200};
// Limits the rate of writes to the store, which are charged for. Keys of a lost
// server are reassigned with the next write.
constexpr milliseconds min_write_interval{700};
// Time between writes that only clear the previous owners of finished moves,
// which nobody but a successor of this coordinator needs.
constexpr milliseconds cleanup_interval{2'000};
// Short enough to detect a hot key within a second, and long enough that the
// Poisson noise of a few dozen requests per server does not move keys.
constexpr double weight_half_life_ms = 2'000;

} // namespace

key_coordinator::key_coordinator(
    key_granter_options grant_options, key_plan_options plan_options)
    : granter_(grant_options), plan_options_(plan_options)
{}

void key_coordinator::start(const std::optional<key_table>& stored,
    std::uint64_t store_revision, time_point earlier_grants_end, time_point now)
{
    table_ = stored.value_or(key_table{});
    revision_ = store_revision;
    earlier_grants_end_ = earlier_grants_end;
    started_at_ = now;
    last_decay_at_ = now;
    pending_.reset();
    undecided_.clear();
    active_ = false;
}

void key_coordinator::on_epoch(
    store_epoch epoch, time_point unseen_grants_end, bool others_unseen)
{
    epoch_ = epoch;
    unseen_grants_end_ = std::max(unseen_grants_end_, unseen_grants_end);
    others_unseen_ = others_unseen;
}

bool key_coordinator::from_copy(const key_table& table) const
{
    return epoch_of_token(table.next_token) < epoch_;
}

// A table of the copy may name owners whose keys have moved in the lost
// seconds. Nothing is granted by it before all other grants have ended.
bool key_coordinator::may_write(time_point now) const
{
    if (now < unseen_grants_end_)
        return false;
    const bool copied =
        table_.ranges.empty() ? others_unseen_ : from_copy(table_);
    return active_ || !copied || now >= earlier_grants_end_;
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

key_table key_coordinator::refreshed_table(bool& changed) const
{
    key_table next = table_;
    if (from_copy(next)) {
        next.next_token = first_token(epoch_);
        changed = true;
    }
    const auto outdated = granter_.outdated();
    for (key_range& range : next.ranges) {
        if (!range.previous.empty() && granter_.is_granted(range.token)) {
            range.previous.clear();
            changed = true;
        }
        const auto found = outdated.find(range.token);
        if (found != outdated.end()) {
            range.owner = found->second;
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
        std::chrono::duration<double, std::milli>(now - last_decay_at_).count();
    weights_.decay(std::exp2(-age_ms / weight_half_life_ms));
    last_decay_at_ = now;
    if (pending_ || !may_write(now))
        return std::nullopt;
    if (!active_) {
        key_table base = table_;
        base.next_token = std::max(base.next_token, first_token(epoch_));
        if (table_.ranges.empty()) {
            if (now - started_at_ < first_plan_delay)
                return std::nullopt;
            pending_ = plan_keys(base, weights_, servers, plan_options_);
        } else {
            // New tokens make the servers refuse commands of the previous
            // coordinator.
            pending_ = std::move(base);
            for (key_range& range : pending_->ranges) {
                range.token = pending_->next_token;
                pending_->next_token = pending_->next_token.next();
            }
        }
    } else {
        if (now - last_write_at_ < min_write_interval)
            return std::nullopt;
        bool changed = !granter_.outdated().empty();
        const key_table base = refreshed_table(changed);
        pending_ = plan_keys(base, weights_, servers, plan_options_);
        if (!pending_ && changed &&
            (now - last_write_at_ >= cleanup_interval ||
                !granter_.outdated().empty() || from_copy(table_)))
            pending_ = base;
    }
    if (!pending_)
        return std::nullopt;
    last_write_at_ = now;
    return table_write{revision_, pending_->text()};
}

void key_coordinator::on_written(std::uint64_t store_revision, time_point now)
{
    if (!pending_)
        return;
    // Without an earlier table no server has been granted any keys.
    const bool has_predecessors = !active_ && !table_.ranges.empty();
    table_ = std::move(*pending_);
    pending_.reset();
    undecided_.clear();
    revision_ = store_revision;
    if (!has_predecessors)
        granter_.adopt(table_, now);
    else
        granter_.take_over(table_, earlier_grants_end_, now);
    active_ = true;
}

void key_coordinator::on_write_failed()
{
    pending_.reset();
}

void key_coordinator::on_write_undecided(std::uint64_t absent_revision)
{
    give_up_write();
    if (epoch_of_revision(absent_revision) > epoch_of_revision(revision_))
        revision_ = absent_revision;
}

void key_coordinator::give_up_write()
{
    if (pending_)
        undecided_.push_back(std::move(*pending_));
    pending_.reset();
}

bool key_coordinator::on_read_back(
    const key_table& stored, std::uint64_t store_revision, time_point now)
{
    const std::string text = stored.text();
    const auto is_stored = [&text](const key_table& table) {
        return table.text() == text;
    };
    const auto late =
        std::find_if(undecided_.begin(), undecided_.end(), is_stored);
    if (late != undecided_.end())
        pending_ = *late;
    if (pending_ && is_stored(*pending_)) {
        on_written(store_revision, now);
        return true;
    }
    if (!active_ && store_revision > revision_) {
        // An earlier coordinator's write was carried out late. None of the
        // writes that required the revision before it can be any more.
        table_ = stored;
        revision_ = store_revision;
        pending_.reset();
        undecided_.clear();
        return false;
    }
    give_up_write();
    // A table of the copy, or a write from before the restore that was carried
    // out after it.
    if (from_copy(stored) && store_revision > revision_)
        revision_ = store_revision;
    return false;
}

} // namespace filberthub
