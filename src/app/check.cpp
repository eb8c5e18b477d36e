#include "app/command_line.hpp"

#include <filberthub/policy/policy_document.hpp>
#include <filberthub/policy/settings.hpp>
#include <filberthub/router/route_settings.hpp>

#include <filesystem>
#include <iostream>

namespace filberthub::detail {

exit_code check_command(const arguments& args)
{
    TCLAP::CmdLine line("Checks a settings file, and the sections of a policy "
                        "document before they are proposed. A section is "
                        "named after its file.",
        ' ', program_version);
    const TCLAP::ValueArg<std::string> settings_path(
        "s", "settings", "Settings file", false, "", "FILE", line);
    const TCLAP::ValueArg<std::string> route_path("r", "route-settings",
        "Settings file of `route`", false, "", "FILE", line);
    const TCLAP::UnlabeledMultiArg<std::string> section_paths(
        "sections", "Section files", false, "FILE", line);
    parse(line, "check", args);

    bool valid = true;
    const auto report_validity = [&](const std::string& subject,
                                     const auto& action) {
        try {
            action();
            std::cout << subject << ": valid\n";
        } catch (const error& failure) {
            valid = false;
            std::cerr << subject << ": " << failure.what() << '\n';
        }
    };
    if (settings_path.isSet()) {
        const std::string text = read_file(settings_path.getValue());
        report_validity(
            settings_path.getValue(), [&] { settings::from_text(text); });
    }
    if (route_path.isSet()) {
        const std::string text = read_file(route_path.getValue());
        report_validity(
            route_path.getValue(), [&] { route_settings::from_text(text); });
    }
    std::map<section_id, json> sections;
    for (const std::string& path : section_paths.getValue()) {
        const std::string text = read_file(path);
        const section_id id(std::filesystem::path(path).stem().string());
        report_validity(path, [&] {
            json body = parse_policy_text(text);
            check_section(id, body);
            sections.emplace(id, std::move(body));
        });
    }
    if (valid && !sections.empty())
        report_validity(
            "all sections together", [&] { check_policy(sections); });
    return valid ? exit_code::ok : exit_code::refused;
}

} // namespace filberthub::detail
