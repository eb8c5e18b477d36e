// Builders for the tests of `routing`.

#ifndef FILBERTHUB_TEST_ROUTING_BUILDERS_HPP
#define FILBERTHUB_TEST_ROUTING_BUILDERS_HPP

#include <filberthub/routing/key_granter.hpp>
#include <filberthub/routing/slot_gate.hpp>

namespace filberthub {

inline time_point at_ms(std::int64_t value)
{
    return time_point(milliseconds(1'000'000 + value));
}

class server_builder
{
public:
    explicit server_builder(const std::string& id)
    {
        entry_.id = backend_server_id(id);
        entry_.service = service_id("maps");
        entry_.address = {"10.0.0.1", 80};
        entry_.domain = failure_domain_id("a");
        entry_.slots = 2;
        entry_.started = 1;
    }
    server_builder& service(const std::string& id)
    {
        entry_.service = service_id(id);
        return *this;
    }
    server_builder& domain(const std::string& id)
    {
        entry_.domain = failure_domain_id(id);
        return *this;
    }
    server_builder& started(std::uint64_t value)
    {
        entry_.started = value;
        return *this;
    }
    server_builder& draining()
    {
        entry_.draining = true;
        return *this;
    }
    server_builder& cold(std::int64_t ms)
    {
        entry_.cold_left = milliseconds(ms);
        return *this;
    }
    server_entry build() const
    {
        return entry_;
    }

private:
    server_entry entry_;
};

inline key_range range_of(key_number first, key_number last,
    const std::string& owner, std::uint64_t token)
{
    return {
        first, last, {backend_server_id(owner), 1}, fencing_token(token), {}};
}

inline key_table table_of(std::vector<key_range> ranges)
{
    key_table table;
    table.ranges = std::move(ranges);
    table.next_token = fencing_token(100);
    return table;
}

} // namespace filberthub

#endif
