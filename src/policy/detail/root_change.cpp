#include <policy/detail/root_change.hpp>

namespace filberthub {
namespace {

using detail::overloaded;

template <class Map, class Id>
const change_mark* mark_of(const Map& entries, const Id& id)
{
    const auto found = entries.find(id);
    return found == entries.end() ? nullptr : &found->second.last_change;
}

// Removes the obsolete entries whose last change is older than the oldest of
// the last writers.
template <class Map, class IsGone>
void prune(Map& entries, revision oldest, IsGone is_obsolete)
{
    std::erase_if(entries, [&](const auto& item) {
        return is_obsolete(item.second) &&
               item.second.last_change.accepted < oldest;
    });
}

} // namespace

std::string subject_of(const policy_change& change)
{
    return std::visit(
        overloaded{
            [](const set_section& set) {
                return "section \"" + set.section.value() + "\"";
            },
            [](const remove_section& set) {
                return "section \"" + set.section.value() + "\"";
            },
            [](const set_domain& set) {
                return "failure domain \"" + set.domain.value() + "\"";
            },
            [](const set_instance& set) {
                return "instance \"" + set.instance.value() + "\"";
            },
        },
        change);
}

namespace detail {

const change_mark* last_change_of(
    const policy_root& root, const policy_change& change)
{
    return std::visit(overloaded{
                          [&](const set_section& set) {
                              return mark_of(root.sections, set.section);
                          },
                          [&](const remove_section& set) {
                              return mark_of(root.sections, set.section);
                          },
                          [&](const set_domain& set) {
                              return mark_of(root.domains, set.domain);
                          },
                          [&](const set_instance& set) {
                              return mark_of(root.instances, set.instance);
                          },
                      },
        change);
}

policy_root apply_change(const policy_root& before, const policy_change& change,
    const std::string& digest, const std::string& author,
    const std::string& nonce)
{
    policy_root root = before;
    root.base = root.number;
    root.number = root.number.next();
    root.nonce = nonce;
    const change_mark mark{root.number, author, nonce};
    std::visit(
        overloaded{
            [&](const set_section& set) {
                root.sections[set.section] = {digest, mark};
            },
            [&](const remove_section& set) {
                root.sections[set.section] = {"", mark};
            },
            [&](const set_domain& set) {
                root.domains[set.domain] = {set.out_of_service, mark};
            },
            [&](const set_instance& set) {
                root.instances[set.instance] = {set.out_of_service, mark};
            },
        },
        change);
    root.writers.push_back({mark, subject_of(change)});
    if (root.writers.size() > maximum_writers)
        root.writers.erase(root.writers.begin());

    const revision oldest = root.writers.front().mark.accepted;
    const auto is_in_service = [](const service_state_entry& entry) {
        return !entry.out_of_service;
    };
    prune(root.sections, oldest,
        [](const section_entry& entry) { return entry.digest.empty(); });
    prune(root.domains, oldest, is_in_service);
    prune(root.instances, oldest, is_in_service);
    return root;
}

} // namespace detail
} // namespace filberthub
