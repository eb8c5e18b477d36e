#include <filberthub/routing/key_coordinator.hpp>

#include <algorithm>

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
// Time between plans that only improve the balance. Hot keys do not wait for
// it.
constexpr milliseconds balance_interval{2'000};
// A hot range is divided by the counts of its keys, which are too small to tell
// at first. With this delay, the plan is made 0.5 s after the onset.
constexpr milliseconds surge_delay{250};
// Interval of plans while no keys are hot. Each reads all keys several times.
constexpr milliseconds usual_plan_interval{250};
// Limits the rate of writes while keys are hot.
constexpr milliseconds min_surge_write_interval{350};
// Receivers of hot keys are filled up to this load, so that most of them get
// one range only.
constexpr double surge_receiver_level = 1.25;

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
    load_.start(now);
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
        load_.add(key, count);
}

void key_coordinator::on_work(key_number key, double count, double work_ms)
{
    if (key < key_count)
        load_.add_work(key, count, work_ms);
}

std::vector<key_number> key_coordinator::keys_beyond_capacity(
    const std::vector<key_server>& servers) const
{
    double capacity = 0;
    for (const key_server& server : servers)
        capacity = std::max(capacity, server.capacity);
    return capacity > 0 ? load_.keys_beyond(capacity)
                        : std::vector<key_number>{};
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

std::optional<key_table> key_coordinator::next_table(
    const std::vector<key_server>& servers, time_point now)
{
    const auto hot_for = load_.hot_for(now);
    const bool in_surge = hot_for && *hot_for >= surge_delay &&
                          load_.is_in_surge(table_, servers);
    // A plan by the first counts of a hot range would only delay the next one.
    const bool is_onset = hot_for && *hot_for < surge_delay;
    if (now - last_write_at_ <
        (in_surge ? min_surge_write_interval : min_write_interval))
        return std::nullopt;
    if (!in_surge && now - last_plan_at_ < usual_plan_interval)
        return std::nullopt;
    last_plan_at_ = now;
    key_plan_options options = plan_options_;
    options.may_balance =
        in_surge || (!is_onset && now - last_balance_at_ >= balance_interval);
    // Hot keys are the lightest once they have cooled, so that joining waits
    // until then.
    options.may_join = options.may_balance && !in_surge;
    if (in_surge) {
        // The moves are made anyway, so that they may as well be complete.
        options.noise_margin = 0;
        options.receiver_level = surge_receiver_level;
        options.moves_for_balance = servers.size();
    }
    bool changed = !granter_.outdated().empty();
    const key_table base = refreshed_table(changed);
    auto next = plan_keys(base, load_.expected(), servers, options);
    if (next && options.may_balance)
        last_balance_at_ = now;
    if (!next && changed &&
        (now - last_write_at_ >= cleanup_interval ||
            !granter_.outdated().empty() || from_copy(table_)))
        next = base;
    return next;
}

std::optional<table_write> key_coordinator::plan(
    const std::vector<key_server>& servers, time_point now)
{
    load_.update(now);
    if (pending_ || !may_write(now))
        return std::nullopt;
    if (!active_) {
        key_table base = table_;
        base.next_token = std::max(base.next_token, first_token(epoch_));
        if (table_.ranges.empty()) {
            if (now - started_at_ < first_plan_delay)
                return std::nullopt;
            pending_ =
                plan_keys(base, load_.expected(), servers, plan_options_);
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
        pending_ = next_table(servers, now);
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
