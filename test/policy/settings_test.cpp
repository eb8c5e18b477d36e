#include <filberthub/policy/settings.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

settings_builder valid()
{
    return settings_builder()
        .instance(instance_id("se-mitt-1"))
        .region(region_id("se-mitt"))
        .domain(failure_domain_id("se-mitt-a"))
        .callers({"127.0.10.1", 8080})
        .peers({"127.0.10.1", 8081})
        .operators({"127.0.10.1", 8082})
        .platform({"127.0.0.1", 7400});
}

std::string refusal(const json& document)
{
    try {
        settings::from_json(document);
    } catch (const error& failure) {
        EXPECT_EQ(failure.kind(), error_kind::bad_settings);
        return failure.what();
    }
    return "no error";
}

std::string refusal(const std::string& pointer, const json& value)
{
    json document = valid().document();
    document[json::json_pointer(pointer)] = value;
    return refusal(document);
}

// Guards against a builder method that sets another field.
TEST(Settings, ContainTheValuesGivenToTheBuilder)
{
    const settings result =
        valid().log("stdout", "warn").limit("caller_connections", 7).build();
    EXPECT_EQ(result.instance, instance_id("se-mitt-1"));
    EXPECT_EQ(result.peers, (endpoint{"127.0.10.1", 8081}));
    EXPECT_EQ(result.log.level, "warn");
    EXPECT_EQ(result.limits.caller_connections, 7U);
    EXPECT_TRUE(result.trace.is_off());
}

// Guards against an error message that does not identify the invalid field.
TEST(Settings, NamePathAndValuesWhenAFieldIsInvalid)
{
    const std::string address_form =
        " is not of the form IP:PORT with an IPv4 address and a port from 1 "
        "to 65535";
    EXPECT_EQ(refusal("/listen/callers", "localhost:80"),
        "field \"/listen/callers\": \"localhost:80\"" + address_form);
    EXPECT_EQ(refusal("/listen/callers", "127.0.0.1:0"),
        "field \"/listen/callers\": \"127.0.0.1:0\"" + address_form);
    EXPECT_EQ(refusal("/listen/callers", 80),
        "field \"/listen/callers\": 80 is not a string");
    EXPECT_EQ(refusal("/log/level", "loud"),
        "field \"/log/level\": \"loud\" is none of trace, debug, info, warn, "
        "error");
    EXPECT_EQ(refusal("/trace/sample_permille", 1001),
        "field \"/trace/sample_permille\": 1001 is above the maximum 1000");
    EXPECT_EQ(refusal("/limits/connections", 1),
        "field \"/limits/connections\": there is no such field");
    EXPECT_EQ(refusal("/limits/buffered_bytes", 4096),
        "field \"/limits/buffered_bytes\": 4096 is below "
        "buffered_bytes_per_connection 67108864");
    json incomplete = valid().document();
    incomplete.erase("region");
    EXPECT_EQ(refusal(incomplete), "field \"/region\": it is missing");
}

// Guards against a process that starts and then fails on its second listener.
TEST(Settings, RefuseTwoListenersOnOneAddress)
{
    EXPECT_EQ(refusal("/listen/peers", "127.0.10.1:8080"),
        "field \"/listen/peers\": 127.0.10.1:8080 is not free, because "
        "\"/listen/callers\" is 127.0.10.1:8080");
    EXPECT_EQ(refusal("/listen/operators", "0.0.0.0:8080"),
        "field \"/listen/operators\": 0.0.0.0:8080 is not free, because "
        "\"/listen/callers\" is 127.0.10.1:8080");
    EXPECT_EQ(refusal("/listen/peers", "0.0.0.0:9"),
        "field \"/listen/peers\": \"0.0.0.0:9\" is not the address of one "
        "machine");
}

// Guards against a duplicate field of which the JSON library keeps the last.
TEST(Settings, RefuseAFieldThatOccursTwice)
{
    try {
        settings::from_text(R"({"instance": "a", "instance": "b"})");
        FAIL() << "no error";
    } catch (const error& failure) {
        EXPECT_STREQ(
            failure.what(), "field \"instance\" occurs twice in one object");
    }
}

} // namespace
} // namespace filberthub
