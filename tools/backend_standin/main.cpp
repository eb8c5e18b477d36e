// Stand-in for backend servers in tests and demos. One process runs all servers
// of a file.

#include "tools/backend_standin/backend_server.hpp"
#include "tools/common/http_tools.hpp"

#include <QtCore/QCoreApplication>

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace filberthub;

int run(int argc, char** argv)
{
    TCLAP::CmdLine command("Stand-in for backend servers", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> servers("", "servers",
        "JSON file with an array of the servers to run", true, "", "FILE",
        command);
    TCLAP::ValueArg<std::string> history("", "history",
        "File to which each executed request is appended", false, "", "FILE",
        command);
    command.parse(argc, argv);

    const QCoreApplication application(argc, argv);
    tools::history_file log(history.getValue());
    const json document = parse_json(
        tools::read_file(servers.getValue()), error_kind::bad_settings);
    if (!document.is_array()) {
        throw error(
            error_kind::bad_settings, "the file \"" + servers.getValue() +
                                          "\" does not hold a JSON array");
    }
    std::vector<std::unique_ptr<tools::backend_server>> running;
    for (const json& item : document) {
        running.push_back(std::make_unique<tools::backend_server>(
            tools::server_options_from_json(item), log));
    }
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
        std::cerr << "backend_standin: " << failure.what() << "\n";
    }
    return 2;
}
