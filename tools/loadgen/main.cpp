// Load generator for tests and measurements. Sends requests in an open or a
// closed loop, or holds idle connections open.

#include "tools/common/http_tools.hpp"
#include "tools/loadgen/idle_connections.hpp"
#include "tools/loadgen/load_run.hpp"

#include <QtCore/QCoreApplication>

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace filberthub;

int run_idle_connections(
    const std::vector<endpoint>& entries, std::size_t count, duration run_time)
{
    const time_point start = tools::steady_now();
    const tools::idle_connections idle(entries, count, [&] {
        const std::chrono::duration<double> seconds =
            tools::steady_now() - start;
        std::cout << json{{"idle_connections", count},
                         {"seconds", seconds.count()}}
                  << std::endl;
    });
    QTimer::singleShot(
        std::chrono::duration_cast<milliseconds>(run_time), [&idle] {
            std::cout << json{{"lost_connections", idle.lost()}} << std::endl;
            QCoreApplication::exit(idle.lost() > 0 ? 1 : 0);
        });
    return QCoreApplication::exec();
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine command("Load generator", ' ', "0.1.0");
    TCLAP::MultiArg<std::string> entries("", "entry",
        "Address of an instance to send requests to", true, "IP:PORT", command);
    TCLAP::ValueArg<std::string> mix("", "services",
        "JSON file with the services, their shares and keys", false, "", "FILE",
        command);
    TCLAP::ValueArg<double> rate("", "rate",
        "Requests per second of the open loop", false, 100, "N", command);
    TCLAP::ValueArg<std::size_t> closed("", "closed",
        "Run a closed loop of N callers, each with one request in flight",
        false, 0, "N", command);
    TCLAP::ValueArg<std::size_t> idle("", "idle",
        "Hold N idle connections open instead of sending requests", false, 0,
        "N", command);
    TCLAP::ValueArg<double> seconds("", "seconds",
        "Duration of the run in seconds", false, 10, "S", command);
    TCLAP::ValueArg<std::size_t> connections("", "connections",
        "Maximum number of connections to each entry", false, 64, "N", command);
    TCLAP::ValueArg<std::uint64_t> seed(
        "", "seed", "Seed of all random choices", false, 1, "N", command);
    TCLAP::ValueArg<std::string> name("", "name",
        "Name in request ids and in the history", false, "loadgen", "NAME",
        command);
    TCLAP::ValueArg<std::string> history("", "history",
        "File to which each request is appended", false, "", "FILE", command);
    command.parse(argc, argv);

    const QCoreApplication application(argc, argv);
    tools::load_run_options options;
    for (const std::string& text : entries.getValue())
        options.entries.push_back(endpoint_from_string(text));
    options.run_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds.getValue()));
    if (idle.getValue() > 0)
        return run_idle_connections(
            options.entries, idle.getValue(), options.run_time);
    options.rate = rate.getValue();
    if (options.rate <= 0)
        throw error(error_kind::bad_settings, "--rate must be greater than 0");
    options.closed_callers = closed.getValue();
    options.connections = connections.getValue();
    options.seed = seed.getValue();
    options.name = name.getValue();
    options.history = history.getValue();
    tools::load_run load(options,
        parse_json(tools::read_file(mix.getValue()), error_kind::bad_settings));
    load.on_finished([](int code) { QCoreApplication::exit(code); });
    load.start();
    return QCoreApplication::exec();
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << failure.error() << " " << failure.argId() << "\n";
    } catch (const std::exception& failure) {
        std::cerr << "loadgen: " << failure.what() << "\n";
    }
    return 2;
}
