// Grants keys to the servers of one service and takes them back, according to
// committed tables.
//
//     key_granter granter({});
//     granter.adopt(table, now);
//     for (const grant_command& command : granter.due(now))
//         send(command);
//     granter.on_reply(command.number, grant_reply::accepted, "", now);

#ifndef FILBERTHUB_ROUTING_KEY_GRANTER_HPP
#define FILBERTHUB_ROUTING_KEY_GRANTER_HPP

#include <filberthub/routing/key_table.hpp>

#include <map>
#include <set>

namespace filberthub {

using command_number = strong_number<struct command_number_tag, std::uint64_t>;

struct grant_command
{
    command_number number;
    // Whether the keys are taken back; otherwise they are granted.
    bool release = false;
    server_incarnation server;
    key_number first = 0;
    key_number last = 0;
    fencing_token token;
    // Time that the grant lasts from its arrival.
    milliseconds grant_duration{0};
    // What the last holder said when it released the keys; may be empty.
    std::string handover;
};

enum class grant_reply : std::uint8_t
{
    accepted,
    // The server knows a higher fencing token.
    outdated,
    // No readable answer; the command may be carried out later.
    unclear,
    // No connection could be made; the command was not sent.
    unsent
};

struct key_granter_options
{
    // A lost server's keys wait for this time; a lost coordinator has to be
    // replaced within it.
    milliseconds grant_duration{3'000};
    milliseconds renewal{750};
    // The clock of a server may run this much slower (platform's bound: 2%).
    double clock_drift = 0.02;
    // Covers the delivery of a command to its server.
    milliseconds max_delivery_time{150};
    // After a command without an answer.
    milliseconds retry{250};

    // Longest time that a grant may last after it was sent.
    duration max_grant_duration() const;
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
    // last until `earlier_grants_end`.
    void take_over(
        const key_table& table, time_point earlier_grants_end, time_point now);
    // What earlier coordinators granted ends at this time.
    void shorten_earlier_grants(time_point earlier_grants_end);
    // Takes the next committed table.
    void adopt(const key_table& table, time_point now);
    // An incarnation of a server has ended for certain; it holds nothing any
    // more.
    void on_incarnation_ended(const server_incarnation& server);

    // Returns the commands to send now. Each gets one call of `on_reply`.
    std::vector<grant_command> due(time_point now);
    void on_reply(command_number number, grant_reply reply,
        const std::string& handover, time_point now);

    // Ranges whose owner has accepted them.
    std::vector<key_range> granted() const;
    // Whether the owner of the range with this token has accepted it.
    bool is_granted(fencing_token token) const;
    // Ranges whose server refused a token as outdated; they need a new one.
    std::set<fencing_token> outdated() const;
    // Commands to this server without an answer since its last answer.
    unsigned unanswered(const server_incarnation& server) const;

private:
    // A server that may still hold keys of a range.
    struct blocker
    {
        server_incarnation server;
        fencing_token token;
        key_number first = 0;
        key_number last = 0;
        // It holds nothing after this time.
        time_point granted_until;
        // A grant without an answer may come into force until then.
        time_point unclear_until;
        // A grant that is still on its way.
        command_number grant_in_flight;
        command_number release_in_flight;
        time_point next_try;
        bool released = false;
    };

    struct state
    {
        key_range range;
        std::vector<blocker> blockers;
        std::string handover;
        time_point granted_until;
        // A grant with this or a lower token may come into force until then.
        time_point unclear_until;
        // The same for this token alone.
        time_point own_unclear_until;
        command_number in_flight;
        time_point next_send;
        bool accepted = false;
        // The owner had accepted all of these keys under older tokens.
        bool held_before = false;
        bool outdated = false;
    };

    struct open_command
    {
        bool release = false;
        server_incarnation server;
        fencing_token token;
        // End of the owner's grant before this command.
        time_point granted_until_before;
    };

    state make_state(const key_range& range, time_point now) const;
    static void inherit(state& next, const state& old);
    void resolve(state& item, time_point now) const;
    void add_release_commands(
        state& item, time_point now, std::vector<grant_command>& commands);
    void add_grant_command(
        state& item, time_point now, std::vector<grant_command>& commands);
    void on_grant_reply(state& item, const open_command& command,
        grant_reply reply, time_point now);

    key_granter_options options_;
    std::map<fencing_token, state> states_;
    std::map<command_number, open_command> open_;
    std::map<server_incarnation, unsigned> unanswered_;
    command_number last_command_;
};

} // namespace filberthub

#endif
