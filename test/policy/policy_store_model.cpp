#include <policy/policy_store_model.hpp>

#include <algorithm>
#include <array>

namespace filberthub {
namespace {

constexpr std::size_t operator_count = 4;

// Runs the operators of one schedule against the modeled store and checks the
// outcomes.
class store_model
{
public:
    store_model(
        const std::vector<std::uint8_t>& bytes, const model_faults& faults)
        : bytes_(bytes), faults_(faults), history_(1)
    {}

    schedule_report run()
    {
        // The failure domains exist before operators take them out of service.
        start(0, set_section{section_id("fleet"), json::parse(R"({"team": "o",
            "regions": {"r": {"failure_domains": ["d0", "d1"]}}})")});
        while (running_[0].machine)
            advance(0, 0);
        while (position_ < bytes_.size()) {
            const std::size_t index = pick(operator_count);
            if (outage_ > 0)
                --outage_;
            else if (pick(64) == 0)
                outage_ = 60;
            if (!running_[index].machine)
                start(index, any_change());
            else
                advance(index, pick(16));
            if (!delayed_.empty() && pick(8) == 0)
                deliver();
        }
        outage_ = 0;
        for (std::size_t index = 0; index < operator_count; ++index) {
            while (running_[index].machine)
                advance(index, 0);
        }
        while (!delayed_.empty())
            deliver();
        for (const finished& item : finished_)
            check(item);
        return std::move(report_);
    }

private:
    // An operator and its proposal, if one is in progress.
    struct proposer
    {
        std::optional<proposal> machine;
        proposal_request request;
        proposal_step step;
    };
    struct finished
    {
        proposal_request request;
        proposal_result result;
    };

    std::size_t pick(std::size_t count)
    {
        return position_ < bytes_.size() ? bytes_[position_++] % count : 0;
    }

    policy_change any_change()
    {
        const std::string digit = std::to_string(pick(2));
        switch (pick(5)) {
        case 0:
            return set_domain{failure_domain_id("d" + digit), pick(2) == 0};
        case 1:
            return set_instance{instance_id("i" + digit), pick(2) == 0};
        case 2:
            return remove_section{section_id("s" + digit)};
        default:
            break;
        }
        json body = {{"team", "team " + std::to_string(pick(256))}};
        // Two sections that both define this region contradict each other.
        if (pick(4) == 0)
            body["regions"]["shared"]["failure_domains"] = {"d" + digit + "s"};
        return set_section{section_id("s" + digit), body};
    }

    void start(std::size_t index, policy_change change)
    {
        proposer& current = running_[index];
        current.request = {std::move(change),
            "operator " + std::to_string(index),
            "nonce " + std::to_string(++proposals_), std::nullopt};
        // Some authors saw an earlier revision of the policy.
        if (pick(4) == 0)
            current.request.base = any_root(4).number;
        current.machine.emplace(current.request);
        current.step = current.machine->start();
        finish_if_done(current);
    }

    void advance(std::size_t index, std::size_t fault)
    {
        proposer& current = running_[index];
        current.step = current.machine->next(perform(current, fault));
        finish_if_done(current);
    }

    void finish_if_done(proposer& current)
    {
        const auto* result = std::get_if<proposal_result>(&current.step);
        if (result == nullptr)
            return;
        ++report_.outcomes[result->outcome];
        finished_.push_back({current.request, *result});
        current.machine.reset();
        if (result->outcome == proposal_outcome::unknown && pick(2) == 1) {
            current.request.base = result->base;
            current.request.in_doubt = result->in_doubt;
            current.machine.emplace(current.request);
            current.step = current.machine->start();
        }
    }

    // Returns one of the last `count` roots.
    const policy_root& any_root(std::size_t count)
    {
        const std::size_t age = pick(std::min(count, history_.size()));
        return history_[history_.size() - 1 - age];
    }

    proposal_event perform(const proposer& current, std::size_t fault)
    {
        const proposal_step& step = current.step;
        const bool is_outage = outage_ > 0 && fault > 5;
        if (fault == 1 || is_outage)
            return call_failed{};
        if (fault == 2)
            return reply_was_lost{};
        proposal_event event;
        if (std::holds_alternative<read_root>(step)) {
            event = read(current, fault == 3 ? any_root(6) : history_.back());
        } else if (const auto* body = std::get_if<read_body>(&step)) {
            event = body_was_read{
                bodies_.at(section_path(body->section, body->digest))};
        } else if (const auto* write = std::get_if<write_body>(&step)) {
            bodies_[section_path(write->section, write->digest)] = write->text;
            event = body_was_written{};
        } else {
            const auto& update = std::get<update_root>(step);
            if (fault == 3) {
                delayed_.push_back(update);
                return reply_was_lost{};
            }
            event = update_root_object(update);
        }
        if (fault == 4 || fault == 5)
            return reply_was_lost{};
        return event;
    }

    proposal_event read(const proposer& current, policy_root root) const
    {
        const object_version version(root.number.value());
        if (faults_.hides_own_nonce)
            hide_nonce(root, current.request.nonce);
        return root_was_read{version, std::move(root)};
    }

    static void hide_nonce(policy_root& root, const std::string& nonce)
    {
        const auto hide = [&](change_mark& mark) {
            if (mark.nonce == nonce)
                mark.nonce = "hidden";
        };
        for (root_writer& writer : root.writers)
            hide(writer.mark);
        for (auto& [id, entry] : root.sections)
            hide(entry.last_change);
        for (auto& [id, entry] : root.domains)
            hide(entry.last_change);
        for (auto& [id, entry] : root.instances)
            hide(entry.last_change);
    }

    void deliver()
    {
        const std::size_t place = pick(delayed_.size());
        update_root_object(delayed_[place]);
        delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(place));
    }

    proposal_event update_root_object(const update_root& update)
    {
        const policy_root& before = history_.back();
        const bool is_expected =
            update.expected.value() == before.number.value();
        if (!is_expected && !faults_.ignores_version)
            return update_was_refused{};
        check(before, update.root);
        history_.push_back(update.root);
        return update_was_accepted{};
    }

    void report_violation(const std::string& description)
    {
        if (report_.violation.empty())
            report_.violation = description;
    }

    // Checks that one write adds one change and keeps all others.
    void check(const policy_root& before, const policy_root& after)
    {
        const std::string name = "revision " +
                                 std::to_string(after.number.value()) + " by " +
                                 after.nonce;
        if (after.number != before.number.next() || after.base != before.number)
            report_violation(name + " does not follow its predecessor");
        // Instances read roots from their text form.
        if (policy_root_from_text(to_text(after)) != after)
            report_violation(name + " changes in its text form");
        const std::size_t changes =
            changed(before.sections, after.sections, after.nonce) +
            changed(before.domains, after.domains, after.nonce) +
            changed(before.instances, after.instances, after.nonce);
        if (changes != 1)
            report_violation(
                name + " has " + std::to_string(changes) + " changes");
        std::map<section_id, json> sections;
        for (const auto& [id, entry] : after.sections) {
            if (!entry.digest.empty()) {
                sections[id] =
                    json::parse(bodies_.at(section_path(id, entry.digest)));
            }
        }
        try {
            check_policy(sections, after.out_of_service());
        } catch (const error& failure) {
            report_violation(name + " is no valid policy: " + failure.what());
        }
    }

    static bool has_effect(const section_entry& entry)
    {
        return !entry.digest.empty();
    }
    static bool has_effect(const service_state_entry& entry)
    {
        return entry.out_of_service;
    }

    // Counts the entries that differ. Entries without effect may be removed.
    template <class Map>
    static std::size_t changed(
        const Map& before, const Map& after, const std::string& nonce)
    {
        std::size_t count = 0;
        for (const auto& [id, entry] : after) {
            const auto old = before.find(id);
            if (entry.last_change.nonce == nonce || old == before.end() ||
                old->second != entry)
                ++count;
        }
        for (const auto& [id, entry] : before) {
            if (!after.contains(id) && has_effect(entry))
                ++count;
        }
        return count;
    }

    // Checks the result that an operator got against the history of the root.
    void check(const finished& item)
    {
        const std::string& nonce = item.request.nonce;
        const std::string subject = subject_of(item.request.change);
        const proposal_result& result = item.result;
        const std::string name =
            nonce + " (" + std::string(to_string(result.outcome)) + ")";
        std::size_t written = 0;
        for (const policy_root& root : history_) {
            if (root.nonce != nonce)
                continue;
            ++written;
            if (result.outcome == proposal_outcome::accepted &&
                root.number != result.accepted)
                report_violation(name + " names another revision");
        }
        const bool is_accepted = result.outcome == proposal_outcome::accepted;
        const bool is_unknown = result.outcome == proposal_outcome::unknown;
        if (written > 1 || (is_accepted && written == 0) ||
            (!is_accepted && !is_unknown && written > 0))
            report_violation(
                name + " was written " + std::to_string(written) + " times");
        if (is_accepted)
            check_base(name, subject, *result.base, result.accepted);
        if (result.outcome == proposal_outcome::conflict)
            check_winner(name, subject, result);
    }

    // An accepted change must not replace one that its author did not see.
    void check_base(const std::string& name, const std::string& subject,
        revision base, revision accepted)
    {
        for (const policy_root& root : history_) {
            if (root.number > base && root.number < accepted &&
                root.writers.back().change == subject)
                report_violation(name + " replaced a change after its base");
        }
    }

    void check_winner(const std::string& name, const std::string& subject,
        const proposal_result& result)
    {
        if (!result.winner) {
            if (result.message.find("too old") == std::string::npos)
                report_violation(name + " names no conflicting change");
            return;
        }
        const bool exists = std::any_of(
            history_.begin(), history_.end(), [&](const policy_root& root) {
                return root.number == result.winner->accepted &&
                       root.nonce == result.winner->nonce &&
                       root.writers.back().change == subject;
            });
        if (!exists || result.winner->accepted <= *result.base)
            report_violation(
                name + " names a conflicting change that was not made");
    }

    const std::vector<std::uint8_t>& bytes_;
    model_faults faults_;
    std::size_t position_ = 0;
    // All states of the root. The version of each is its revision.
    std::vector<policy_root> history_;
    std::map<std::string, std::string> bodies_;
    // Updates whose replies were lost and that reach the store later.
    std::vector<update_root> delayed_;
    std::array<proposer, operator_count> running_;
    std::vector<finished> finished_;
    int proposals_ = 0;
    // Remaining steps during which the store fails most calls.
    int outage_ = 0;
    schedule_report report_;
};

} // namespace

schedule_report run_schedule(
    const std::vector<std::uint8_t>& bytes, const model_faults& faults)
{
    return store_model(bytes, faults).run();
}

} // namespace filberthub
