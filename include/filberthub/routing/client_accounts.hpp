// The client accounts of the operator's configuration, and the lookup of the
// account that an API key belongs to. Designed for some hundreds of accounts
// with a few keys each, and some thousand lookups per second.
//
//     client_accounts accounts(config.accounts);
//     if (const client_account* account = accounts.find(key))
//         serve(account->name);

#ifndef FILBERTHUB_ROUTING_CLIENT_ACCOUNTS_HPP
#define FILBERTHUB_ROUTING_CLIENT_ACCOUNTS_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filberthub {

// Requests that an account may have run at servers.
struct account_limit
{
    // Requests per second.
    double rate = 0;
    // Further requests in each window.
    double burst = 0;

    bool operator==(const account_limit&) const = default;
};

struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    // Takes precedence over the urgency of the route; 0 is the most urgent.
    std::optional<unsigned> urgency;
    // Nothing if the requests of the account are not limited.
    std::optional<account_limit> limit;
};

// Immutable lookup table. Authentication is enabled if the configuration has a
// list of accounts, also an empty one: removing the last account must not open
// the routes. A key that several accounts list belongs to the first of them.
class client_accounts
{
public:
    client_accounts() = default;
    explicit client_accounts(
        std::optional<std::vector<client_account>> accounts);

    // Whether requests to routes that are not public need a key.
    bool enabled() const
    {
        return accounts_.has_value();
    }
    // Returns the account that the key belongs to, or null.
    const client_account* find(std::string_view key) const;
    // Returns the account with this name, or null.
    const client_account* named(std::string_view name) const;
    const std::vector<client_account>& all() const;

private:
    std::optional<std::vector<client_account>> accounts_;
    // Indexes of `accounts_`.
    std::unordered_map<std::string, std::size_t> by_key_;
    std::unordered_map<std::string, std::size_t> by_name_;
};

} // namespace filberthub

#endif
