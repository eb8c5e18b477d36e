#include "tools/model/grant_register.hpp"

namespace filberthub::tools {
namespace {

boost::icl::discrete_interval<std::uint64_t> interval_of(
    const group_range& range)
{
    return boost::icl::discrete_interval<std::uint64_t>::closed(
        range.first, range.last);
}

std::uint32_t group_number(const json& value)
{
    if (!value.is_number_unsigned() ||
        value.get<std::uint64_t>() > all_groups.last) {
        throw error(error_kind::bad_request,
            "a group is " + value.dump() +
                ", expected an unsigned 32-bit number");
    }
    return value.get<std::uint32_t>();
}

} // namespace

std::vector<group_range> groups_from_json(const json& value)
{
    if (value.is_object() && value.value("all", json()) == json(true))
        return {all_groups};
    if (!value.is_array()) {
        throw error(error_kind::bad_request,
            "groups is " + value.dump() +
                ", expected {\"all\":true} or an array of [first,last]");
    }
    std::vector<group_range> result;
    for (const json& item : value) {
        if (!item.is_array() || item.size() != 2) {
            throw error(error_kind::bad_request, "a range of groups is " +
                                                     item.dump() +
                                                     ", expected [first,last]");
        }
        const group_range range{group_number(item[0]), group_number(item[1])};
        if (range.first > range.last) {
            throw error(error_kind::bad_request,
                "the range of groups " + item.dump() + " is reversed");
        }
        result.push_back(range);
    }
    return result;
}

bool grant_register::set(
    const std::vector<group_range>& groups, const group_grant& value)
{
    for (const group_range& range : groups) {
        const auto [first, last] = grants_.equal_range(interval_of(range));
        for (auto item = first; item != last; ++item) {
            if (item->second.token > value.token)
                return false;
        }
    }
    for (const group_range& range : groups)
        grants_.set(std::make_pair(interval_of(range), value));
    return true;
}

bool grant_register::grant(const std::vector<group_range>& groups,
    fencing_token token, time_point expires)
{
    return set(groups, {token, expires});
}

bool grant_register::revoke(
    const std::vector<group_range>& groups, fencing_token token)
{
    return set(groups, {token, time_point()});
}

bool grant_register::allows(
    key_group group, fencing_token token, time_point now) const
{
    const auto found = grants_.find(group.value());
    return found != grants_.end() && token >= found->second.token &&
           now < found->second.expires;
}

fencing_token grant_register::highest(key_group group) const
{
    const auto found = grants_.find(group.value());
    return found == grants_.end() ? fencing_token(0) : found->second.token;
}

} // namespace filberthub::tools
