#include "app/command_line.hpp"

#include <filberthub/node/node.hpp>
#include <filberthub/telemetry/log.hpp>

#include <QtCore/QCoreApplication>
#include <QtCore/QSocketNotifier>

#include <csignal>
#include <cstdlib>

#include <fcntl.h>
#include <unistd.h>

namespace filberthub::detail {
namespace {

// Write end of the pipe that wakes the event loop from a signal handler.
volatile int signal_pipe = -1;
volatile std::sig_atomic_t stop_signal_count = 0;

extern "C" void on_stop_signal(int)
{
    // The second signal ends the process without draining it.
    stop_signal_count = stop_signal_count + 1;
    if (stop_signal_count > 1)
        _exit(static_cast<int>(exit_code::unavailable));
    const char byte = 1;
    [[maybe_unused]] const auto written = write(signal_pipe, &byte, 1);
}

// Returns the read end.
int open_signal_pipe()
{
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0)
        throw error(error_kind::internal, "cannot create a pipe");
    signal_pipe = ends[1];
    return ends[0];
}

} // namespace

exit_code serve_command(const arguments& args)
{
    TCLAP::CmdLine line("Runs one instance. SIGTERM or SIGINT makes it finish "
                        "its requests and leave; a second signal stops it at "
                        "once.",
        ' ', program_version);
    const TCLAP::ValueArg<std::string> path(
        "s", "settings", "Settings file", true, "", "FILE", line);
    parse(line, "serve", args);

    const settings config = settings::from_text(read_file(path.getValue()));
    if (!config.log.is_off())
        start_logging(make_log_sink(config.log.output),
            log_level_from_string(config.log.level), config.instance.value());
    node instance(config);
    instance.start();

    QSocketNotifier notifier(open_signal_pipe(), QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
        notifier.setEnabled(false);
        instance.leave([] { QCoreApplication::quit(); });
    });
    std::signal(SIGTERM, on_stop_signal);
    std::signal(SIGINT, on_stop_signal);
    std::signal(SIGPIPE, SIG_IGN);
    QCoreApplication::exec();
    return exit_code::ok;
}

} // namespace filberthub::detail
