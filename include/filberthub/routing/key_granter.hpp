// Grants the keys of one service to its backend servers and releases them, as
// the committed key tables require.
//
//     key_granter granter({});
//     granter.adopt(table, now);
//     for (const grant_command& command : granter.due(now))
//         send(command);
//     granter.on_reply(command.number, grant_reply::accepted, {}, now);

#ifndef FILBERTHUB_ROUTING_KEY_GRANTER_HPP
#define FILBERTHUB_ROUTING_KEY_GRANTER_HPP

#include <filberthub/routing/key_table.hpp>

#include <limits>
#include <map>
#include <optional>

namespace filberthub {

using command_number = strong_number<struct command_number_tag, std::uint64_t>;

// A command to a backend server to take or to release keys.
struct grant_command
{
    command_number number;
    // Whether the server must release the keys; otherwise they are granted.
    bool release = false;
    // Whether the command only finds out if the server answers. It is a release
    // of a key that the server does not own, if there is one.
    bool probe = false;
    server_incarnation server;
    key_number first = 0;
    key_number last = 0;
    fencing_token token;
    // Validity of the grant, counted from its arrival.
    milliseconds grant_duration{0};
    // May be empty.
    key_handover handover;
};

// Outcome of a command.
enum class grant_reply : std::uint8_t
{
    accepted,
    // Refused, because the server has seen a higher fencing token.
    outdated,
    // No valid answer; the command may still be carried out.
    unclear,
    // The same, but this process was too late to tell whether the server has
    // answered in time.
    delayed,
    // The command was not sent, because no connection could be made.
    unsent
};

struct key_granter_options
{
    // The keys of a lost server are unavailable for this time. A lost
    // coordinator has to be replaced within it.
    milliseconds grant_duration{3'000};
    // Time between grants of the same keys.
    milliseconds renewal{750};
    // Fraction by which the clock of a server may run slow. The platform
    // guarantees at most 2%.
    double clock_drift = 0.02;
    // Upper bound on the delivery of a command to its server.
    milliseconds max_delivery_time{150};
    // Delay after a command that was not answered.
    milliseconds retry{250};
    // A server that has left this number of consecutive commands without an
    // answer counts as silent.
    unsigned silence_limit = 3;
    // Upper bound of the delay between two probes of a silent server, which
    // doubles from `retry` on. A server that answers again waits this long for
    // keys at most.
    milliseconds max_probe_delay{2'000};
    // A server that has left no further command unanswered for this time is no
    // longer silent, for example because it is gone and not probed.
    milliseconds silence_memory{60'000};

    // Longest time for which a grant may be valid after it was sent.
    duration max_grant_duration() const;
};

// How many keys of the table are in which stage of their grant.
struct key_coverage
{
    // The owner has accepted them, and its grant has not ended.
    std::size_t served = 0;
    // The owner had them from an earlier coordinator and has not answered this
    // one yet.
    std::size_t unconfirmed = 0;
    // The owner has accepted them, but its grant may have ended since.
    std::size_t lapsed = 0;
    // A previous owner may still hold them.
    std::size_t awaiting_release = 0;
    // The present token was refused, so that the table needs a new one.
    std::size_t awaiting_token = 0;
    // The owner has not yet accepted them.
    std::size_t awaiting_grant = 0;
    // Commands without an answer, as a number of commands.
    std::size_t open_commands = 0;

    bool complete() const
    {
        return unconfirmed + lapsed + awaiting_release + awaiting_token +
                   awaiting_grant ==
               0;
    }
};

// Guarantees that a key is granted to a server only when every other server
// that was granted the key has released it, has restarted, or can no longer
// hold it because each grant sent to it has expired. A grant without an answer
// counts as accepted until it expires.
class key_granter
{
public:
    explicit key_granter(key_granter_options options);

    // Starts from the table of an earlier coordinator, whose grants may last
    // until `earlier_grants_end`.
    void take_over(
        const key_table& table, time_point earlier_grants_end, time_point now);
    // Grants of earlier coordinators end no later than this time.
    void shorten_earlier_grants(time_point earlier_grants_end);
    // Replaces the table by the next committed one.
    void adopt(const key_table& table, time_point now);
    // To be called when a server is known to have ended and none of its
    // commands can have reached another incarnation. It no longer holds any
    // keys, and counts as silent.
    void on_incarnation_ended(const server_incarnation& server, time_point now);

    // To be called when a later incarnation of a server is known. Commands name
    // a server by its id only, so those sent to `earlier` may have been carried
    // out by `present`, which counts as the holder of their keys from now on.
    // Its ranges need new tokens.
    void on_server_restarted(
        const server_incarnation& earlier, const server_incarnation& present);

    // To be called when the server ended or reset a connection, which may mean
    // that it has restarted under its id. Its keys need new tokens, as a new
    // incarnation must not get them with the token of an earlier one. Returns
    // whether the server owns keys.
    bool on_connection_lost(const backend_server_id& server);

    // Returns a command that finds out whether a silent server answers again,
    // or nothing if none is due. To be called regularly for each silent server
    // that could own keys, because it gets no grants. `on_reply` has to be
    // called for it.
    std::optional<grant_command> probe(
        const server_incarnation& server, time_point now);

    // Returns commands to send now, about `limit` at most. The next call goes
    // on with the ranges after them. `on_reply` has to be called once for each.
    std::vector<grant_command> due(time_point now,
        std::size_t limit = std::numeric_limits<std::size_t>::max());
    void on_reply(command_number number, grant_reply reply,
        const key_handover& handover, time_point now);

    // Ranges whose owner has accepted them, or has had them from an earlier
    // coordinator.
    std::vector<key_range> granted() const;
    // Changes whenever the result of `granted` may have changed.
    std::uint64_t granted_version() const
    {
        return granted_version_;
    }
    // Tells why keys of the table are not granted. Each key counts once.
    key_coverage coverage(time_point now) const;
    // Whether the owner of the range with this token has accepted it.
    bool is_granted(fencing_token token) const;
    // Tokens that a server refused as outdated, or that it may have had in an
    // earlier incarnation. Their ranges need new tokens. The value is the
    // owner, whose incarnation may be later than that in the table. Tokens of
    // silent servers are left out, because those get no grants.
    std::map<fencing_token, server_incarnation> outdated() const;
    // Number of times at which commands to this server were not answered, since
    // its last answer. Several ranges at about the same time count once.
    unsigned unanswered(const server_incarnation& server) const;
    // Whether the server should get no keys, because it does not answer. Ends
    // with its next answer to a command or a probe.
    bool silent(const server_incarnation& server) const
    {
        return unanswered(server) >= options_.silence_limit;
    }

private:
    // A server that may still hold keys of a range.
    struct earlier_holder
    {
        server_incarnation server;
        fencing_token token;
        key_number first = 0;
        key_number last = 0;
        // The server holds none of the keys after this time.
        time_point granted_until;
        // A grant without an answer may take effect until then.
        time_point unclear_until;
        // Open commands to the server; `command_number{}` if there is none.
        command_number grant_in_flight;
        command_number release_in_flight;
        time_point next_try;
        bool released = false;
    };

    // A range of the current table and the progress of its grant.
    struct range_state
    {
        key_range range;
        std::vector<earlier_holder> earlier_holders;
        key_handover handover;
        // The owner holds none of the keys after this time.
        time_point granted_until;
        // The owner has accepted all of the keys until this time at least;
        // `time_point{}` if this coordinator does not know.
        time_point confirmed_until;
        // A grant with this or a lower token may take effect until then.
        time_point unclear_until;
        // The same for grants with this token only.
        time_point current_token_unclear_until;
        command_number grant_in_flight;
        time_point next_send;
        bool accepted = false;
        // Whether the owner had accepted all of these keys with lower tokens,
        // as far as this coordinator knows.
        bool held_before = false;
        // Whether the token must not be sent (again). The owner may have
        // restarted since it got it.
        bool outdated = false;
    };

    struct server_silence
    {
        unsigned times = 0;
        time_point counted_at;
        // Token of the last command.
        fencing_token token;
        command_number probe_in_flight;
        milliseconds probe_delay{0};
        time_point next_probe;
    };

    struct open_command
    {
        bool release = false;
        server_incarnation server;
        fencing_token token;
        // End of the owner's grant before this command.
        time_point granted_until_before;
        time_point due_at;
    };

    range_state make_state(const key_range& range, time_point now) const;
    static void inherit_grants(range_state& next, const range_state& earlier);
    void remove_ended_holders(range_state& state, time_point now) const;
    void add_release_commands(range_state& state, time_point now,
        std::vector<grant_command>& commands);
    void add_grant_command(range_state& state, time_point now,
        std::vector<grant_command>& commands);
    // Counts a command that was not answered.
    void count_silence(const open_command& command, time_point now);
    // Whether the server may still hold keys that have moved. It gets releases
    // for them.
    bool is_earlier_holder(const server_incarnation& server) const;
    bool owns_keys(const server_incarnation& server) const;
    // Returns a key that the server does not own, if there is one.
    key_number key_for_probe(const server_incarnation& server) const;
    void on_grant_reply(range_state& state, const open_command& command,
        grant_reply reply, time_point now);

    key_granter_options options_;
    std::map<fencing_token, range_state> states_;
    std::map<command_number, open_command> open_commands_;
    std::map<server_incarnation, server_silence> unanswered_;
    command_number last_command_;
    // The range for which `due` has looked last.
    fencing_token last_due_;
    std::uint64_t granted_version_ = 0;
};

} // namespace filberthub

#endif
