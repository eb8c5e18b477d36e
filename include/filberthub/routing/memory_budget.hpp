// Bounds the memory that a process holds for callers, servers and other
// instances, and decides what is dropped if that is too much. No I/O.
//
//     auto budget = std::make_shared<memory_budget>(
//         memory_limits::of_process(settings.memory_bytes));
//     memory_holder holder(budget, [this](shed_reason) { close(); });
//     memory_use use;
//     use[memory_kind::arriving] = decoder.buffered();
//     holder.set(use, false, last_progress, now);
//
// Designed for up to 10,000 connections in a process of 112 to 512 MiB. `set`
// takes constant time; dropping a holder looks at all of them.

#ifndef FILBERTHUB_ROUTING_MEMORY_BUDGET_HPP
#define FILBERTHUB_ROUTING_MEMORY_BUDGET_HPP

#include <filberthub/base/types.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_set>

namespace filberthub {

enum class memory_kind : std::uint8_t
{
    // Incomplete requests of callers.
    arriving,
    // Complete requests until they are answered.
    waiting,
    // Incomplete responses of servers.
    answer,
    // Responses that their callers have not read.
    unread,
    // Sockets and their buffers.
    connection
};

inline constexpr std::size_t memory_kind_count = 5;
std::string_view to_string(memory_kind kind);

// Bytes by kind.
class memory_use
{
public:
    std::size_t& operator[](memory_kind kind)
    {
        return bytes_.at(static_cast<std::size_t>(kind));
    }
    std::size_t operator[](memory_kind kind) const
    {
        return bytes_.at(static_cast<std::size_t>(kind));
    }
    std::size_t total() const;
    void add(const memory_use& other);
    void subtract(const memory_use& other);

private:
    std::array<std::size_t, memory_kind_count> bytes_{};
};

// Why a holder was dropped.
enum class shed_reason : std::uint8_t
{
    // It made no progress and held most.
    stalled,
    // It held most while none made no progress.
    largest,
    // A server worked on its request, and there was no other holder.
    served,
    // Its incomplete response was the largest.
    answer
};

inline constexpr std::size_t shed_reason_count = 4;
std::string_view to_string(shed_reason reason);

// Limits in bytes.
struct memory_limits
{
    std::size_t total = 0;
    // For the holders of more than `large_holder_bytes` together. The rest
    // stays free for small requests.
    std::size_t large = 0;
    // For incomplete responses of servers. A faulty server that responds
    // without end reaches it.
    std::size_t answers = 0;

    // Returns the limits of a process that may use `memory_bytes`.
    static memory_limits of_process(std::size_t memory_bytes);

    // Returns the size of the largest body that fits.
    std::size_t largest_body() const;
};

// Above the largest response of the deployments' downloads on average (90 kB)
// and their largest upload (360 kB).
inline constexpr std::size_t large_holder_bytes = std::size_t{512} * 1024;
// A client that has been inactive for this time makes no progress. Shorter
// pauses occur on a loaded network.
inline constexpr milliseconds stall_time{1'000};

class memory_holder;

// Guarantees that the bytes of all holders stay within the limits, except for
// what the last one added, as long as a dropped holder releases its memory.
class memory_budget
{
public:
    explicit memory_budget(const memory_limits& limits);

    const memory_limits& limits() const
    {
        return limits_;
    }
    const memory_use& use() const
    {
        return use_;
    }
    // Returns how many holders were dropped for this reason.
    std::uint64_t shed(shed_reason reason) const
    {
        return shed_.at(static_cast<std::size_t>(reason));
    }

private:
    friend class memory_holder;

    void change(memory_holder& holder, const memory_use& use);
    void enforce(time_point now);
    memory_holder* choose(bool only_large, time_point now) const;
    memory_holder* largest_answer() const;
    void drop(memory_holder& holder, shed_reason reason);

    memory_limits limits_;
    memory_use use_;
    std::size_t large_bytes_ = 0;
    std::array<std::uint64_t, shed_reason_count> shed_{};
    std::unordered_set<memory_holder*> holders_;
    bool enforcing_ = false;
};

// The part of one connection. It is released with this object.
class memory_holder
{
public:
    using drop_function = std::function<void(shed_reason)>;

    // Without a budget the holder has no effect. `drop` may be called by `set`
    // of any holder. It must release the memory and not destroy the holder. The
    // bytes of the holder count as released from then on.
    memory_holder(std::shared_ptr<memory_budget> budget, drop_function drop);
    ~memory_holder();
    memory_holder(const memory_holder&) = delete;
    memory_holder& operator=(const memory_holder&) = delete;

    // `served` tells whether a server works on a request of the holder, and
    // `progress` is when its client last sent or read a byte.
    void set(const memory_use& use, bool served, time_point progress,
        time_point now);
    // Releases what the holder has.
    void clear();

private:
    friend class memory_budget;

    bool is_protected(time_point now) const;

    std::shared_ptr<memory_budget> budget_;
    drop_function drop_;
    memory_use use_;
    bool served_ = false;
    time_point progress_;
};

} // namespace filberthub

#endif
