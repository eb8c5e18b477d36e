// Measures how costs grow with the size of a deployment (`capacity`), and the
// quality of planning, takeover and admission (`measures`). Runs in virtual
// time and without a network.

#include "tools/experiment/capacity.hpp"
#include "tools/experiment/measures.hpp"

#include <tclap/CmdLine.h>

#include <exception>
#include <iostream>

namespace {

using namespace filberthub::experiment;

int run(int argc, char** argv)
{
    TCLAP::CmdLine command("Experiments on the core libraries", ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> what(
        "experiment", "capacity or measures", true, "", "EXPERIMENT", command);
    TCLAP::ValueArg<std::string> name("", "deployment",
        "Deployment for `measures`: golvkarta or meridian", false, "golvkarta",
        "NAME", command);
    TCLAP::ValueArg<std::uint64_t> seed(
        "", "seed", "Random seed for `measures`", false, 1, "N", command);
    command.parse(argc, argv);
    if (what.getValue() == "capacity") {
        print_membership_slopes(std::cout);
        print_fleet_slopes(std::cout);
        print_ownership_slopes(std::cout);
        print_request_slopes(std::cout);
        print_policy_slopes(std::cout);
        print_dissemination_comparison(std::cout);
        return 0;
    }
    if (what.getValue() == "measures") {
        const deployment setup = deployment_of(name.getValue());
        print_imbalance(std::cout, setup, seed.getValue());
        print_churn(std::cout, setup, seed.getValue());
        print_unavailable_time(std::cout, setup, seed.getValue());
        print_service_under_load(std::cout, setup, seed.getValue());
        return 0;
    }
    std::cerr << "no experiment is named \"" << what.getValue()
              << "\"; expected \"capacity\" or \"measures\"\n";
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return 1;
    }
}
