#include <filberthub/policy/policy_document.hpp>
#include <filberthub/policy/policy_root.hpp>
#include <filberthub/policy/settings.hpp>

#include <gtest/gtest.h>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include <filesystem>
#include <fstream>
#include <functional>

namespace filberthub {
namespace {

using adapter = valijson::adapters::NlohmannJsonAdapter;
const std::filesystem::path source_dir = FILBERTHUB_SOURCE_DIR;

json load(const std::filesystem::path& path)
{
    std::ifstream file(source_dir / path);
    EXPECT_TRUE(file.good()) << path;
    return json::parse(file);
}

// A schema file and the code that reads the same documents.
class document_format
{
public:
    document_format(
        const std::string& name, std::function<void(const json&)> read)
        : text_(load("schemas/" + name + ".schema.json")),
          read_(std::move(read))
    {
        valijson::SchemaParser parser;
        parser.populateSchema(adapter(text_), schema_);
    }

    bool schema_accepts(const json& document) const
    {
        valijson::Validator validator;
        return validator.validate(schema_, adapter(document), nullptr);
    }
    bool code_accepts(const json& document) const
    {
        try {
            read_(document);
            return true;
        } catch (const error&) {
            return false;
        }
    }

    // Replaces each value of `document` by values of other types and ranges,
    // and expects that the schema and the code agree on whether the result is
    // valid.
    void expect_agreement(const json& document) const
    {
        ASSERT_TRUE(schema_accepts(document));
        ASSERT_TRUE(code_accepts(document));
        const json flat = document.flatten();
        std::size_t refused = 0;
        for (const auto& place : flat.items()) {
            for (const json& value :
                {json(-1), json(0), json("A b"), json(), json(INT64_MAX),
                    json(1.5), json(true), json::object(), json::array()}) {
                json changed = document;
                changed[json::json_pointer(place.key())] = value;
                const bool is_accepted = schema_accepts(changed);
                refused += is_accepted ? 0 : 1;
                // The code also checks fields against each other.
                if (!is_accepted || !value.is_number()) {
                    EXPECT_EQ(code_accepts(changed), is_accepted)
                        << place.key() << " = " << value;
                }
            }
        }
        EXPECT_GT(refused, 4 * flat.size());
    }

private:
    json text_;
    valijson::Schema schema_;
    std::function<void(const json&)> read_;
};

// The schemas are used by editors and in reviews, the code by instances. The
// tests guard against a document that only one of them accepts.
TEST(Schema, AgreesWithTheCodeAboutSections)
{
    const document_format sections("section", [](const json& document) {
        check_section(section_id("example"), document);
    });
    for (const std::string deployment : {"golvkarta", "meridian"}) {
        for (const auto& file : std::filesystem::directory_iterator(
                 source_dir / "examples" / deployment / "sections")) {
            const json body = load(file.path());
            EXPECT_TRUE(sections.schema_accepts(body)) << file.path();
        }
    }
    sections.expect_agreement(load("examples/golvkarta/sections/fleet.json"));
    json body = load("examples/golvkarta/sections/raddning.json");
    json& servers = body["services"]["raddning"]["backend_servers"];
    servers.erase(servers.begin() + 1, servers.end());
    sections.expect_agreement(body);
}

TEST(Schema, AgreesWithTheCodeAboutSettings)
{
    const document_format settings_format("settings",
        [](const json& document) { settings::from_json(document); });
    settings_format.expect_agreement(load("examples/golvkarta/instance.json"));
    settings_format.expect_agreement(load("examples/meridian/instance.json"));
}

TEST(Schema, AgreesWithTheCodeAboutTheRoot)
{
    policy_root root;
    root.number = revision(2);
    root.base = revision(1);
    const change_mark mark{revision(2), "kim", "n2"};
    root.sections[section_id("kartlas")] = {digest_of(""), mark};
    root.domains[failure_domain_id("se-mitt-a")] = {true, mark};
    root.instances[instance_id("se-mitt-1")] = {false, mark};
    root.writers = {{mark, "section \"kartlas\""}};
    EXPECT_EQ(policy_root_from_text(to_text(root)), root);

    const document_format roots("root",
        [](const json& document) { policy_root_from_text(document.dump()); });
    roots.expect_agreement(json::parse(to_text(root)));
}

} // namespace
} // namespace filberthub
