#include "app/command_line.hpp"

#include <filberthub/net/http_client.hpp>

#include <QtCore/QEventLoop>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace filberthub {
namespace {

using command_function = exit_code (*)(const detail::arguments&);

struct command_entry
{
    command_function run;
    const char* summary;
};

const std::map<std::string, command_entry>& commands()
{
    static const std::map<std::string, command_entry> table = {
        {"serve", {detail::serve_command, "run one instance"}},
        {"route",
            {detail::route_command, "run one routing process on a platform"}},
        {"check",
            {detail::check_command, "check settings and policy sections"}},
        {"status", {detail::status_command, "show the state of an instance"}},
        {"policy",
            {detail::policy_command, "show and change the policy document"}},
        {"domain",
            {detail::domain_command,
                "take failure domains and instances out of service and back"}},
        {"version", {detail::version_command, "print the version"}}};
    return table;
}

void print_usage(std::ostream& stream)
{
    stream << "usage: filberthub COMMAND [OPTIONS]\n\ncommands:\n";
    for (const auto& [name, entry] : commands())
        stream << "  " << name << std::string(10 - name.size(), ' ')
               << entry.summary << '\n';
    stream << "\n`filberthub COMMAND --help` describes a command.\n"
              "exit codes: 0 done, 1 refused, 2 usage or settings, "
              "3 unavailable, 4 outcome unknown\n";
}

} // namespace

int run_command(const std::vector<std::string>& arguments)
{
    if (arguments.empty() || arguments.front() == "--help") {
        print_usage(arguments.empty() ? std::cerr : std::cout);
        return static_cast<int>(
            arguments.empty() ? exit_code::usage : exit_code::ok);
    }
    const auto found = commands().find(arguments.front());
    if (found == commands().end()) {
        std::cerr << "filberthub: unknown command \"" << arguments.front()
                  << "\"\n";
        print_usage(std::cerr);
        return static_cast<int>(exit_code::usage);
    }
    try {
        return static_cast<int>(
            found->second.run({arguments.begin() + 1, arguments.end()}));
    } catch (const TCLAP::ExitException& finished) {
        return finished.getExitStatus() == 0
                   ? static_cast<int>(exit_code::ok)
                   : static_cast<int>(exit_code::usage);
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "filberthub: " << failure.argId() << ": "
                  << failure.error() << '\n';
        return static_cast<int>(exit_code::usage);
    } catch (const error& failure) {
        std::cerr << "filberthub: " << failure.what() << '\n';
        return static_cast<int>(exit_code::usage);
    }
}

namespace detail {

void parse(TCLAP::CmdLine& line, const std::string& name, arguments args)
{
    line.setExceptionHandling(false);
    args.insert(args.begin(), "filberthub " + name);
    line.parse(args);
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw error(
            error_kind::bad_settings, "cannot read file \"" + path + "\"");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<http_response> call_operator_api(
    const endpoint& address, http_request request)
{
    constexpr milliseconds timeout{15'000};
    http_client client(address, {.max_connections = 1});
    QEventLoop loop;
    std::optional<http_response> response;
    client.send(std::move(request), timeout, [&](http_result result) {
        response = std::move(result.response);
        if (!response)
            std::cerr << "filberthub: " << result.message << '\n';
        loop.quit();
    });
    loop.exec();
    return response;
}

exit_code version_command(const arguments& args)
{
    TCLAP::CmdLine line("Prints the version.", ' ', program_version);
    parse(line, "version", args);
    std::cout << "filberthub " << program_version << '\n';
    return exit_code::ok;
}

} // namespace detail
} // namespace filberthub
