#include <filberthub/routing/memory_budget.hpp>

#include <algorithm>
#include <tuple>

namespace filberthub {
namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
// What the process needs without callers. A process of the largest deployment
// that uses 112 MiB in all then has room for a body of 64 MiB.
constexpr std::size_t process_bytes = 36 * mebibyte;
// Above this size, a quarter of the memory is left for fragments that the
// allocator keeps.
constexpr std::size_t small_process_bytes = 112 * mebibyte;
constexpr std::size_t fragment_divisor = 4;
// At least this part of the memory is for holders, in processes that are
// smaller than any in the deployments.
constexpr std::size_t min_share_divisor = 4;
// One part in 16 stays free for holders that are not large.
constexpr std::size_t small_part_divisor = 16;
// The buffers of an answer take up to three times its bytes while they grow.
constexpr std::size_t answer_divisor = 8;
// A connection that is idle between two requests holds less.
constexpr std::size_t min_stalled_bytes = std::size_t{64} * 1024;

} // namespace

std::string_view to_string(memory_kind kind)
{
    constexpr std::array<std::string_view, memory_kind_count> names = {
        "arriving", "waiting", "answer", "unread", "connection"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(shed_reason reason)
{
    constexpr std::array<std::string_view, shed_reason_count> names = {
        "stalled", "largest", "served", "answer"};
    return names.at(static_cast<std::size_t>(reason));
}

std::size_t memory_use::total() const
{
    std::size_t sum = 0;
    for (const std::size_t bytes : bytes_)
        sum += bytes;
    return sum;
}

void memory_use::add(const memory_use& other)
{
    for (std::size_t kind = 0; kind < memory_kind_count; ++kind)
        bytes_.at(kind) += other.bytes_.at(kind);
}

void memory_use::subtract(const memory_use& other)
{
    for (std::size_t kind = 0; kind < memory_kind_count; ++kind)
        bytes_.at(kind) -= other.bytes_.at(kind);
}

memory_limits memory_limits::of_process(std::size_t memory_bytes)
{
    std::size_t reserved = process_bytes;
    if (memory_bytes > small_process_bytes)
        reserved += (memory_bytes - small_process_bytes) / fragment_divisor;
    memory_limits limits;
    limits.total = memory_bytes / min_share_divisor;
    if (memory_bytes > reserved)
        limits.total = std::max(limits.total, memory_bytes - reserved);
    limits.large = limits.total - limits.total / small_part_divisor;
    limits.answers = memory_bytes / answer_divisor;
    return limits;
}

std::size_t memory_limits::largest_body() const
{
    // The buffers of the connection and of the one to the server.
    return large - std::min(large, 2 * large_holder_bytes);
}

memory_budget::memory_budget(const memory_limits& limits) : limits_(limits) {}

void memory_budget::change(memory_holder& holder, const memory_use& use)
{
    const auto large_part = [](std::size_t bytes) {
        return bytes > large_holder_bytes ? bytes : 0;
    };
    large_bytes_ -= large_part(holder.use_.total());
    large_bytes_ += large_part(use.total());
    use_.subtract(holder.use_);
    use_.add(use);
    holder.use_ = use;
}

// Drops holders until the limits hold. A drop may change other holders, which
// is checked in the next round.
void memory_budget::enforce(time_point now)
{
    if (enforcing_)
        return;
    enforcing_ = true;
    while (use_[memory_kind::answer] > limits_.answers) {
        memory_holder* holder = largest_answer();
        if (holder == nullptr)
            break;
        drop(*holder, shed_reason::answer);
    }
    while (use_.total() > limits_.total || large_bytes_ > limits_.large) {
        memory_holder* holder = choose(use_.total() <= limits_.total, now);
        if (holder == nullptr)
            break;
        shed_reason reason = shed_reason::largest;
        if (holder->is_protected(now))
            reason = shed_reason::served;
        else if (now - holder->progress_ >= stall_time)
            reason = shed_reason::stalled;
        drop(*holder, reason);
    }
    enforcing_ = false;
}

// Returns the holder to drop: one that is not protected if there is any, among
// these one that is stalled, and among these the one with the most bytes times
// the time without progress.
memory_holder* memory_budget::choose(bool only_large, time_point now) const
{
    memory_holder* best = nullptr;
    std::tuple<bool, bool, double> best_rank;
    for (memory_holder* holder : holders_) {
        const std::size_t bytes = holder->use_.total();
        if (bytes == 0 || (only_large && bytes <= large_holder_bytes))
            continue;
        const std::chrono::duration<double> idle = now - holder->progress_;
        const std::tuple rank(!holder->is_protected(now),
            bytes >= min_stalled_bytes && idle >= stall_time,
            static_cast<double>(bytes) *
                std::max<std::chrono::duration<double>>(idle, stall_time)
                    .count());
        if (best == nullptr || rank > best_rank) {
            best = holder;
            best_rank = rank;
        }
    }
    return best;
}

memory_holder* memory_budget::largest_answer() const
{
    memory_holder* largest = nullptr;
    for (memory_holder* holder : holders_) {
        const std::size_t bytes = holder->use_[memory_kind::answer];
        if (bytes > 0 &&
            (largest == nullptr || bytes > largest->use_[memory_kind::answer]))
            largest = holder;
    }
    return largest;
}

void memory_budget::drop(memory_holder& holder, shed_reason reason)
{
    ++shed_.at(static_cast<std::size_t>(reason));
    change(holder, {});
    holder.drop_(reason);
}

memory_holder::memory_holder(
    std::shared_ptr<memory_budget> budget, drop_function drop)
    : budget_(std::move(budget)), drop_(std::move(drop))
{
    if (budget_)
        budget_->holders_.insert(this);
}

memory_holder::~memory_holder()
{
    clear();
    if (budget_)
        budget_->holders_.erase(this);
}

void memory_holder::set(
    const memory_use& use, bool served, time_point progress, time_point now)
{
    if (!budget_)
        return;
    served_ = served;
    progress_ = progress;
    budget_->change(*this, use);
    budget_->enforce(now);
}

void memory_holder::clear()
{
    if (budget_)
        budget_->change(*this, {});
}

// A request that a server works on protects its connection, unless the client
// leaves the responses before it unread.
bool memory_holder::is_protected(time_point now) const
{
    return served_ &&
           (use_[memory_kind::unread] == 0 || now - progress_ < stall_time);
}

} // namespace filberthub
