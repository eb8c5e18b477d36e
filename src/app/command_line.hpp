// Helpers that the commands share. Internal to `app`.

#ifndef FILBERTHUB_APP_COMMAND_LINE_HPP
#define FILBERTHUB_APP_COMMAND_LINE_HPP

#include <filberthub/app/commands.hpp>
#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/types.hpp>
#include <filberthub/http/message.hpp>

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace filberthub::detail {

using arguments = std::vector<std::string>;

exit_code serve_command(const arguments& args);
exit_code route_command(const arguments& args);
exit_code check_command(const arguments& args);
exit_code status_command(const arguments& args);
exit_code policy_command(const arguments& args);
exit_code domain_command(const arguments& args);
exit_code version_command(const arguments& args);

inline constexpr const char* program_version = "0.1.0";

// Parses the arguments of a command. `--help` and mistakes are thrown as TCLAP
// exceptions, which `run_command` turns into exit codes.
void parse(TCLAP::CmdLine& line, const std::string& name, arguments args);

// Returns the content of a file. Throws `error` of kind `bad_settings`.
std::string read_file(const std::string& path);

// Sends one request to an instance's operator address and waits for the answer.
// Returns nothing if there is none.
std::optional<http_response> call_operator(
    const endpoint& address, http_request request);

} // namespace filberthub::detail

#endif
