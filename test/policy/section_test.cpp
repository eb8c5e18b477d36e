#include <filberthub/policy/policy_document.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

json fleet()
{
    return json::parse(R"({"team": "operations", "regions":
        {"se-mitt": {"failure_domains": ["se-mitt-a", "se-mitt-b"]}}})");
}

json kartlas()
{
    return json::parse(R"({"team": "map reads", "services": {"kartlas": {
        "routing": "by_key", "slots": 2, "connections_per_server": 250,
        "default_priority": "interactive", "default_deadline_ms": 1000,
        "maximum_deadline_ms": 3000, "maximum_body_bytes": 65536,
        "backend_servers": [{"id": "kartlas-1", "address": "127.0.11.1:9000",
            "failure_domain": "se-mitt-a"}]}}})");
}

std::string refusal(const std::map<section_id, json>& sections,
    const operator_state& state = {})
{
    try {
        check_policy(sections, state);
    } catch (const error& failure) {
        EXPECT_EQ(failure.kind(), error_kind::bad_policy);
        return failure.what();
    }
    return "no error";
}

std::string refusal(const std::string& field, const json& value)
{
    json body = kartlas();
    body[json::json_pointer("/services/kartlas/" + field)] = value;
    return refusal(
        {{section_id("fleet"), fleet()}, {section_id("kartlas"), body}});
}

std::string at(const std::string& field, const std::string& message)
{
    return "section \"kartlas\": field \"/services/kartlas/" + field +
           "\": " + message;
}

// Guards against an error message that does not let a team find its mistake.
TEST(Section, NamesSectionPathAndValuesWhenAFieldIsInvalid)
{
    EXPECT_EQ(refusal("slots", 0), at("slots", "0 is below the minimum 1"));
    EXPECT_EQ(refusal("slots", "2"), at("slots", "\"2\" is not an integer"));
    EXPECT_EQ(refusal("slot", 2), at("slot", "there is no such field"));
    EXPECT_EQ(refusal("routing", "key"),
        at("routing", "\"key\" is none of by_key, any"));
    EXPECT_EQ(refusal("default_priority", "high"),
        at("default_priority",
            "priority \"high\" is none of rescue, interactive, edit, bulk"));
    EXPECT_EQ(refusal("backend_servers", json::array()),
        at("backend_servers", "0 servers are below the minimum of 1 server"));
}

// Guards against limits that cannot all be met.
TEST(Section, RefusesValuesThatContradictEachOther)
{
    EXPECT_EQ(refusal("connections_per_server", 1),
        at("connections_per_server", "1 is below slots 2"));
    EXPECT_EQ(refusal("default_deadline_ms", 4000),
        at("default_deadline_ms", "4000 is above maximum_deadline_ms 3000"));
    EXPECT_EQ(refusal("cold_start", {{"first_limit", 3}}),
        at("cold_start/first_limit", "3 is above the maximum 2"));
    EXPECT_EQ(refusal("cold_start", {{"cold_percent", 150}}),
        at("cold_start/cold_percent", "150 is below good_percent 200"));
}

// Guards against a hedge for a key, which has only one owner, and of an edit,
// which would run twice.
TEST(Section, RefusesHedgingOfKeyedRequestsAndEdits)
{
    EXPECT_EQ(refusal("hedging", {{"enabled", true}}),
        at("hedging/enabled",
            "true needs routing \"any\" and \"idempotent\": true, but the "
            "service has routing \"by_key\" and \"idempotent\": false"));
}

// Guards against a duplicate field of which the JSON library keeps the last,
// and against a stack overflow through deep nesting.
TEST(Section, IsRefusedWhenItsTextIsAmbiguousOrTooDeep)
{
    EXPECT_THROW(parse_policy_text(R"({"a": {"b": 1, "b": 2}})"), error);
    EXPECT_THROW(parse_policy_text(std::string(100'000, '[')), error);
    EXPECT_THROW(parse_policy_text("{\"a\": 1"), error);
    EXPECT_EQ(parse_policy_text(R"([{"a": 1}, {"a": 2}])").size(), 2U);
}

// Guards against two teams that overwrite each other's service.
TEST(Policy, RefusesAServiceOrServerThatTwoSectionsDefine)
{
    json other = kartlas();
    EXPECT_EQ(
        refusal({{section_id("fleet"), fleet()},
            {section_id("kartlas"), kartlas()}, {section_id("rival"), other}}),
        "section \"rival\": field \"/services/kartlas\": service \"kartlas\" "
        "is already defined in section \"kartlas\"");
    other["services"]["rival"] = other["services"]["kartlas"];
    other["services"].erase("kartlas");
    EXPECT_EQ(
        refusal({{section_id("fleet"), fleet()},
            {section_id("kartlas"), kartlas()}, {section_id("rival"), other}}),
        "section \"rival\": field \"/services/rival/backend_servers/0/id\": "
        "backend server \"kartlas-1\" is already defined in section "
        "\"kartlas\"");
}

// Guards against a server whose failure domain no section defines.
TEST(Policy, RefusesAnUnknownFailureDomain)
{
    EXPECT_EQ(refusal({{section_id("kartlas"), kartlas()}}),
        at("backend_servers/0/failure_domain",
            "failure domain \"se-mitt-a\" is none of (none)"));
}

// Guards against a failure domain that has to return to service before its team
// can remove it.
TEST(Policy, AllowsRemovingADomainThatIsOutOfService)
{
    operator_state state;
    state.domains_out.insert(failure_domain_id("se-mitt-z"));
    EXPECT_EQ(refusal({{section_id("fleet"), fleet()}}, state), "no error");
}

// Guards against sections or operator state that the document leaves out.
TEST(Policy, MergesSectionsAndOperatorState)
{
    operator_state state;
    state.domains_out.insert(failure_domain_id("se-mitt-b"));
    state.instances_out.insert(instance_id("se-mitt-7"));
    const policy_document document = check_policy(
        {{section_id("fleet"), fleet()}, {section_id("kartlas"), kartlas()}},
        state);
    EXPECT_TRUE(document.in_service(failure_domain_id("se-mitt-a")));
    EXPECT_FALSE(document.in_service(failure_domain_id("se-mitt-b")));
    EXPECT_FALSE(document.in_service(failure_domain_id("se-mitt-c")));
    EXPECT_FALSE(document.in_service(instance_id("se-mitt-7")));
    EXPECT_EQ(document.teams().at(section_id("kartlas")), "map reads");
    EXPECT_EQ(document.find(service_id("kartskriv")), nullptr);
    EXPECT_THROW(document.service(service_id("kartskriv")), error);
}

// Guards against a change of the digest, which is part of a path in the store.
TEST(Digest, DependsOnContentOnly)
{
    const json left = json::parse(R"({"b": 1, "a": [true]})");
    const json right = json::parse(R"({ "a" : [ true ], "b" : 1 })");
    EXPECT_EQ(canonical_text(left), R"({"a":[true],"b":1})");
    EXPECT_EQ(
        digest_of(canonical_text(left)), digest_of(canonical_text(right)));
    EXPECT_EQ(digest_of(""), "99aa06d3014798d86001c324468d497f");
}

} // namespace
} // namespace filberthub
