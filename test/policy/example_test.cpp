#include <filberthub/policy/policy_document.hpp>
#include <filberthub/policy/settings.hpp>

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace filberthub {
namespace {

std::string text_of(const std::filesystem::path& path)
{
    std::ifstream file(path);
    EXPECT_TRUE(file.good()) << path;
    return {std::istreambuf_iterator<char>(file), {}};
}

std::filesystem::path example(const std::string& deployment)
{
    return std::filesystem::path(FILBERTHUB_SOURCE_DIR) / "examples" /
           deployment;
}

policy_document load(const std::string& deployment)
{
    std::map<section_id, json> sections;
    for (const auto& file :
        std::filesystem::directory_iterator(example(deployment) / "sections")) {
        sections.emplace(section_id(file.path().stem()),
            parse_policy_text(text_of(file.path())));
    }
    return check_policy(sections);
}

struct service_size
{
    std::string service;
    std::size_t servers;
    routing kind;
};

void expect_sizes(const policy_document& document,
    const std::vector<service_size>& sizes, std::uint32_t slots,
    std::uint32_t connections)
{
    EXPECT_EQ(document.services().size(), sizes.size());
    for (const service_size& size : sizes) {
        const service_policy& service =
            document.service(service_id(size.service));
        EXPECT_EQ(service.servers.size(), size.servers) << size.service;
        EXPECT_EQ(service.kind, size.kind) << size.service;
        EXPECT_EQ(service.slots, slots) << size.service;
        EXPECT_EQ(service.connections_per_server, connections) << size.service;
    }
}

// The sizes are those of the table in section 1 of docs/design.md. Measurements
// with the examples are comparable only if the sizes do not change.
TEST(Examples, HaveTheDesignedSizesOfGolvkarta)
{
    const policy_document document = load("golvkarta");
    expect_sizes(document,
        {{"kartlas", 14, routing::by_key}, {"kartskriv", 8, routing::any},
            {"skanintag", 6, routing::any}, {"raddning", 6, routing::any}},
        2, 250);
    EXPECT_EQ(document.failure_domains().size(), 3U);
    EXPECT_GT(document.weights().tail_latency, document.weights().churn);
}

TEST(Examples, HaveTheDesignedSizesOfMeridian)
{
    const policy_document document = load("meridian");
    expect_sizes(document,
        {{"tractbook", 20, routing::by_key}, {"paydesk", 10, routing::any},
            {"platvault", 8, routing::any}, {"clausefile", 8, routing::any}},
        4, 125);
    EXPECT_EQ(document.failure_domains().size(), 4U);
    EXPECT_GT(document.weights().churn, document.weights().tail_latency);
}

// Guards against a default that would allow an edit or a payment to run twice.
TEST(Examples, TreatEditsAndPaymentsAsNotIdempotent)
{
    EXPECT_FALSE(load("golvkarta").service(service_id("kartskriv")).idempotent);
    EXPECT_FALSE(load("meridian").service(service_id("paydesk")).idempotent);
}

// Guards against example settings whose region and failure domain do not match
// the policy.
TEST(Examples, HaveSettingsOfAnInstanceInTheirOwnRegion)
{
    for (const std::string deployment : {"golvkarta", "meridian"}) {
        const settings instance_settings =
            settings::from_text(text_of(example(deployment) / "instance.json"));
        const policy_document document = load(deployment);
        ASSERT_TRUE(
            document.failure_domains().contains(instance_settings.domain));
        EXPECT_EQ(document.failure_domains().at(instance_settings.domain),
            instance_settings.region);
    }
}

// Returns the JSON of the first code block of a page.
std::string json_block_of(const std::string& page)
{
    const std::string text =
        text_of(std::filesystem::path(FILBERTHUB_SOURCE_DIR) / "docs" / page);
    const std::string fence = "```json\n";
    const std::size_t begin = text.find(fence) + fence.size();
    return text.substr(begin, text.find("```", begin) - begin);
}

// Guards against examples in the documentation that instances refuse.
TEST(Examples, InTheDocumentationAreAccepted)
{
    EXPECT_NO_THROW(check_section(
        section_id("raddning"), parse_policy_text(json_block_of("policy.md"))));
    EXPECT_NO_THROW(settings::from_text(json_block_of("settings.md")));
}

} // namespace
} // namespace filberthub
