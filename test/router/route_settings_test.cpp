#include <filberthub/base/json_reader.hpp>
#include <filberthub/router/route_settings.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

json usual_settings()
{
    return {{"instance", "router-1"}, {"failure_domain", "a"},
        {"callers", "127.0.0.1:8080"}, {"readiness", "127.0.0.1:8081"},
        {"address", "127.0.0.1"}, {"peer_port", 8082}, {"operator_port", 8083},
        {"store", "127.0.0.1:8084"}, {"processor_share", 0.1},
        {"bounds", json::object()}};
}

// Guards against a deployment that does not start with the new release because
// its settings lack the field, or have a value that was not thought of.
TEST(RouteSettings, ReadTheOptionalDescriptors)
{
    json document = usual_settings();
    EXPECT_EQ(route_settings::from_text(document.dump()).descriptors, 0U);
    document["descriptors"] = 1'024;
    EXPECT_EQ(route_settings::from_text(document.dump()).descriptors, 1'024U);
    for (const json& value : {json(-1), json("many"), json(1e9)}) {
        document["descriptors"] = value;
        EXPECT_THROW(route_settings::from_text(document.dump()), error);
    }
}

} // namespace
} // namespace filberthub
