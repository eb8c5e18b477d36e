#include "app/command_line.hpp"

#include <filberthub/router/router.hpp>
#include <filberthub/telemetry/log.hpp>

#include <QtCore/QCoreApplication>
#include <QtCore/QSocketNotifier>

#include <csignal>

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

namespace filberthub::detail {
namespace {

// Write end of the pipe that wakes the event loop from a signal handler.
volatile int route_signal_pipe = -1;

extern "C" void on_route_signal(int number)
{
    const char byte = static_cast<char>(number);
    [[maybe_unused]] const auto written = write(route_signal_pipe, &byte, 1);
}

// Allows several lines per request at the peak load of an instance, which is
// about 40 requests per second.
constexpr unsigned max_log_lines_per_second = 250;

// Buffers of this size are returned to the system when they are freed. Smaller
// ones, such as the largest uploads of the deployments (360 kB), are reused
// without a system call. Without fixed values, the allocator raises them to the
// largest buffer that was ever freed.
constexpr int mapped_buffer_bytes = 1024 * 1024;
constexpr int kept_free_bytes = 2 * mapped_buffer_bytes;

// Returns the read end.
int open_route_signal_pipe()
{
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0)
        throw error(error_kind::internal, "cannot create a pipe");
    route_signal_pipe = ends[1];
    return ends[0];
}

void reload_settings(router& instance, const std::string& path)
{
    try {
        instance.reload(route_settings::from_text(read_file(path)));
    } catch (const error& failure) {
        log_event(log_level::error, "reloaded settings are not valid",
            {{log_key::error, failure.what()}});
    }
}

} // namespace

exit_code route_command(const arguments& args)
{
    TCLAP::CmdLine line("Runs one routing process on a platform that keeps "
                        "the deployment in its store. SIGTERM or SIGINT makes "
                        "it finish its requests and leave, SIGHUP reloads the "
                        "settings.",
        ' ', program_version);
    const TCLAP::ValueArg<std::string> path(
        "s", "settings", "Settings file", true, "", "FILE", line);
    parse(line, "route", args);

    mallopt(M_MMAP_THRESHOLD, mapped_buffer_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_free_bytes);
    const route_settings settings =
        route_settings::from_text(read_file(path.getValue()));
    start_logging(make_log_sink(settings.log_output),
        log_level_from_string(settings.log_level), settings.instance.value());
    limit_log_rate(max_log_lines_per_second);
    std::signal(SIGPIPE, SIG_IGN);
    const int signals = open_route_signal_pipe();
    router instance(settings);
    QSocketNotifier notifier(signals, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
        char number = 0;
        while (read(signals, &number, 1) == 1) {
            if (number == SIGHUP)
                reload_settings(instance, path.getValue());
            else
                instance.leave([] { QCoreApplication::quit(); });
        }
    });
    std::signal(SIGTERM, on_route_signal);
    std::signal(SIGINT, on_route_signal);
    std::signal(SIGHUP, on_route_signal);
    instance.start();
    QCoreApplication::exec();
    return exit_code::ok;
}

} // namespace filberthub::detail
