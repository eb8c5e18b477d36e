// The operator endpoints that show and change the policy.

#include "node/operator_service.hpp"

#include <charconv>

namespace filberthub {
namespace {

constexpr std::string_view section_prefix = "/v1/policy/sections/";
constexpr std::string_view domain_prefix = "/v1/domains/";
constexpr std::string_view instance_prefix = "/v1/instances/";

http_response json_response(int status, const json& body)
{
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

int status_of(proposal_outcome outcome)
{
    switch (outcome) {
    case proposal_outcome::accepted:
        return 200;
    case proposal_outcome::conflict:
        return 409;
    case proposal_outcome::invalid:
        return 422;
    case proposal_outcome::store_unavailable:
        return 503;
    case proposal_outcome::unknown:
        break;
    }
    return 502;
}

json to_json(const proposal_result& result, const std::string& nonce)
{
    json body = {{"outcome", to_string(result.outcome)},
        {"message", result.message}, {"nonce", nonce}};
    if (result.outcome == proposal_outcome::accepted)
        body["revision"] = result.accepted.value();
    if (result.in_doubt)
        body["in_doubt"] = result.in_doubt->value();
    if (result.winner) {
        body["winner"] = {{"revision", result.winner->accepted.value()},
            {"author", result.winner->author}};
    }
    return body;
}

std::string header_of(
    const http_request& request, const char* name, const std::string& fallback)
{
    const auto value = request.headers.get(name);
    return value ? std::string(*value) : fallback;
}

bool out_of_service_of(const std::string& body)
{
    const json document = parse_json(body, error_kind::bad_request);
    json_reader reader(document, error_kind::bad_request);
    const json& value = reader.value("out_of_service");
    if (!value.is_boolean())
        reader.fail(
            "out_of_service", value.dump() + " is neither true nor false");
    reader.finish();
    return value.get<bool>();
}

} // namespace

void operator_service::handle_policy(
    const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    const std::string_view target = request.target;
    const auto suffix_after = [&](std::string_view prefix) {
        return std::string(target.substr(prefix.size()));
    };
    try {
        if (request.method == "GET" && target == "/v1/policy") {
            json sections = json::object();
            for (const auto& [id, body] : view_.policy()->sections())
                sections[id.value()] = body;
            exchange->respond(json_response(
                200, {{"revision", view_.policy()->in_force().value()},
                         {"sections", sections}}));
        } else if (request.method == "GET" && target == "/v1/policy/history") {
            exchange->respond(json_response(200, policy_history()));
        } else if (request.method == "GET" && target == "/v1/domains") {
            exchange->respond(json_response(200, out_of_service()));
        } else if (request.method == "PUT" &&
                   target.starts_with(section_prefix)) {
            propose(
                exchange, set_section{section_id(suffix_after(section_prefix)),
                              parse_policy_text(request.body)});
        } else if (request.method == "DELETE" &&
                   target.starts_with(section_prefix)) {
            propose(exchange,
                remove_section{section_id(suffix_after(section_prefix))});
        } else if (request.method == "PUT" &&
                   target.starts_with(domain_prefix)) {
            propose(exchange,
                set_domain{failure_domain_id(suffix_after(domain_prefix)),
                    out_of_service_of(request.body)});
        } else if (request.method == "PUT" &&
                   target.starts_with(instance_prefix)) {
            propose(exchange,
                set_instance{instance_id(suffix_after(instance_prefix)),
                    out_of_service_of(request.body)});
        } else {
            exchange->respond(json_response(
                404, {{"message", "there is no page " + request.method + " " +
                                      request.target}}));
        }
    } catch (const error& failure) {
        exchange->respond(json_response(answer_for(failure.kind()).status,
            {{"outcome", "invalid"}, {"message", failure.what()}}));
    }
}

void operator_service::propose(
    const std::shared_ptr<http_exchange>& exchange, policy_change change)
{
    const http_request& request = exchange->request();
    const std::string nonce =
        header_of(request, "Filberthub-Nonce", random_nonce());
    proposal_request proposed;
    proposed.change = std::move(change);
    proposed.author = header_of(request, "Filberthub-Author", "operator");
    proposed.nonce = nonce;
    const auto revision_header =
        [&](const char* name) -> std::optional<revision> {
        const std::string text = header_of(request, name, "");
        if (text.empty())
            return std::nullopt;
        std::uint64_t number = 0;
        const char* last = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), last, number);
        if (parsed.ec != std::errc() || parsed.ptr != last)
            throw error(error_kind::bad_request,
                std::string(name) + ": \"" + text + "\" is not a revision");
        return revision(number);
    };
    proposed.base = revision_header("Filberthub-Base-Revision");
    proposed.in_doubt = revision_header("Filberthub-In-Doubt");

    std::map<std::string, json> bodies;
    const policy_service& policy = *view_.policy();
    if (policy.root()) {
        for (const auto& [id, body] : policy.sections())
            bodies[policy.root()->sections.at(id).digest] = body;
    }
    run_proposal(*view_.store, proposed, bodies,
        [this, exchange, nonce](const proposal_result& result) {
            if (result.outcome == proposal_outcome::accepted)
                view_.policy()->refresh();
            exchange->respond(json_response(
                status_of(result.outcome), to_json(result, nonce)));
        });
}

json operator_service::policy_history() const
{
    json history = json::array();
    const auto& root = view_.policy()->root();
    if (root) {
        for (const root_writer& writer : root->writers)
            history.push_back({{"revision", writer.mark.accepted.value()},
                {"author", writer.mark.author}, {"change", writer.change}});
    }
    return history;
}

json operator_service::out_of_service() const
{
    json domains = json::object();
    json instances = json::array();
    const shared_policy document = view_.policy()->document();
    if (document) {
        for (const auto& item : document->failure_domains())
            domains[item.first.value()] = document->in_service(item.first)
                                              ? "in service"
                                              : "out of service";
        for (const instance_id& id : document->out_of_service().instances_out)
            instances.push_back(id.value());
    }
    return {{"failure_domains", domains}, {"instances_out", instances}};
}

} // namespace filberthub
