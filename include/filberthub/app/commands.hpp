// The commands of the program `filberthub`.
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
    // The command was carried out, and its answer is "no": a document that is
    // not valid, a proposal that lost.
    refused = 1,
    // The command line or the settings are wrong.
    usage = 2,
    // An instance or the platform did not answer; nothing is known to have
    // changed.
    unavailable = 3,
    // A change may have been made; repeat it with the nonce that was printed.
    unknown = 4
};

// Runs one command with its arguments and returns its exit code. Needs a
// QCoreApplication. Results go to standard output, errors to standard error.
int run_command(const std::vector<std::string>& arguments);

} // namespace filberthub

#endif
