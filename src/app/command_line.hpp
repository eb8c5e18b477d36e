// The functions of the commands, and helpers that they share. Internal to
// `app`.

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

// Each function runs one command. `args` excludes the name of the command.
exit_code serve_command(const arguments& args);
exit_code route_command(const arguments& args);
exit_code check_command(const arguments& args);
exit_code status_command(const arguments& args);
exit_code policy_command(const arguments& args);
exit_code domain_command(const arguments& args);
exit_code version_command(const arguments& args);

inline constexpr const char* program_version = "0.1.0";

// Parses the arguments of the command `name`. Throws a TCLAP exception for
// `--help` and for invalid arguments; `run_command` maps it to an exit code.
void parse(TCLAP::CmdLine& line, const std::string& name, arguments args);

// Returns the content of a file. Throws `error` of kind `bad_settings` if it
// cannot be opened.
std::string read_file(const std::string& path);

// Sends a request to the operator address of an instance and waits for the
// response. Returns nothing, and prints the reason, if there is none within 15
// s.
std::optional<http_response> call_operator_api(
    const endpoint& address, http_request request);

} // namespace filberthub::detail

#endif
