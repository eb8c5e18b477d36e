// Stand-in for the platform in tests and demos: an object store and the list of
// instances, both in memory.

#include "tools/platform_standin/platform_service.hpp"
#include "tools/platform_standin/policy_seed.hpp"

#include <QtCore/QCoreApplication>

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace filberthub;

int run(int argc, char** argv)
{
    TCLAP::CmdLine command("Stand-in for the platform", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen on",
        false, "127.0.0.1:7000", "IP:PORT", command);
    TCLAP::MultiArg<std::string> seeds("", "seed-object",
        "Object to store at startup", false, "NAME=FILE", command);
    TCLAP::ValueArg<std::string> sections("", "seed-sections",
        "Folder with a file NAME.json for each section of the initial policy",
        false, "", "FOLDER", command);
    command.parse(argc, argv);

    const QCoreApplication application(argc, argv);
    tools::platform_service service(endpoint_from_string(listen.getValue()));
    for (const std::string& seed : seeds.getValue()) {
        const std::size_t separator = seed.find('=');
        if (separator == std::string::npos) {
            throw error(error_kind::bad_settings,
                "--seed-object is \"" + seed + "\", expected NAME=FILE");
        }
        service.seed(seed.substr(0, separator),
            tools::read_file(seed.substr(separator + 1)));
    }
    if (sections.isSet())
        tools::seed_policy(service.objects(), sections.getValue());
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
        std::cerr << "platform_standin: " << failure.what() << "\n";
    }
    return 2;
}
