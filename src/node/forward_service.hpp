// Requests that other instances forwarded to this one.

#ifndef FILBERTHUB_NODE_FORWARD_SERVICE_HPP
#define FILBERTHUB_NODE_FORWARD_SERVICE_HPP

#include "node/holder_service.hpp"

#include <QtCore/QPointer>

#include <map>
#include <utility>

namespace filberthub {

// Guarantees that an answer goes back on the connection on which its request
// came, and that a request is cancelled when that connection closes.
class forward_service
{
public:
    void on_forward(holder_service& holders, peer_connection& connection,
        forward_message message)
    {
        const key name{&connection, message.number};
        const QPointer<peer_connection> back(&connection);
        tickets_.emplace(name, held_ticket{});
        const held_ticket ticket = holders.submit(std::move(message),
            [this, name, back](const answer_message& answer) {
                tickets_.erase(name);
                answer_message out = answer;
                out.number = name.second;
                if (back)
                    back->send(std::move(out));
            });
        const auto found = tickets_.find(name);
        if (found != tickets_.end())
            found->second = ticket;
    }

    void on_cancel(holder_service& holders, peer_connection& connection,
        forward_number number)
    {
        const auto found = tickets_.find({&connection, number});
        if (found == tickets_.end())
            return;
        const held_ticket ticket = found->second;
        tickets_.erase(found);
        holders.cancel(ticket);
    }

    void on_closed(holder_service& holders, peer_connection& connection)
    {
        auto first = tickets_.lower_bound({&connection, forward_number(0)});
        while (first != tickets_.end() && first->first.first == &connection) {
            const held_ticket ticket = first->second;
            first = tickets_.erase(first);
            holders.cancel(ticket);
        }
    }

    std::size_t in_flight() const
    {
        return tickets_.size();
    }

private:
    using key = std::pair<peer_connection*, forward_number>;

    std::map<key, held_ticket> tickets_;
};

} // namespace filberthub

#endif
