#include <filberthub/platform/proposal_runner.hpp>

#include <memory>
#include <random>

namespace filberthub {
namespace {

// Performs the store calls that a `proposal` requests. Callbacks of the store
// client keep it alive until the proposal has a result.
class proposal_runner : public std::enable_shared_from_this<proposal_runner>
{
public:
    proposal_runner(store_client& store, const proposal_request& request,
        std::function<void(const proposal_result&)> done)
        : store_(&store), state_machine_(request), done_(std::move(done))
    {}

    proposal& state_machine()
    {
        return state_machine_;
    }

    void perform(const proposal_step& step)
    {
        std::visit([this](const auto& call) { execute(call); }, step);
    }

private:
    void execute(const read_root&)
    {
        store_->get(policy_root_path,
            [self = shared_from_this()](
                const store_reply& reply) { self->on_root(reply); });
    }

    void execute(const read_body& call)
    {
        store_->get(section_path(call.section, call.digest),
            [self = shared_from_this()](const store_reply& reply) {
                if (reply.status == store_status::ok)
                    self->advance(body_was_read{reply.value});
                else
                    self->advance(call_failed{});
            });
    }

    void execute(const write_body& call)
    {
        store_->put(section_path(call.section, call.digest), object_version(),
            call.text, [self = shared_from_this()](const store_reply& reply) {
                // The path contains the digest of the text, so an object that
                // already exists has the same content.
                if (reply.status == store_status::ok ||
                    reply.status == store_status::conflict)
                    self->advance(body_was_written{});
                else
                    self->advance(reply_was_lost{});
            });
    }

    void execute(const update_root& call)
    {
        store_->put(policy_root_path, call.expected, to_text(call.root),
            [self = shared_from_this()](const store_reply& reply) {
                if (reply.status == store_status::ok)
                    self->advance(update_was_accepted{});
                else if (reply.status == store_status::conflict)
                    self->advance(update_was_refused{});
                else
                    self->advance(reply_was_lost{});
            });
    }

    void execute(const proposal_result& result)
    {
        done_(result);
    }

    void on_root(const store_reply& reply)
    {
        if (reply.status == store_status::not_found) {
            advance(root_was_read{});
            return;
        }
        if (reply.status != store_status::ok) {
            advance(call_failed{});
            return;
        }
        try {
            advance(root_was_read{
                reply.version, policy_root_from_text(reply.value)});
        } catch (const error&) {
            advance(call_failed{});
        }
    }

    void advance(const proposal_event& event)
    {
        perform(state_machine_.next(event));
    }

    store_client* store_;
    proposal state_machine_;
    std::function<void(const proposal_result&)> done_;
};

} // namespace

void run_proposal(store_client& store, const proposal_request& request,
    const std::map<std::string, json>& known_bodies,
    std::function<void(const proposal_result&)> done)
{
    auto runner =
        std::make_shared<proposal_runner>(store, request, std::move(done));
    for (const auto& [digest, body] : known_bodies)
        runner->state_machine().add_known_body(digest, body);
    runner->perform(runner->state_machine().start());
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
