#include "app/command_line.hpp"

#include <filberthub/platform/proposal_runner.hpp>

#include <QtCore/QEventLoop>

#include <filesystem>
#include <iostream>

namespace filberthub::detail {
namespace {

exit_code exit_code_of(proposal_outcome outcome)
{
    switch (outcome) {
    case proposal_outcome::accepted:
        return exit_code::ok;
    case proposal_outcome::conflict:
    case proposal_outcome::invalid:
        return exit_code::refused;
    case proposal_outcome::store_unavailable:
        return exit_code::unavailable;
    case proposal_outcome::unknown:
        break;
    }
    return exit_code::unknown;
}

exit_code print_response(const std::optional<http_response>& response)
{
    if (!response)
        return exit_code::unknown;
    std::cout << response->body << '\n';
    switch (response->status) {
    case 200:
        return exit_code::ok;
    case 409:
    case 422:
    case 400:
        return exit_code::refused;
    case 503:
        return exit_code::unavailable;
    default:
        return exit_code::unknown;
    }
}

proposal_result propose(store_client& store, const proposal_request& request)
{
    QEventLoop loop;
    proposal_result received;
    run_proposal(store, request, {}, [&](const proposal_result& result) {
        received = result;
        loop.quit();
    });
    // The proposal may have ended before `run_proposal` returned.
    if (received.message.empty())
        loop.exec();
    return received;
}

// Writes sections directly to the store. For a deployment without a running
// instance.
exit_code publish(
    const endpoint& platform, const std::string& author, const arguments& paths)
{
    store_client store(platform);
    for (const std::string& path : paths) {
        const section_id id(std::filesystem::path(path).stem().string());
        const proposal_result result = propose(store,
            {.change = set_section{id, parse_policy_text(read_file(path))},
                .author = author,
                .nonce = random_nonce()});
        std::cout << path << ": " << to_string(result.outcome) << ": "
                  << result.message << '\n';
        if (result.outcome != proposal_outcome::accepted)
            return exit_code_of(result.outcome);
    }
    return exit_code::ok;
}

exit_code propose_through_instance(const endpoint& address,
    const std::string& author, const std::string& base, const std::string& path)
{
    const std::string id = std::filesystem::path(path).stem().string();
    http_request request;
    request.method = "PUT";
    request.target = "/v1/policy/sections/" + id;
    request.headers.add("Filberthub-Author", author);
    request.headers.add("Filberthub-Nonce", random_nonce());
    if (!base.empty())
        request.headers.add("Filberthub-Base-Revision", base);
    request.body = read_file(path);
    return print_response(call_operator_api(address, std::move(request)));
}

exit_code show(const endpoint& address, const std::string& target)
{
    http_request request;
    request.target = target;
    return print_response(call_operator_api(address, std::move(request)));
}

} // namespace

exit_code policy_command(const arguments& args)
{
    TCLAP::CmdLine line(
        "Shows and changes the policy document.\n"
        "  policy show --operator IP:PORT\n"
        "  policy history --operator IP:PORT\n"
        "  policy propose FILE --operator IP:PORT [--base REVISION]\n"
        "  policy publish FILE... --platform IP:PORT\n"
        "A section is named after its file. `publish` is for a "
        "deployment without a running instance.",
        ' ', program_version);
    const TCLAP::UnlabeledValueArg<std::string> action("action",
        "show, history, propose or publish", true, "", "ACTION", line);
    const TCLAP::UnlabeledMultiArg<std::string> files(
        "files", "Section files", false, "FILE", line);
    const TCLAP::ValueArg<std::string> address("o", "operator",
        "Operator address of an instance", false, "", "IP:PORT", line);
    const TCLAP::ValueArg<std::string> platform(
        "p", "platform", "Address of the platform", false, "", "IP:PORT", line);
    const TCLAP::ValueArg<std::string> author("a", "author",
        "Author of the proposal", false, "operator", "NAME", line);
    const TCLAP::ValueArg<std::string> base("b", "base",
        "Revision that the change is based on", false, "", "REVISION", line);
    parse(line, "policy", args);

    const std::string& action_name = action.getValue();
    if (action_name == "publish")
        return publish(endpoint_from_string(platform.getValue()),
            author.getValue(), files.getValue());
    const endpoint target = endpoint_from_string(address.getValue());
    if (action_name == "show")
        return show(target, "/v1/policy");
    if (action_name == "history")
        return show(target, "/v1/policy/history");
    if (action_name == "propose" && files.getValue().size() == 1)
        return propose_through_instance(target, author.getValue(),
            base.getValue(), files.getValue().front());
    std::cerr << "filberthub: policy " << action_name << " with "
              << files.getValue().size()
              << " files: expected show, history, propose FILE or publish "
                 "FILE...\n";
    return exit_code::usage;
}

exit_code domain_command(const arguments& args)
{
    TCLAP::CmdLine line(
        "Takes failure domains and instances out of service and back.\n"
        "  domain out NAME --operator IP:PORT [--instance]\n"
        "  domain in NAME --operator IP:PORT [--instance]\n"
        "  domain list --operator IP:PORT",
        ' ', program_version);
    const TCLAP::UnlabeledValueArg<std::string> action(
        "action", "out, in or list", true, "", "ACTION", line);
    const TCLAP::UnlabeledValueArg<std::string> name("name",
        "Failure domain, or instance with --instance", false, "", "NAME", line);
    const TCLAP::ValueArg<std::string> address("o", "operator",
        "Operator address of an instance", true, "", "IP:PORT", line);
    const TCLAP::ValueArg<std::string> author("a", "author",
        "Author of the proposal", false, "operator", "NAME", line);
    const TCLAP::SwitchArg instance(
        "i", "instance", "NAME is an instance", line);
    parse(line, "domain", args);

    const endpoint target = endpoint_from_string(address.getValue());
    const std::string& action_name = action.getValue();
    if (action_name == "list")
        return show(target, "/v1/domains");
    if ((action_name != "out" && action_name != "in") ||
        name.getValue().empty()) {
        std::cerr << "filberthub: domain " << action_name
                  << ": expected out NAME, in NAME or list\n";
        return exit_code::usage;
    }
    http_request request;
    request.method = "PUT";
    request.target = (instance.getValue() ? "/v1/instances/" : "/v1/domains/") +
                     name.getValue();
    request.headers.add("Filberthub-Author", author.getValue());
    request.headers.add("Filberthub-Nonce", random_nonce());
    request.body = json{{"out_of_service", action_name == "out"}}.dump();
    return print_response(call_operator_api(target, std::move(request)));
}

} // namespace filberthub::detail
