#include "documentwriter.h"

#include "fieldformats.h"

#include <yaml-cpp/yaml.h>

namespace config {

namespace {

constexpr std::size_t numberPrecision = 9;

void writeTexts(YAML::Emitter& out, const char* key, const auto& texts)
{
    out << YAML::Key << key << YAML::Value << YAML::Flow << YAML::BeginSeq;
    for (const auto& text : texts) {
        if constexpr (requires { text.str(); })
            out << text.str();
        else
            out << text;
    }
    out << YAML::EndSeq;
}

void write(YAML::Emitter& out, const operator_entry& entry)
{
    out << YAML::BeginMap;
    writeTexts(out, "key_sha256", entry.keyHashes);
    writeTexts(out, "owns", entry.owns);
    out << YAML::EndMap;
}

void write(YAML::Emitter& out, const calling_team& team)
{
    out << YAML::BeginMap;
    out << YAML::Key << "owner" << YAML::Value << team.owner;
    writeTexts(out, "key_sha256", team.keyHashes);
    out << YAML::Key << "priority" << YAML::Value << std::string(toString(team.priority));
    out << YAML::Key << "weight" << YAML::Value << team.weight;
    out << YAML::Key << "limits" << YAML::Value << YAML::BeginMap;
    out << YAML::Key << "requests_per_second" << YAML::Value << team.limits.requestsPerSecond;
    out << YAML::Key << "concurrent" << YAML::Value << team.limits.concurrent;
    out << YAML::Key << "drafts" << YAML::Value << team.limits.drafts;
    out << YAML::EndMap;
    writeTexts(out, "uses", team.uses);
    out << YAML::EndMap;
}

void write(YAML::Emitter& out, const service_route& route)
{
    out << YAML::BeginMap;
    out << YAML::Key << "path" << YAML::Value << route.path;
    writeTexts(out, "methods", route.methods);
    out << YAML::Key << "idempotent" << YAML::Value << route.isIdempotent;
    out << YAML::Key << "priority" << YAML::Value << std::string(toString(route.priority));
    out << YAML::Key << "timeout" << YAML::Value << durationText(route.timeout);
    out << YAML::EndMap;
}

void write(YAML::Emitter& out, const backend_server& server)
{
    out << YAML::BeginMap;
    out << YAML::Key << "address" << YAML::Value << server.address;
    out << YAML::Key << "slots" << YAML::Value << server.slots;
    if (!server.dataCentre.isEmpty())
        out << YAML::Key << "data_centre" << YAML::Value << server.dataCentre.str();
    out << YAML::Key << "leaving" << YAML::Value << server.isLeaving;
    out << YAML::EndMap;
}

void writeKindFields(YAML::Emitter& out, const server_pool& pool)
{
    if (pool.kind == pool_kind::ModelEngines) {
        writeTexts(out, "models", pool.models);
        return;
    }
    out << YAML::Key << "routes" << YAML::Value << YAML::BeginSeq;
    for (const service_route& route : pool.routes)
        write(out, route);
    out << YAML::EndSeq;
}

void write(YAML::Emitter& out, const server_pool& pool)
{
    const bool isEngines = pool.kind == pool_kind::ModelEngines;
    out << YAML::BeginMap;
    out << YAML::Key << "owner" << YAML::Value << pool.owner;
    out << YAML::Key << "kind" << YAML::Value << (isEngines ? "model_engines" : "plain_service");
    writeKindFields(out, pool);
    out << YAML::Key << "load_bound" << YAML::Value << pool.loadBound;
    out << YAML::Key << "max_wait" << YAML::Value << durationText(pool.maxWait);
    out << YAML::Key << "honours_fencing" << YAML::Value << pool.honoursFencing;
    out << YAML::Key << "servers" << YAML::Value << YAML::BeginMap;
    for (const backend_server& server : pool.servers) {
        out << YAML::Key << server.id.str() << YAML::Value;
        write(out, server);
    }
    out << YAML::EndMap;
    writeTexts(out, "approved", pool.approved);
    out << YAML::EndMap;
}

template <class Entry> std::string emit(const Entry& entry)
{
    YAML::Emitter out;
    out.SetDoublePrecision(numberPrecision);
    write(out, entry);
    return std::string(out.c_str()) + '\n';
}

void appendIndented(std::string& into, const std::string& text)
{
    constexpr const char* indent = "    ";
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        into += indent + text.substr(start, end - start) + '\n';
        start = end + 1;
    }
}

} // namespace

std::string sectionText(const operator_entry& entry)
{
    return emit(entry);
}

std::string sectionText(const calling_team& team)
{
    return emit(team);
}

std::string sectionText(const server_pool& pool)
{
    return emit(pool);
}

section_texts toSections(const document& whole)
{
    section_texts sections;
    for (const auto& [name, entry] : whole.operators)
        sections.emplace("operators/" + name, sectionText(entry));
    for (const auto& [id, team] : whole.teams)
        sections.emplace("teams/" + id.str(), sectionText(team));
    for (const auto& [id, pool] : whole.pools)
        sections.emplace("pools/" + id.str(), sectionText(pool));
    return sections;
}

std::string toYaml(const document& whole)
{
    std::string text = "revision: " + std::to_string(whole.revision) + '\n';
    std::string openKind;
    for (const auto& [name, section] : toSections(whole)) {
        const std::size_t slash = name.find('/');
        const std::string kind = name.substr(0, slash);
        if (kind != openKind)
            text += kind + ":\n";
        openKind = kind;
        YAML::Emitter key; // quotes names that YAML would read as numbers or words of its own
        key << name.substr(slash + 1);
        text += std::string("  ") + key.c_str() + ":\n";
        appendIndented(text, section);
    }
    return text;
}

} // namespace config
