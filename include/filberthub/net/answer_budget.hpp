// Bounds the memory that the incomplete answers of all servers take together.
//
//     answer_budget budget(bytes);
//     budget.set(this, decoder.buffered(), [this] { close(); });
//     budget.remove(this);

#ifndef FILBERTHUB_NET_ANSWER_BUDGET_HPP
#define FILBERTHUB_NET_ANSWER_BUDGET_HPP

#include <cstddef>
#include <functional>
#include <map>

namespace filberthub {

// Guarantees that the bytes of all holders stay within the limit, except for
// what the last one added. If they exceed it, the holder with the most bytes is
// dropped: a faulty server that answers without end soon has the most.
class answer_budget
{
public:
    using holder = const void*;

    explicit answer_budget(std::size_t limit) : limit_(limit) {}

    // Sets the number of bytes that a holder has received. `drop` is called at
    // most once, possibly by this call and after the holder was removed; it
    // must not destroy the holder at once.
    void set(holder owner, std::size_t bytes, std::function<void()> drop);
    // To be called when the answer of the holder is complete or given up.
    void remove(holder owner);

    std::size_t total() const
    {
        return total_;
    }

private:
    struct share
    {
        std::size_t bytes = 0;
        std::function<void()> drop;
    };

    std::size_t limit_;
    std::size_t total_ = 0;
    std::map<holder, share> shares_;
};

} // namespace filberthub

#endif
