// Owns the outgoing links of this instance, one to each other instance.
//
//     hub.set_address(instance_id("se-mitt-2"), {"127.0.10.2", 8081});
//     hub.send(instance_id("se-mitt-2"), message);

#ifndef FILBERTHUB_NODE_PEER_HUB_HPP
#define FILBERTHUB_NODE_PEER_HUB_HPP

#include <filberthub/net/peer_link.hpp>

#include <memory>
#include <unordered_map>

namespace filberthub {

// Guarantees that a message is sent on the link to the last known address of
// its receiver.
class peer_hub
{
public:
    // Called when a link is lost, with whether its connection had been
    // established; see `peer_link`.
    using lost_callback = std::function<void(const instance_id&, bool)>;

    peer_hub(hello_message self, peer_handler handler, lost_callback lost)
        : self_(std::move(self)),
          handler_(std::move(handler)),
          lost_(std::move(lost))
    {}

    // Call with the address of each instance that becomes known. A changed
    // address replaces the link.
    void set_address(const instance_id& instance, const endpoint& address)
    {
        auto& link = links_[instance];
        if (link && link->address() == address)
            return;
        if (link)
            retired_.push_back(std::move(link));
        link = std::make_unique<peer_link>(
            address, self_, handler_, [this, instance](bool established) {
                lost_(instance, established);
            });
    }

    // Queues a message. Returns false if the message was not accepted; the
    // instance is then certain not to receive it.
    bool send(const instance_id& instance, peer_message message)
    {
        // A link cannot be destroyed inside its own callback, so replaced links
        // are destroyed here.
        retired_.clear();
        const auto found = links_.find(instance);
        return found != links_.end() && found->second->send(std::move(message));
    }

    bool knows(const instance_id& instance) const
    {
        return links_.contains(instance);
    }

private:
    hello_message self_;
    peer_handler handler_;
    lost_callback lost_;
    std::unordered_map<instance_id, std::unique_ptr<peer_link>> links_;
    std::vector<std::unique_ptr<peer_link>> retired_;
};

} // namespace filberthub

#endif
