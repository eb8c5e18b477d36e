// The settings of an instance process, read from JSON when it starts.
//
//     settings first = settings::from_text(text);
//     settings second = settings_builder(text)
//                           .instance(instance_id("se-mitt-2"))
//                           .callers({"127.0.10.2", 8080})
//                           .build();

#ifndef FILBERTHUB_POLICY_SETTINGS_HPP
#define FILBERTHUB_POLICY_SETTINGS_HPP

#include <filberthub/base/json_reader.hpp>
#include <filberthub/policy/service_policy.hpp>

#include <string>

namespace filberthub {

// The destination of log lines or spans: "off", "stdout", "stderr" or a file
// path with a '/'.
struct output_settings
{
    std::string output;

    bool is_off() const
    {
        return output == "off";
    }
};

struct log_settings : output_settings
{
    // One of trace, debug, info, warn, error.
    std::string level = "info";
};

struct trace_settings : output_settings
{
    // Fraction of new traces that are recorded, in thousandths.
    std::uint32_t sample_permille = 10;
};

// Limits on connections and memory. Sizes are in bytes.
struct limit_settings
{
    std::uint32_t caller_connections = 4096;
    std::uint64_t head_bytes = 16UL * 1024;
    std::uint64_t body_bytes = 32UL * 1024 * 1024;
    std::uint64_t buffered_bytes_per_connection = 64UL * 1024 * 1024;
    // Limit for all connections together.
    std::uint64_t buffered_bytes = 192UL * 1024 * 1024;
};

// Checked settings. All addresses are numeric IPv4 addresses with a port, and
// no two listeners use the same one.
struct settings
{
    instance_id instance;
    region_id region;
    failure_domain_id domain;
    endpoint callers;
    endpoint peers;
    endpoint operators;
    // The platform's object store and instance list.
    endpoint platform;
    log_settings log;
    trace_settings trace;
    limit_settings limits;

    // Read settings. Both throw `error` of kind `bad_settings` that names the
    // path, the value seen and the value expected.
    static settings from_text(std::string_view text);
    static settings from_json(const json& document);
};

// Builds settings from a document or from nothing. `build` makes the same
// checks as `settings::from_json`, with the same messages.
class settings_builder
{
public:
    settings_builder();
    // Starts from a document, for example `examples/golvkarta/instance.json`.
    explicit settings_builder(std::string_view text);

    settings_builder& instance(const instance_id& id);
    settings_builder& region(const region_id& id);
    settings_builder& domain(const failure_domain_id& id);
    settings_builder& callers(const endpoint& address);
    settings_builder& peers(const endpoint& address);
    settings_builder& operators(const endpoint& address);
    settings_builder& platform(const endpoint& address);
    settings_builder& log(const std::string& output, const std::string& level);
    settings_builder& trace(
        const std::string& output, std::uint32_t sample_permille);
    // Sets one field of `limits`, for example "caller_connections".
    settings_builder& limit(const std::string& field, std::uint64_t value);

    // Returns the unchecked document, for a settings file.
    const json& document() const
    {
        return document_;
    }
    // Returns the settings. Throws like `settings::from_json`.
    settings build() const;

private:
    json document_;
};

} // namespace filberthub

#endif
