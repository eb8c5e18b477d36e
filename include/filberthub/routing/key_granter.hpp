// Grants keys to the servers of one service and takes them back, according to
// committed tables.
//
//     key_granter granter({});
//     granter.adopt(table, now);
//     for (const grant_order& order : granter.due(now))
//         send(order);
//     granter.on_reply(order.number, grant_reply::accepted, "", now);

#ifndef FILBERTHUB_ROUTING_KEY_GRANTER_HPP
#define FILBERTHUB_ROUTING_KEY_GRANTER_HPP

#include <filberthub/routing/key_table.hpp>

#include <map>
#include <set>

namespace filberthub {

using order_number = strong_number<struct order_number_tag, std::uint64_t>;

struct grant_order
{
    order_number number;
    // Whether the keys are taken back; otherwise they are granted.
    bool release = false;
    server_life server;
    key_number first = 0;
    key_number last = 0;
    fencing_token token;
    // Time that the grant lasts from its arrival.
    milliseconds hold{0};
    // What the last holder said when it released the keys; may be empty.
    std::string handover;
};

enum class grant_reply : std::uint8_t
{
    accepted,
    // The server knows a higher fencing token.
    outdated,
    // No readable answer; the order may be carried out later.
    unclear,
    // No connection could be made; the order was not sent.
    unsent
};

struct key_granter_options
{
    // A lost server's keys wait for this time; a lost coordinator has to be
    // replaced within it.
    milliseconds hold{3'000};
    milliseconds renewal{750};
    // The clock of a server may run this much slower (platform's bound: 2%).
    double clock_drift = 0.02;
    // Covers the way of an order to its server.
    milliseconds travel{150};
    // After an order without an answer.
    milliseconds retry{250};

    // Longest time that a grant may last after it was sent.
    duration longest_hold() const;
};

// Guarantees that a grant for a key is sent only when every other server that
// was granted the key has released it, has restarted, or has outlived each
// grant that was sent to it. An unanswered grant counts as carried out until
// its time is over.
class key_granter
{
public:
    explicit key_granter(key_granter_options options);

    // Begins with a table of another coordinator. What that one granted may
    // last until `old_holds_end`.
    void take_over(
        const key_table& table, time_point old_holds_end, time_point now);
    // What earlier coordinators granted ends at this time.
    void shorten_old_holds(time_point old_holds_end);
    // Takes the next committed table.
    void adopt(const key_table& table, time_point now);
    // A life of a server has ended for certain; it holds nothing any more.
    void on_life_ended(const server_life& server);

    // Returns the orders to send now. Each gets one call of `on_reply`.
    std::vector<grant_order> due(time_point now);
    void on_reply(order_number number, grant_reply reply,
        const std::string& handover, time_point now);

    // Ranges whose owner has accepted them.
    std::vector<key_range> granted() const;
    // Whether the owner of the range with this token has accepted it.
    bool is_granted(fencing_token token) const;
    // Ranges whose server refused a token as outdated; they need a new one.
    std::set<fencing_token> outdated() const;
    // Orders to this server without an answer since its last answer.
    unsigned unanswered(const server_life& server) const;

private:
    // A server that may still hold keys of a range.
    struct blocker
    {
        server_life server;
        fencing_token token;
        key_number first = 0;
        key_number last = 0;
        // It holds nothing after this time.
        time_point hold_until;
        // A grant without an answer may come into force until then.
        time_point unclear_until;
        // A grant that is still on its way.
        order_number grant_in_flight;
        order_number release_in_flight;
        time_point next_try;
        bool released = false;
    };

    struct state
    {
        key_range range;
        std::vector<blocker> blockers;
        std::string handover;
        time_point hold_until;
        // A grant with this or a lower token may come into force until then.
        time_point unclear_until;
        // The same for this token alone.
        time_point own_unclear_until;
        order_number in_flight;
        time_point next_send;
        bool accepted = false;
        // The owner had accepted all of these keys under older tokens.
        bool held_before = false;
        bool outdated = false;
    };

    struct open_order
    {
        bool release = false;
        server_life server;
        fencing_token token;
        // End of the owner's hold before this order.
        time_point hold_before;
    };

    state make_state(const key_range& range, time_point now) const;
    static void inherit(state& next, const state& old);
    void resolve(state& item, time_point now) const;
    void add_release_orders(
        state& item, time_point now, std::vector<grant_order>& orders);
    void add_grant_order(
        state& item, time_point now, std::vector<grant_order>& orders);
    void on_grant_reply(state& item, const open_order& order, grant_reply reply,
        time_point now);

    key_granter_options options_;
    std::map<fencing_token, state> states_;
    std::map<order_number, open_order> open_;
    std::map<server_life, unsigned> unanswered_;
    order_number last_order_;
};

} // namespace filberthub

#endif
