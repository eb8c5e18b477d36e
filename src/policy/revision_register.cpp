#include <filberthub/policy/revision_register.hpp>

#include <set>

namespace filberthub {

bool revision_register::offer(revision number, shared_policy document)
{
    if (document == nullptr || number <= in_force_)
        return false;
    in_force_ = number;
    document_ = std::move(document);
    return true;
}

bool revision_register::offer_highest(
    std::span<const peer_policy> answers, std::size_t required)
{
    std::set<instance_id> peers;
    const peer_policy* highest = nullptr;
    for (const peer_policy& answer : answers) {
        if (answer.document == nullptr)
            continue;
        peers.insert(answer.peer);
        if (highest == nullptr || answer.number > highest->number)
            highest = &answer;
    }
    if (highest == nullptr || peers.size() < required)
        return false;
    return offer(highest->number, highest->document);
}

} // namespace filberthub
