#include <filberthub/routing/client_accounts.hpp>

namespace filberthub {

client_accounts::client_accounts(
    std::optional<std::vector<client_account>> accounts)
    : accounts_(std::move(accounts))
{
    for (std::size_t index = 0; index < all().size(); ++index) {
        const client_account& account = all()[index];
        by_name_.try_emplace(account.name, index);
        for (const std::string& key : account.keys)
            by_key_.try_emplace(key, index);
    }
}

const client_account* client_accounts::find(std::string_view key) const
{
    const auto found = by_key_.find(std::string(key));
    return found == by_key_.end() ? nullptr : &all()[found->second];
}

const client_account* client_accounts::named(std::string_view name) const
{
    const auto found = by_name_.find(std::string(name));
    return found == by_name_.end() ? nullptr : &all()[found->second];
}

const std::vector<client_account>& client_accounts::all() const
{
    static const std::vector<client_account> none;
    return accounts_ ? *accounts_ : none;
}

} // namespace filberthub
