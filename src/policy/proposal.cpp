#include <filberthub/policy/proposal.hpp>
#include <policy/detail/root_change.hpp>

#include <algorithm>
#include <array>

namespace filberthub {
namespace {

std::string text_of(revision number)
{
    return std::to_string(number.value());
}

bool is_utf8(const std::string& text)
{
    try {
        json(text).dump();
        return true;
    } catch (const json::type_error&) {
        return false;
    }
}

void check_size(const std::string& what, std::size_t size, std::size_t maximum)
{
    if (size == 0 || size > maximum) {
        throw error(error_kind::bad_policy,
            what + ": " + std::to_string(size) +
                " bytes are not between 1 and " + std::to_string(maximum));
    }
}

// The root repeats these texts for the last 16 writers and for each entry, and
// the store holds at most 1 MB.
void check_request(const proposal_request& request)
{
    check_size("author", request.author.size(), 100);
    check_size("nonce", request.nonce.size(), 64);
    if (!is_utf8(request.author) || !is_utf8(request.nonce))
        throw error(error_kind::bad_policy, "author or nonce: not valid UTF-8");
    if (const auto* set = std::get_if<set_section>(&request.change))
        check_section(set->section, set->body);
    if (const auto* set = std::get_if<remove_section>(&request.change))
        check_name(set->section.value(), "section");
    if (const auto* set = std::get_if<set_domain>(&request.change))
        check_name(set->domain.value(), "failure domain");
    if (const auto* set = std::get_if<set_instance>(&request.change))
        check_name(set->instance.value(), "instance");
}

std::string describe(const change_mark& mark)
{
    return "revision " + text_of(mark.accepted) + " by \"" + mark.author + "\"";
}

} // namespace

std::string_view to_string(proposal_outcome value)
{
    constexpr std::array<std::string_view, 5> names = {
        "accepted", "conflict", "invalid", "store_unavailable", "unknown"};
    return names.at(static_cast<std::size_t>(value));
}

proposal::proposal(proposal_request request)
    : request_(std::move(request)), in_doubt_(request_.in_doubt)
{
    // The earlier proposal made its update from the revision before.
    if (in_doubt_)
        highest_seen_ = revision(in_doubt_->value() - 1);
    if (const auto* set = std::get_if<set_section>(&request_.change)) {
        text_ = canonical_text(set->body);
        digest_ = digest_of(text_);
        bodies_.emplace(digest_, set->body);
    }
}

void proposal::add_known_body(const std::string& digest, const json& body)
{
    bodies_.emplace(digest, body);
}

proposal_step proposal::start()
{
    // A fault of the section itself is found without a store call.
    try {
        check_request(request_);
    } catch (const error& failure) {
        return step(
            result(proposal_outcome::invalid, revision(), failure.what()));
    }
    return step(read_root{});
}

proposal_step proposal::next(const proposal_event& event)
{
    const auto expect = [&](bool is_expected) {
        if (!is_expected) {
            throw error(error_kind::internal,
                "event " + std::to_string(event.index()) +
                    " of a proposal does not belong to its step " +
                    std::to_string(last_.index()));
        }
    };
    return std::visit(
        detail::overloaded{
            [&](const root_was_read& read) {
                expect(std::holds_alternative<read_root>(last_));
                return on_root(read);
            },
            [&](const body_was_read& read) {
                const auto* call = std::get_if<read_body>(&last_);
                expect(call != nullptr);
                return on_body(*call, read.text);
            },
            [&](const body_was_written&) {
                expect(std::holds_alternative<write_body>(last_));
                is_body_written_ = true;
                return continue_with_root();
            },
            [&](const update_was_accepted&) {
                const auto* call = std::get_if<update_root>(&last_);
                expect(call != nullptr);
                return step(
                    result(proposal_outcome::accepted, call->root.number,
                        "accepted as revision " + text_of(call->root.number)));
            },
            [&](const update_was_refused&) {
                const auto* call = std::get_if<update_root>(&last_);
                expect(call != nullptr);
                outdated_.insert(call->expected);
                if (++retries_ > maximum_retries)
                    return give_up();
                return step(read_root{});
            },
            [&](const call_failed&) { return repeat(); },
            [&](const reply_was_lost&) {
                const auto* call = std::get_if<update_root>(&last_);
                if (call == nullptr)
                    return repeat();
                in_doubt_ = call->root.number;
                if (++retries_ > maximum_retries)
                    return give_up();
                return step(read_root{});
            },
        },
        event);
}

proposal_step proposal::repeat()
{
    if (++retries_ > maximum_retries)
        return give_up();
    return last_;
}

proposal_step proposal::give_up() const
{
    if (request_.base && highest_seen_ && *request_.base > *highest_seen_) {
        return result(proposal_outcome::invalid, revision(),
            "base revision " + text_of(*request_.base) +
                " is above the revision " + text_of(*highest_seen_) +
                " of the policy");
    }
    const std::string message = "the store did not answer " +
                                std::to_string(maximum_retries + 1) +
                                " calls as needed";
    if (in_doubt_) {
        return result(proposal_outcome::unknown, revision(),
            message + "; the change may have been written");
    }
    return result(proposal_outcome::store_unavailable, revision(),
        message + "; nothing was written");
}

proposal_step proposal::on_root(const root_was_read& event)
{
    const bool is_outdated =
        (highest_seen_ && event.root.number < *highest_seen_) ||
        outdated_.contains(event.version);
    highest_seen_ =
        std::max(highest_seen_.value_or(event.root.number), event.root.number);
    // The nonce is looked for even in an outdated root: what it shows has
    // happened.
    if (const auto own = own_write(event.root))
        return step(*own);
    if (is_outdated || (request_.base && *request_.base > event.root.number))
        return repeat();
    if (!request_.base)
        request_.base = event.root.number;
    seen_ = event;
    return continue_with_root();
}

proposal_step proposal::on_body(const read_body& call, const std::string& text)
{
    // Bodies are immutable, so another text is a fault of the store.
    if (digest_of(text) != call.digest)
        return repeat();
    try {
        bodies_.emplace(call.digest, parse_body(call.digest, text));
    } catch (const error& failure) {
        return step(result(proposal_outcome::invalid, revision(),
            "section \"" + call.section.value() + "\": " + failure.what()));
    }
    return continue_with_root();
}

proposal_step proposal::continue_with_root()
{
    if (const auto refused = check_subject())
        return step(*refused);
    if (const auto call = missing_body())
        return step(*call);
    if (const auto refused = check_merged())
        return step(*refused);
    if (!text_.empty() && !is_body_written_) {
        const auto& set = std::get<set_section>(request_.change);
        return step(write_body{set.section, digest_, text_});
    }
    return step(update_root{seen_.version, changed_root()});
}

// Returns a result if the root shows that an update of this proposal took
// effect, or that it can no longer be known. Otherwise resolves the doubt about
// a lost reply if that is possible.
std::optional<proposal_result> proposal::own_write(const policy_root& root)
{
    const auto accepted = [this](const change_mark& mark) {
        return result(proposal_outcome::accepted, mark.accepted,
            "accepted as revision " + text_of(mark.accepted));
    };
    for (const root_writer& writer : root.writers) {
        if (writer.mark.nonce == request_.nonce)
            return accepted(writer.mark);
    }
    const change_mark* last = detail::last_change_of(root, request_.change);
    if (last != nullptr && last->nonce == request_.nonce)
        return accepted(*last);
    if (!in_doubt_ || root.number < *in_doubt_)
        return std::nullopt;
    // Another writer made the revision in doubt, so the update had no effect
    // and never will have: the version that it expects is gone.
    if (!root.writers.empty() &&
        root.writers.front().mark.accepted <= *in_doubt_) {
        in_doubt_.reset();
        return std::nullopt;
    }
    return result(proposal_outcome::unknown, revision(),
        "the reply to the update was lost, and revision " +
            text_of(*in_doubt_) +
            " is no longer among the last writers of "
            "revision " +
            text_of(root.number));
}

std::optional<proposal_result> proposal::check_subject() const
{
    const policy_root& root = seen_.root;
    const change_mark* last = detail::last_change_of(root, request_.change);
    const std::string name = subject_of(request_.change);
    const revision base = *request_.base;
    if (last != nullptr && last->accepted > base) {
        proposal_result refused = result(proposal_outcome::conflict, revision(),
            name + " was changed in " + describe(*last) +
                ", after the proposal's base revision " + text_of(base));
        refused.winner = *last;
        return refused;
    }
    // Without an entry, the subject did not change since the oldest writer.
    if (last == nullptr && !root.writers.empty() &&
        base.next() < root.writers.front().mark.accepted) {
        return result(proposal_outcome::conflict, revision(),
            "base revision " + text_of(base) + " is too old to tell whether " +
                name + " was changed; expected " +
                std::to_string(root.writers.front().mark.accepted.value() - 1) +
                " or later");
    }
    return std::nullopt;
}

std::optional<proposal_step> proposal::missing_body() const
{
    const policy_root root = changed_root();
    const auto missing = missing_sections(root, bodies_);
    if (missing.empty())
        return std::nullopt;
    return read_body{missing.front(), root.sections.at(missing.front()).digest};
}

// Two changes of different sections can each be good and still contradict each
// other, so the policy is checked as it will be.
std::optional<proposal_result> proposal::check_merged() const
{
    const policy_root root = changed_root();
    try {
        const policy_document document = assemble(root, bodies_);
        const auto* set = std::get_if<set_domain>(&request_.change);
        if (set != nullptr && set->out_of_service)
            document.check_domain(set->domain);
        check_size("policy root", to_text(root).size(), maximum_section_bytes);
    } catch (const error& failure) {
        return result(proposal_outcome::invalid, revision(),
            "checked with revision " + text_of(seen_.root.number) + ": " +
                failure.what());
    }
    return std::nullopt;
}

policy_root proposal::changed_root() const
{
    return detail::apply_change(
        seen_.root, request_.change, digest_, request_.author, request_.nonce);
}

proposal_step proposal::step(proposal_step next_step)
{
    last_ = std::move(next_step);
    return last_;
}

proposal_result proposal::result(proposal_outcome outcome, revision accepted,
    const std::string& message) const
{
    proposal_result made;
    made.outcome = outcome;
    made.accepted = accepted;
    made.base = request_.base;
    if (outcome == proposal_outcome::unknown)
        made.in_doubt = in_doubt_;
    made.message = message;
    return made;
}

} // namespace filberthub
