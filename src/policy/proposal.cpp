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

void check_size(const std::string& name, std::size_t size, std::size_t maximum)
{
    if (size == 0 || size > maximum) {
        throw error(error_kind::bad_policy,
            name + ": " + std::to_string(size) +
                " bytes are not between 1 and " + std::to_string(maximum));
    }
}

// Checks the request. The sizes are limited because the root repeats the author
// and nonce for the last 16 writers and for each entry, and a store value has
// at most 1 MB.
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
    // The update of the earlier proposal was based on the preceding revision.
    if (in_doubt_)
        highest_revision_seen_ = revision(in_doubt_->value() - 1);
    if (const auto* set = std::get_if<set_section>(&request_.change)) {
        body_text_ = canonical_text(set->body);
        body_digest_ = digest_of(body_text_);
        bodies_.emplace(body_digest_, set->body);
    }
}

void proposal::add_known_body(const std::string& digest, const json& body)
{
    bodies_.emplace(digest, body);
}

proposal_step proposal::start()
{
    // An error in the section itself is found without a store call.
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
                    std::to_string(last_step_.index()));
        }
    };
    return std::visit(
        detail::overloaded{
            [&](const root_was_read& read) {
                expect(std::holds_alternative<read_root>(last_step_));
                return on_root(read);
            },
            [&](const body_was_read& read) {
                const auto* call = std::get_if<read_body>(&last_step_);
                expect(call != nullptr);
                return on_body(*call, read.text);
            },
            [&](const body_was_written&) {
                expect(std::holds_alternative<write_body>(last_step_));
                is_body_written_ = true;
                return continue_with_root();
            },
            [&](const update_was_accepted&) {
                const auto* call = std::get_if<update_root>(&last_step_);
                expect(call != nullptr);
                return step(
                    result(proposal_outcome::accepted, call->root.number,
                        "accepted as revision " + text_of(call->root.number)));
            },
            [&](const update_was_refused&) {
                const auto* call = std::get_if<update_root>(&last_step_);
                expect(call != nullptr);
                outdated_versions_.insert(call->expected);
                if (++retries_ > maximum_retries)
                    return give_up();
                return step(read_root{});
            },
            [&](const call_failed&) { return retry(); },
            [&](const reply_was_lost&) {
                const auto* call = std::get_if<update_root>(&last_step_);
                if (call == nullptr)
                    return retry();
                in_doubt_ = call->root.number;
                if (++retries_ > maximum_retries)
                    return give_up();
                return step(read_root{});
            },
        },
        event);
}

proposal_step proposal::retry()
{
    if (++retries_ > maximum_retries)
        return give_up();
    return last_step_;
}

proposal_step proposal::give_up() const
{
    if (request_.base && highest_revision_seen_ &&
        *request_.base > *highest_revision_seen_) {
        return result(proposal_outcome::invalid, revision(),
            "base revision " + text_of(*request_.base) +
                " is above the revision " + text_of(*highest_revision_seen_) +
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
    const bool is_outdated = (highest_revision_seen_ &&
                                 event.root.number < *highest_revision_seen_) ||
                             outdated_versions_.contains(event.version);
    highest_revision_seen_ = std::max(
        highest_revision_seen_.value_or(event.root.number), event.root.number);
    // Even an outdated root is searched for the nonce: a write that it contains
    // has taken effect.
    if (const auto known_result = find_own_write(event.root))
        return step(*known_result);
    if (is_outdated || (request_.base && *request_.base > event.root.number))
        return retry();
    if (!request_.base)
        request_.base = event.root.number;
    current_root_ = event;
    return continue_with_root();
}

proposal_step proposal::on_body(const read_body& call, const std::string& text)
{
    // Bodies are immutable, so a text with another digest is an error of the
    // store.
    if (digest_of(text) != call.digest)
        return retry();
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
    if (const auto refused = check_conflict())
        return step(*refused);
    if (const auto call = missing_body())
        return step(*call);
    if (const auto refused = check_changed_policy())
        return step(*refused);
    if (!body_text_.empty() && !is_body_written_) {
        const auto& set = std::get<set_section>(request_.change);
        return step(write_body{set.section, body_digest_, body_text_});
    }
    return step(update_root{current_root_.version, changed_root()});
}

// Returns a result if the root shows that an update of this proposal took
// effect, or that this can no longer be determined. Otherwise clears
// `in_doubt_` if the root shows that the update had no effect.
std::optional<proposal_result> proposal::find_own_write(const policy_root& root)
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
    // Another writer created the revision in doubt. The update had no effect
    // and will have none, because the root no longer has the version it
    // expects.
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

std::optional<proposal_result> proposal::check_conflict() const
{
    const policy_root& root = current_root_.root;
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
    // If there is no entry, the subject has not changed since the oldest
    // writer.
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

// Checks the whole policy with the change in it, because two changes of
// different sections can each be valid and still contradict each other.
std::optional<proposal_result> proposal::check_changed_policy() const
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
            "checked with revision " + text_of(current_root_.root.number) +
                ": " + failure.what());
    }
    return std::nullopt;
}

policy_root proposal::changed_root() const
{
    return detail::apply_change(current_root_.root, request_.change,
        body_digest_, request_.author, request_.nonce);
}

proposal_step proposal::step(proposal_step next_step)
{
    last_step_ = std::move(next_step);
    return last_step_;
}

proposal_result proposal::result(proposal_outcome outcome, revision accepted,
    const std::string& message) const
{
    proposal_result value;
    value.outcome = outcome;
    value.accepted = accepted;
    value.base = request_.base;
    if (outcome == proposal_outcome::unknown)
        value.in_doubt = in_doubt_;
    value.message = message;
    return value;
}

} // namespace filberthub
