// The policy document: all sections merged, and the failure domains and
// instances that operators took out of service.
//
//     auto document = check_policy({{section_id("kartlas"), body}}, state);
//     const service_policy* service = document.find(service_id("kartlas"));

#ifndef FILBERTHUB_POLICY_POLICY_DOCUMENT_HPP
#define FILBERTHUB_POLICY_POLICY_DOCUMENT_HPP

#include <filberthub/policy/section.hpp>

#include <map>
#include <set>

namespace filberthub {

// The failure domains and instances that operators took out of service.
struct operator_state
{
    std::set<failure_domain_id> domains_out;
    std::set<instance_id> instances_out;

    bool operator==(const operator_state&) const = default;
};

// A checked policy document. It is immutable, so threads and timers can share
// it, and references into it stay valid during its lifetime.
class policy_document
{
public:
    policy_document() = default;

    // Returns the service, or null if no section defines it.
    const service_policy* find(const service_id& name) const;
    // Returns the service. Throws `error` of kind `unknown_service`.
    const service_policy& service(const service_id& name) const;
    const std::map<service_id, service_policy>& services() const
    {
        return services_;
    }

    // Returns each failure domain with its region.
    const std::map<failure_domain_id, region_id>& failure_domains() const
    {
        return domains_;
    }
    const preference_weights& weights() const
    {
        return weights_;
    }
    const operator_state& out_of_service() const
    {
        return state_;
    }
    // Returns each section with the team that owns it.
    const std::map<section_id, std::string>& teams() const
    {
        return teams_;
    }

    // Throws `error` of kind `bad_policy` if no section defines `domain`.
    void check_domain(const failure_domain_id& domain) const;

    // Returns whether new work may be sent to `domain`; false if it is unknown.
    bool in_service(const failure_domain_id& domain) const;
    // Returns whether the instance may take roles. Its failure domain has to be
    // checked separately.
    bool in_service(const instance_id& instance) const;

private:
    friend policy_document check_policy(
        const std::map<section_id, json>& sections,
        const operator_state& state);

    void add(const policy_section& section);
    void check_references(
        const std::map<section_id, policy_section>& sections) const;

    std::map<service_id, service_policy> services_;
    std::map<failure_domain_id, region_id> domains_;
    std::map<section_id, std::string> teams_;
    preference_weights weights_;
    operator_state state_;
};

// Checks each section and the rules across sections: no service, region,
// failure domain, backend server or address is defined twice, weights are set
// at most once, and every failure domain of a server is defined. A failure
// domain that is out of service may be undefined, so that it can be removed
// while it is out. Throws `error` of kind `bad_policy`; there is no partial
// result.
policy_document check_policy(const std::map<section_id, json>& sections,
    const operator_state& state = {});

} // namespace filberthub

#endif
