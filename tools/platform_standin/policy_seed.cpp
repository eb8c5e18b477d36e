#include "tools/platform_standin/policy_seed.hpp"

#include "tools/common/http_tools.hpp"

#include <filberthub/policy/proposal.hpp>
#include <filberthub/policy/section.hpp>

#include <algorithm>
#include <filesystem>

namespace filberthub::tools {
namespace {

struct named_section
{
    section_id name;
    json body;
};

std::vector<named_section> read_sections(const std::string& folder)
{
    std::vector<named_section> sections;
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".json")
            continue;
        sections.push_back({section_id(file.path().stem().string()),
            parse_policy_text(read_file(file.path().string()))});
    }
    // Sections with regions come first, because a service may only name failure
    // domains that are already defined.
    std::ranges::sort(sections, {}, [](const named_section& item) {
        return std::pair(!item.body.contains("regions"), item.name);
    });
    return sections;
}

std::string value_of(const object_store& store, const std::string& name)
{
    const stored_object* object = store.find(name);
    return object == nullptr ? std::string() : object->value;
}

proposal_event perform(object_store& store, const proposal_step& step)
{
    if (std::holds_alternative<read_root>(step)) {
        root_was_read event;
        event.version = store.version_of(policy_root_path);
        if (event.version.value() > 0)
            event.root =
                policy_root_from_text(value_of(store, policy_root_path));
        return event;
    }
    if (const auto* read = std::get_if<read_body>(&step)) {
        return body_was_read{
            value_of(store, section_path(read->section, read->digest))};
    }
    if (const auto* write = std::get_if<write_body>(&step)) {
        store.put(section_path(write->section, write->digest), write->text,
            std::nullopt);
        return body_was_written{};
    }
    const auto& update = std::get<update_root>(step);
    const put_result result =
        store.put(policy_root_path, to_text(update.root), update.expected);
    if (result.status == put_status::applied)
        return update_was_accepted{};
    return update_was_refused{};
}

} // namespace

void seed_policy(object_store& store, const std::string& folder)
{
    for (const named_section& section : read_sections(folder)) {
        proposal machine({.change = set_section{section.name, section.body},
            .author = "platform_standin",
            .nonce = "seed-" + section.name.value()});
        proposal_step step = machine.start();
        while (!std::holds_alternative<proposal_result>(step))
            step = machine.next(perform(store, step));
        const auto& result = std::get<proposal_result>(step);
        if (result.outcome != proposal_outcome::accepted)
            throw error(error_kind::bad_policy, result.message);
    }
}

} // namespace filberthub::tools
