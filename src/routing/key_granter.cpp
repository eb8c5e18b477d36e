#include <filberthub/routing/key_granter.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr order_number no_order{};

} // namespace

key_granter::key_granter(key_granter_options options) : options_(options) {}

duration key_granter_options::longest_hold() const
{
    const auto time = std::chrono::duration_cast<duration>(hold);
    return time + std::chrono::duration_cast<duration>(time * clock_drift) +
           travel;
}

void key_granter::take_over(
    const key_table& table, time_point old_holds_end, time_point now)
{
    states_.clear();
    open_.clear();
    for (const key_range& range : table.ranges) {
        state item;
        item.range = range;
        item.hold_until = old_holds_end;
        item.unclear_until = old_holds_end;
        item.next_send = now;
        for (const previous_owner& old : range.previous) {
            blocker block;
            block.server = old.server;
            block.token = old.token;
            block.first = range.first;
            block.last = range.last;
            block.hold_until = old_holds_end;
            block.unclear_until = old_holds_end;
            block.next_try = now;
            item.blockers.push_back(std::move(block));
        }
        states_.emplace(range.token, std::move(item));
    }
}

// Own grants were sent before `old_holds_end` was known, so they end before it.
void key_granter::shorten_old_holds(time_point old_holds_end)
{
    const auto shorten = [old_holds_end](time_point& end) {
        end = std::min(end, old_holds_end);
    };
    for (auto& [token, item] : states_) {
        shorten(item.hold_until);
        shorten(item.unclear_until);
        for (blocker& block : item.blockers) {
            shorten(block.hold_until);
            shorten(block.unclear_until);
        }
    }
}

void key_granter::inherit(state& next, const state& old)
{
    const key_number first = std::max(next.range.first, old.range.first);
    const key_number last = std::min(next.range.last, old.range.last);
    for (blocker block : old.blockers) {
        block.first = std::max(block.first, first);
        block.last = std::min(block.last, last);
        // A release in flight is for other keys now, so it is sent again.
        block.release_in_flight = no_order;
        if (block.first <= block.last)
            next.blockers.push_back(std::move(block));
    }
    if (old.range.owner == next.range.owner) {
        next.hold_until = std::max(next.hold_until, old.hold_until);
        next.unclear_until = std::max(next.unclear_until, old.unclear_until);
        if (!old.handover.empty())
            next.handover = old.handover;
        return;
    }
    if (old.hold_until == time_point{})
        return;
    blocker block;
    block.server = old.range.owner;
    block.token = old.range.token;
    block.first = first;
    block.last = last;
    block.hold_until = old.hold_until;
    block.unclear_until = old.unclear_until;
    block.grant_in_flight = old.in_flight;
    next.blockers.push_back(std::move(block));
}

key_granter::state key_granter::make_state(
    const key_range& range, time_point now) const
{
    state item;
    item.range = range;
    item.next_send = now;
    key_number held = 0;
    for (const auto& [token, old] : states_) {
        if (old.range.first > range.last || range.first > old.range.last)
            continue;
        inherit(item, old);
        if (old.range.owner == range.owner &&
            (old.accepted || old.held_before)) {
            held += std::min(range.last, old.range.last) -
                    std::max(range.first, old.range.first) + 1;
        }
    }
    item.held_before = held == range.last - range.first + 1;
    return item;
}

void key_granter::adopt(const key_table& table, time_point now)
{
    std::map<fencing_token, state> next;
    for (const key_range& range : table.ranges) {
        const auto known = states_.find(range.token);
        if (known != states_.end() &&
            known->second.range.first == range.first &&
            known->second.range.last == range.last) {
            state kept = known->second;
            kept.range = range;
            next.emplace(range.token, std::move(kept));
            continue;
        }
        next.emplace(range.token, make_state(range, now));
    }
    states_ = std::move(next);
}

void key_granter::on_life_ended(const server_life& server)
{
    for (auto& [token, item] : states_) {
        std::erase_if(item.blockers,
            [&](const blocker& block) { return block.server == server; });
        if (item.range.owner == server) {
            item.hold_until = {};
            item.unclear_until = {};
            item.own_unclear_until = {};
            item.accepted = false;
            item.held_before = false;
            // Its answers are not waited for.
            open_.erase(item.in_flight);
            item.in_flight = no_order;
        }
    }
    unanswered_.erase(server);
}

void key_granter::resolve(state& item, time_point now) const
{
    std::erase_if(item.blockers, [&](const blocker& block) {
        return now >= block.hold_until ||
               (block.released && block.grant_in_flight == no_order &&
                   now >= block.unclear_until);
    });
}

void key_granter::add_release_orders(
    state& item, time_point now, std::vector<grant_order>& orders)
{
    for (blocker& block : item.blockers) {
        if (block.released || block.release_in_flight != no_order ||
            block.grant_in_flight != no_order || now < block.next_try)
            continue;
        last_order_ = last_order_.next();
        block.release_in_flight = last_order_;
        open_.emplace(
            last_order_, open_order{true, block.server, block.token, {}});
        orders.push_back({last_order_, true, block.server, block.first,
            block.last, block.token, milliseconds(0), {}});
    }
}

void key_granter::add_grant_order(
    state& item, time_point now, std::vector<grant_order>& orders)
{
    if (!item.blockers.empty() || item.in_flight != no_order || item.outdated ||
        now < item.next_send)
        return;
    last_order_ = last_order_.next();
    item.in_flight = last_order_;
    item.next_send = now + options_.renewal;
    open_.emplace(last_order_,
        open_order{false, item.range.owner, item.range.token, item.hold_until});
    item.hold_until = std::max(item.hold_until, now + options_.longest_hold());
    orders.push_back({last_order_, false, item.range.owner, item.range.first,
        item.range.last, item.range.token, options_.hold,
        item.accepted ? std::string() : item.handover});
}

std::vector<grant_order> key_granter::due(time_point now)
{
    std::vector<grant_order> orders;
    for (auto& [token, item] : states_) {
        resolve(item, now);
        add_release_orders(item, now, orders);
        add_grant_order(item, now, orders);
    }
    return orders;
}

void key_granter::on_grant_reply(
    state& item, const open_order& order, grant_reply reply, time_point now)
{
    item.in_flight = no_order;
    switch (reply) {
    case grant_reply::accepted:
        // The server refuses late grants with a lower token from now on.
        item.unclear_until = item.own_unclear_until;
        // An order may wait for a connection before it is sent, and arrived
        // before its answer.
        item.hold_until =
            std::max(now + options_.longest_hold(), item.own_unclear_until);
        item.accepted = true;
        return;
    case grant_reply::outdated:
        item.outdated = true;
        return;
    case grant_reply::unsent:
        item.hold_until = order.hold_before;
        item.next_send = std::min(item.next_send, now + options_.retry);
        return;
    case grant_reply::unclear:
        // It may have been sent just before it was given up.
        item.own_unclear_until = now + options_.longest_hold();
        item.unclear_until =
            std::max(item.unclear_until, item.own_unclear_until);
        item.hold_until = std::max(item.hold_until, item.own_unclear_until);
        item.next_send = std::min(item.next_send, now + options_.retry);
        return;
    }
}

void key_granter::on_reply(order_number number, grant_reply reply,
    const std::string& handover, time_point now)
{
    const auto found = open_.find(number);
    if (found == open_.end())
        return;
    const open_order order = found->second;
    open_.erase(found);
    const bool answered =
        reply != grant_reply::unclear && reply != grant_reply::unsent;
    if (!answered)
        ++unanswered_[order.server];
    else
        unanswered_.erase(order.server);
    for (auto& [token, item] : states_) {
        if (item.in_flight == number)
            on_grant_reply(item, order, reply, now);
        for (blocker& block : item.blockers) {
            if (block.grant_in_flight == number) {
                block.grant_in_flight = no_order;
                if (reply == grant_reply::unsent)
                    block.hold_until = order.hold_before;
                if (reply == grant_reply::accepted)
                    block.hold_until = now + options_.longest_hold();
                if (reply == grant_reply::unclear) {
                    block.unclear_until = std::max(
                        block.unclear_until, now + options_.longest_hold());
                    block.hold_until =
                        std::max(block.hold_until, block.unclear_until);
                }
            }
            if (block.release_in_flight != number)
                continue;
            block.release_in_flight = no_order;
            if (!answered) {
                block.next_try = now + options_.retry;
                continue;
            }
            block.released = true;
            if (!handover.empty())
                item.handover = handover;
        }
    }
}

std::vector<key_range> key_granter::granted() const
{
    std::vector<key_range> result;
    for (const auto& [token, item] : states_) {
        if (item.accepted || item.held_before)
            result.push_back(item.range);
    }
    std::sort(result.begin(), result.end(),
        [](const key_range& left, const key_range& right) {
            return left.first < right.first;
        });
    return result;
}

bool key_granter::is_granted(fencing_token token) const
{
    const auto found = states_.find(token);
    return found != states_.end() && found->second.accepted;
}

std::set<fencing_token> key_granter::outdated() const
{
    std::set<fencing_token> result;
    for (const auto& [token, item] : states_) {
        if (item.outdated)
            result.insert(token);
    }
    return result;
}

unsigned key_granter::unanswered(const server_life& server) const
{
    const auto found = unanswered_.find(server);
    return found == unanswered_.end() ? 0 : found->second;
}

} // namespace filberthub
