#include <filberthub/policy/policy_root.hpp>

namespace filberthub {
namespace {

revision read_revision(json_reader& reader, const std::string& field)
{
    return revision(
        static_cast<std::uint64_t>(reader.integer(field, 0, INT64_MAX)));
}

change_mark read_mark(json_reader& reader)
{
    change_mark mark;
    mark.accepted = read_revision(reader, "revision");
    mark.author = reader.string("author");
    mark.nonce = reader.string("nonce");
    return mark;
}

json to_json(const change_mark& mark)
{
    return {{"revision", mark.accepted.value()}, {"author", mark.author},
        {"nonce", mark.nonce}};
}

std::string read_digest(json_reader& reader)
{
    std::string digest = reader.string("digest");
    const bool has_hex_digits =
        digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!digest.empty() && (digest.size() != 32 || !has_hex_digits)) {
        reader.fail("digest", json(digest).dump() +
                                  " is neither empty nor 32 hexadecimal "
                                  "digits");
    }
    return digest;
}

section_entry read_entry(json_reader& reader, const section_entry*)
{
    section_entry entry;
    entry.digest = read_digest(reader);
    entry.last_change = read_mark(reader);
    return entry;
}

service_state_entry read_entry(json_reader& reader, const service_state_entry*)
{
    service_state_entry entry;
    reader.value("out_of_service");
    entry.out_of_service = reader.boolean_or("out_of_service", false);
    entry.last_change = read_mark(reader);
    return entry;
}

json to_json(const section_entry& entry)
{
    json result = to_json(entry.last_change);
    result["digest"] = entry.digest;
    return result;
}

json to_json(const service_state_entry& entry)
{
    json result = to_json(entry.last_change);
    result["out_of_service"] = entry.out_of_service;
    return result;
}

template <class Id, class Entry>
void read_entries(json_reader& reader, const std::string& field,
    revision number, std::map<Id, Entry>& entries)
{
    json_reader members = reader.object(field);
    for (const auto& member : reader.value(field).items()) {
        const std::string& name = member.key();
        check_name(name, "field \"" + members.path() + "\"");
        json_reader item = members.object(name);
        Entry entry = read_entry(item, static_cast<const Entry*>(nullptr));
        item.finish();
        if (entry.last_change.accepted > number) {
            item.fail("revision",
                std::to_string(entry.last_change.accepted.value()) +
                    " is above the revision " + std::to_string(number.value()) +
                    " of the root");
        }
        entries.emplace(Id(name), std::move(entry));
    }
}

template <class Id, class Entry>
json entries_to_json(const std::map<Id, Entry>& entries)
{
    json result = json::object();
    for (const auto& [id, entry] : entries)
        result[id.value()] = to_json(entry);
    return result;
}

void read_writers(json_reader& reader, policy_root& root)
{
    for (json_reader& item : reader.objects("writers")) {
        root_writer writer;
        writer.mark = read_mark(item);
        writer.change = item.string("change");
        item.finish();
        root.writers.push_back(std::move(writer));
    }
    const std::size_t count = root.writers.size();
    if (count > maximum_writers) {
        reader.fail("writers", std::to_string(count) +
                                   " writers are above the maximum " +
                                   std::to_string(maximum_writers));
    }
    // A proposal whose reply was lost reads the root back, and relies on one
    // writer per revision.
    for (std::size_t index = 0; index < count; ++index) {
        const std::uint64_t seen = root.writers[index].mark.accepted.value();
        const std::uint64_t expected = root.number.value() - count + index + 1;
        if (seen != expected) {
            reader.fail("writers/" + std::to_string(index) + "/revision",
                std::to_string(seen) + " is not the expected " +
                    std::to_string(expected));
        }
    }
}

} // namespace

operator_state policy_root::out_of_service() const
{
    operator_state state;
    for (const auto& [id, entry] : domains) {
        if (entry.out_of_service)
            state.domains_out.insert(id);
    }
    for (const auto& [id, entry] : instances) {
        if (entry.out_of_service)
            state.instances_out.insert(id);
    }
    return state;
}

policy_root policy_root_from_text(std::string_view text)
{
    const json document = parse_policy_text(text);
    json_reader reader(document, error_kind::bad_policy);
    policy_root root;
    root.number = read_revision(reader, "revision");
    root.base = read_revision(reader, "base_revision");
    if (root.base > root.number) {
        reader.fail("base_revision", std::to_string(root.base.value()) +
                                         " is above the revision " +
                                         std::to_string(root.number.value()));
    }
    root.nonce = reader.string("nonce");
    read_entries(reader, "sections", root.number, root.sections);
    read_entries(reader, "failure_domains", root.number, root.domains);
    read_entries(reader, "instances", root.number, root.instances);
    read_writers(reader, root);
    reader.finish();
    return root;
}

std::string to_text(const policy_root& root)
{
    json writers = json::array();
    for (const root_writer& writer : root.writers) {
        json item = to_json(writer.mark);
        item["change"] = writer.change;
        writers.push_back(std::move(item));
    }
    const json document = {{"revision", root.number.value()},
        {"base_revision", root.base.value()}, {"nonce", root.nonce},
        {"sections", entries_to_json(root.sections)},
        {"failure_domains", entries_to_json(root.domains)},
        {"instances", entries_to_json(root.instances)},
        {"writers", std::move(writers)}};
    return document.dump();
}

json parse_body(const std::string& digest, std::string_view text)
{
    const std::string seen = digest_of(text);
    if (seen != digest) {
        throw error(error_kind::bad_policy, "body of a section: digest " +
                                                seen + " is not the expected " +
                                                digest);
    }
    return parse_policy_text(text);
}

std::vector<section_id> missing_sections(
    const policy_root& root, const policy_bodies& bodies)
{
    std::vector<section_id> missing;
    for (const auto& [id, entry] : root.sections) {
        if (!entry.digest.empty() && !bodies.contains(entry.digest))
            missing.push_back(id);
    }
    return missing;
}

policy_document assemble(const policy_root& root, const policy_bodies& bodies)
{
    std::map<section_id, json> sections;
    for (const auto& [id, entry] : root.sections) {
        if (entry.digest.empty())
            continue;
        const auto body = bodies.find(entry.digest);
        if (body == bodies.end()) {
            throw error(error_kind::bad_policy,
                "section \"" + id.value() + "\": the body with digest " +
                    entry.digest + " is missing");
        }
        sections.emplace(id, body->second);
    }
    return check_policy(sections, root.out_of_service());
}

std::string section_path(const section_id& section, const std::string& digest)
{
    return "policy/sections/" + section.value() + "/" + digest;
}

} // namespace filberthub
