// Runs requests that other instances forwarded to this one.
//
//     forwards.on_forward(holders, connection, message);
//     forwards.on_closed(holders, connection);

#ifndef FILBERTHUB_NODE_FORWARD_SERVICE_HPP
#define FILBERTHUB_NODE_FORWARD_SERVICE_HPP

#include "node/holder_service.hpp"

#include <QtCore/QPointer>

#include <map>
#include <utility>

namespace filberthub {

// Guarantees that an answer is sent on the connection on which its request
// arrived, and that a request is cancelled when that connection closes.
class forward_service
{
public:
    // Call with each forwarded request.
    void on_forward(holder_service& holders, peer_connection& connection,
        forward_message message)
    {
        const key request{&connection, message.number};
        const QPointer<peer_connection> reply_to(&connection);
        handles_.emplace(request, held_request_handle{});
        const held_request_handle handle = holders.submit(std::move(message),
            [this, request, reply_to](const answer_message& answer) {
                handles_.erase(request);
                answer_message out = answer;
                out.number = request.second;
                if (reply_to)
                    reply_to->send(std::move(out));
            });
        const auto found = handles_.find(request);
        if (found != handles_.end())
            found->second = handle;
    }

    // Call when the sender cancels a request.
    void on_cancel(holder_service& holders, peer_connection& connection,
        forward_number number)
    {
        const auto found = handles_.find({&connection, number});
        if (found == handles_.end())
            return;
        const held_request_handle handle = found->second;
        handles_.erase(found);
        holders.cancel(handle);
    }

    // Call when a connection closes.
    void on_closed(holder_service& holders, peer_connection& connection)
    {
        auto first = handles_.lower_bound({&connection, forward_number(0)});
        while (first != handles_.end() && first->first.first == &connection) {
            const held_request_handle handle = first->second;
            first = handles_.erase(first);
            holders.cancel(handle);
        }
    }

    std::size_t in_flight() const
    {
        return handles_.size();
    }

private:
    using key = std::pair<peer_connection*, forward_number>;

    std::map<key, held_request_handle> handles_;
};

} // namespace filberthub

#endif
