#include <filberthub/routing/coordinator_lease.hpp>

#include <filberthub/base/json_reader.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr std::int64_t largest = std::int64_t{1} << 60;

} // namespace

lease_record lease_record::from_text(const std::string& text)
{
    const json document = parse_json(text, error_kind::bad_policy);
    json_reader reader(document, error_kind::bad_policy);
    lease_record record;
    record.holder = instance_id(reader.string("holder"));
    if (!record.holder.empty())
        record.address = endpoint_from_string(reader.string("address"));
    record.term =
        static_cast<std::uint64_t>(reader.integer("term", 0, largest));
    record.run_id =
        static_cast<std::uint64_t>(reader.integer("run", 0, largest));
    record.renewal =
        static_cast<std::uint64_t>(reader.integer("renewal", 0, largest));
    record.earlier_grants_left =
        milliseconds(reader.integer_or("others_grant_ms", 0, largest, 0));
    return record;
}

std::string lease_record::text() const
{
    return json{{"holder", holder.value()}, {"address", to_string(address)},
        {"term", term}, {"run", run_id}, {"renewal", renewal},
        {"others_grant_ms", earlier_grants_left.count()}}
        .dump();
}

coordinator_lease::coordinator_lease(lease_record self, lease_options options)
    : self_(std::move(self)), options_(options)
{}

void coordinator_lease::on_read(const std::optional<lease_record>& record,
    std::uint64_t store_revision, time_point now)
{
    if (known_ && store_revision < revision_)
        return;
    const bool changed = !known_ || store_revision != revision_;
    const bool was_holder = is_holder();
    // A revision that was missed before is no sign that the holder reaches the
    // store now.
    if (changed && !read_due_)
        cut_off_ = false;
    read_due_ = false;
    if (changed)
        record_seen_ = now;
    record_ = record;
    revision_ = store_revision;
    known_ = true;
    needs_read_ = false;
    if (changed && !is_holder())
        heard_ = now;
    if (was_holder && !is_holder())
        confirmed_.reset();
    // The answer to an own write was lost, and it was carried out.
    if (uncertain_ && is_holder() && *record_ == written_)
        confirmed_ = written_at_;
    uncertain_ = false;
}

void coordinator_lease::on_coordinator_heard(time_point now)
{
    heard_ = now;
    cut_off_ = false;
    read_due_ = false;
}

bool coordinator_lease::on_coordinator_cut_off()
{
    if (cut_off_)
        return false;
    cut_off_ = true;
    read_due_ = true;
    return true;
}

bool coordinator_lease::is_holder() const
{
    return record_ && record_->holder == self_.holder &&
           record_->run_id == self_.run_id;
}

bool coordinator_lease::holds(time_point now) const
{
    return is_holder() && record_->term >= superseded_by_ && confirmed_ &&
           now < *confirmed_ + options_.duration;
}

std::optional<lease_write> coordinator_lease::due(time_point now)
{
    if (!known_ || needs_read_ || read_due_ || write_open_ || now < next_write_)
        return std::nullopt;
    lease_record next = self_;
    if (is_holder()) {
        next.term = record_->term;
        if (confirmed_ && now < *confirmed_ + options_.renewal)
            return std::nullopt;
        next.renewal = record_->renewal + 1;
    } else {
        // A process that finds its own name was the holder before it started
        // again, and nobody else acts for that holder.
        const bool own_name = record_ && record_->holder == self_.holder;
        const bool vacant = !record_ || record_->holder.empty() || own_name;
        const milliseconds wait = own_name ? milliseconds(0)
                                  : vacant || cut_off_
                                      ? options_.spread
                                      : options_.takeover + options_.spread;
        if (now < heard_ + wait)
            return std::nullopt;
        next.term = record_ ? record_->term + 1 : 1;
        // A holder that left or started again grants no more, but one that was
        // replaced before it may not know it yet.
        older_lease_end_ = record_ ? record_seen_ + record_->earlier_grants_left
                                   : time_point{};
        const bool stopped = own_name || vacant;
        predecessor_ = stopped ? std::nullopt : record_;
        old_lease_end_ =
            stopped && record_ ? older_lease_end_ : now + options_.duration;
    }
    next.earlier_grants_left = std::max(
        milliseconds(0), std::chrono::ceil<milliseconds>(old_lease_end_ - now));
    write_open_ = true;
    written_ = next;
    written_at_ = now;
    return lease_write{revision_, next};
}

void coordinator_lease::on_predecessor_stopped(time_point now)
{
    predecessor_.reset();
    old_lease_end_ = std::min(old_lease_end_, std::max(now, older_lease_end_));
}

void coordinator_lease::on_superseded(std::uint64_t term)
{
    superseded_by_ = std::max(superseded_by_, term);
    needs_read_ = true;
}

std::optional<lease_write> coordinator_lease::leave()
{
    if (!is_holder())
        return std::nullopt;
    lease_record next;
    next.term = record_->term + 1;
    // What was left at the last renewal is at least what is left now.
    next.earlier_grants_left = record_->earlier_grants_left;
    confirmed_.reset();
    write_open_ = true;
    written_ = next;
    return lease_write{revision_, next};
}

void coordinator_lease::on_written(std::uint64_t store_revision, time_point)
{
    if (!write_open_)
        return;
    write_open_ = false;
    record_ = written_;
    revision_ = store_revision;
    if (is_holder())
        confirmed_ = written_at_;
}

void coordinator_lease::on_write_failed(time_point now)
{
    write_open_ = false;
    uncertain_ = true;
    needs_read_ = true;
    next_write_ = now + options_.retry;
}

} // namespace filberthub
