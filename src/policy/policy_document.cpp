#include <filberthub/policy/policy_document.hpp>

namespace filberthub {
namespace {

[[noreturn]] void fail(const section_id& section, const std::string& path,
    const std::string& message)
{
    throw error(error_kind::bad_policy, "section \"" + section.value() +
                                            "\": field \"" + path +
                                            "\": " + message);
}

// Records which section defined a name first, to report a second definition.
class definitions
{
public:
    explicit definitions(std::string kind) : kind_(std::move(kind)) {}

    void add(const std::string& name, const section_id& section,
        const std::string& path)
    {
        const auto [entry, inserted] = sections_.emplace(name, section);
        if (!inserted) {
            fail(section, path,
                kind_ + " \"" + name + "\" is already defined in section \"" +
                    entry->second.value() + "\"");
        }
    }

private:
    std::string kind_;
    std::map<std::string, section_id> sections_;
};

template <class Map>
std::string joined_names(const Map& values)
{
    std::string names;
    for (const auto& [name, unused] : values)
        names += (names.empty() ? "" : ", ") + name.value();
    return names.empty() ? "(none)" : names;
}

std::string server_path(const service_id& service, std::size_t index)
{
    return "/services/" + service.value() + "/backend_servers/" +
           std::to_string(index);
}

void check_definitions(const std::map<section_id, policy_section>& sections)
{
    definitions services("service");
    definitions regions("region");
    definitions domains("failure domain");
    definitions servers("backend server");
    definitions addresses("address");
    definitions weights("field");
    for (const auto& [id, section] : sections) {
        if (section.weights)
            weights.add("weights", id, "/weights");
        for (const auto& [region, members] : section.regions) {
            const std::string path = "/regions/" + region.value();
            regions.add(region.value(), id, path);
            for (std::size_t index = 0; index < members.size(); ++index) {
                domains.add(members[index].value(), id,
                    path + "/failure_domains/" + std::to_string(index));
            }
        }
        for (const auto& [name, service] : section.services) {
            services.add(name.value(), id, "/services/" + name.value());
            for (std::size_t i = 0; i < service.servers.size(); ++i) {
                const backend_server& server = service.servers[i];
                const std::string path = server_path(name, i);
                servers.add(server.id.value(), id, path + "/id");
                addresses.add(to_string(server.address), id, path + "/address");
            }
        }
    }
}

} // namespace

const service_policy* policy_document::find(const service_id& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const service_policy& policy_document::service(const service_id& name) const
{
    const service_policy* found = find(name);
    if (found == nullptr) {
        throw error(error_kind::unknown_service, "service \"" + name.value() +
                                                     "\" is none of " +
                                                     joined_names(services_));
    }
    return *found;
}

bool policy_document::in_service(const failure_domain_id& domain) const
{
    return domains_.contains(domain) && !state_.domains_out.contains(domain);
}

bool policy_document::in_service(const instance_id& instance) const
{
    return !state_.instances_out.contains(instance);
}

void policy_document::add(const policy_section& section)
{
    teams_.emplace(section.id, section.team);
    if (section.weights)
        weights_ = *section.weights;
    for (const auto& [region, members] : section.regions) {
        for (const failure_domain_id& domain : members)
            domains_.emplace(domain, region);
    }
    services_.insert(section.services.begin(), section.services.end());
}

void policy_document::check_domain(const failure_domain_id& domain) const
{
    if (!domains_.contains(domain)) {
        throw error(error_kind::bad_policy,
            "failure domain \"" + domain.value() + "\" is none of " +
                joined_names(domains_));
    }
}

void policy_document::check_references(
    const std::map<section_id, policy_section>& sections) const
{
    for (const auto& [id, section] : sections) {
        for (const auto& [name, service] : section.services) {
            for (std::size_t i = 0; i < service.servers.size(); ++i) {
                try {
                    check_domain(service.servers[i].domain);
                } catch (const error& failure) {
                    fail(id, server_path(name, i) + "/failure_domain",
                        failure.what());
                }
            }
        }
    }
}

policy_document check_policy(
    const std::map<section_id, json>& sections, const operator_state& state)
{
    std::map<section_id, policy_section> checked;
    for (const auto& [id, body] : sections)
        checked.emplace(id, check_section(id, body));
    check_definitions(checked);

    policy_document document;
    for (const auto& [id, section] : checked)
        document.add(section);
    document.check_references(checked);
    document.state_ = state;
    return document;
}

} // namespace filberthub
