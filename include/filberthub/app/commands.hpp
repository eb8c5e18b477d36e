// Command-line interface of the program `filberthub`.
//
//     return run_command({"serve", "--settings", "instance.json"});

#ifndef FILBERTHUB_APP_COMMANDS_HPP
#define FILBERTHUB_APP_COMMANDS_HPP

#include <string>
#include <vector>

namespace filberthub {

// Exit codes of all commands.
enum class exit_code : int
{
    ok = 0,
    // The command ran, but its result is negative: a document is not valid, or
    // a proposal was rejected.
    refused = 1,
    // The command line or the settings are not valid.
    usage = 2,
    // An instance or the platform is unavailable. No change is known to have
    // been made.
    unavailable = 3,
    // A change may have been made. Repeating it with the nonce that was printed
    // is safe.
    unknown = 4
};

// Runs the command `arguments.front()` with the remaining arguments and returns
// its exit code. Results go to standard output, errors to standard error. A
// QCoreApplication must exist.
int run_command(const std::vector<std::string>& arguments);

} // namespace filberthub

#endif
