#include <filberthub/platform/proposal_runner.hpp>

#include <memory>
#include <random>

namespace filberthub {
namespace {

class runner : public std::enable_shared_from_this<runner>
{
public:
    runner(store_client& store, const proposal_request& request,
        std::function<void(const proposal_result&)> done)
        : store_(&store), machine_(request), done_(std::move(done))
    {}

    proposal& machine()
    {
        return machine_;
    }

    void perform(const proposal_step& step)
    {
        std::visit([this](const auto& call) { run(call); }, step);
    }

private:
    void run(const read_root&)
    {
        store_->get(policy_root_path,
            [self = shared_from_this()](
                const store_reply& reply) { self->on_root(reply); });
    }

    void run(const read_body& call)
    {
        store_->get(section_path(call.section, call.digest),
            [self = shared_from_this()](const store_reply& reply) {
                if (reply.status == store_status::ok)
                    self->next(body_was_read{reply.value});
                else
                    self->next(call_failed{});
            });
    }

    void run(const write_body& call)
    {
        store_->put(section_path(call.section, call.digest), object_version(),
            call.text, [self = shared_from_this()](const store_reply& reply) {
                // The path holds the digest: an existing object is the same.
                if (reply.status == store_status::ok ||
                    reply.status == store_status::conflict)
                    self->next(body_was_written{});
                else
                    self->next(reply_was_lost{});
            });
    }

    void run(const update_root& call)
    {
        store_->put(policy_root_path, call.expected, to_text(call.root),
            [self = shared_from_this()](const store_reply& reply) {
                if (reply.status == store_status::ok)
                    self->next(update_was_accepted{});
                else if (reply.status == store_status::conflict)
                    self->next(update_was_refused{});
                else
                    self->next(reply_was_lost{});
            });
    }

    void run(const proposal_result& result)
    {
        done_(result);
    }

    void on_root(const store_reply& reply)
    {
        if (reply.status == store_status::not_found) {
            next(root_was_read{});
            return;
        }
        if (reply.status != store_status::ok) {
            next(call_failed{});
            return;
        }
        try {
            next(root_was_read{
                reply.version, policy_root_from_text(reply.value)});
        } catch (const error&) {
            next(call_failed{});
        }
    }

    void next(const proposal_event& event)
    {
        perform(machine_.next(event));
    }

    store_client* store_;
    proposal machine_;
    std::function<void(const proposal_result&)> done_;
};

} // namespace

void run_proposal(store_client& store, const proposal_request& request,
    const std::map<std::string, json>& known_bodies,
    std::function<void(const proposal_result&)> done)
{
    auto work = std::make_shared<runner>(store, request, std::move(done));
    for (const auto& [digest, body] : known_bodies)
        work->machine().add_known_body(digest, body);
    work->perform(work->machine().start());
}

std::string random_nonce()
{
    std::random_device device;
    std::string text;
    for (int word = 0; word < 4; ++word) {
        const std::uint32_t bits = device();
        for (int shift = 28; shift >= 0; shift -= 4)
            text += "0123456789abcdef"[(bits >> shift) & 0xFU];
    }
    return text;
}

} // namespace filberthub
