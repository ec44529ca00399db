#include "documentparser.h"

#include "documentchecks.h"
#include "fieldformats.h"
#include "yamlobject.h"

namespace config {

namespace {

constexpr number_range anyRate { 0, 1e6 };
constexpr number_range anyCount { 0, 1e6 };
constexpr number_range slotCounts { 1, 4096 };
/// A bound of 1 admits nothing, for one request more than the mean would break it.
constexpr number_range loadBounds { 1.01, 100 };
constexpr number_range weights { 0.01, 1000 };
constexpr utils::duration longestWait = std::chrono::minutes(30);

std::optional<pool_kind> poolKindFromName(std::string_view name)
{
    if (name == "model_engines")
        return pool_kind::ModelEngines;
    if (name == "plain_service")
        return pool_kind::PlainService;
    return std::nullopt;
}

decisions::priority_class readPriority(yaml_object& from, decisions::priority_class fallback)
{
    return from.choice<decisions::priority_class>(
        "priority", fallback, decisions::priorityFromName, "interactive, chat or draft");
}

template <class Id> std::set<Id> readIds(yaml_object& from, const std::string& key)
{
    std::set<Id> ids;
    for (const std::string& name : from.texts(key))
        ids.insert(Id(name));
    return ids;
}

operator_entry readOperator(const std::string& name, yaml_object& from)
{
    operator_entry entry;
    entry.name = name;
    entry.keyHashes = from.digests("key_sha256");
    const std::vector<std::string> owns = from.texts("owns");
    entry.owns = { owns.begin(), owns.end() };
    from.refuseOthers();
    return entry;
}

team_limits readLimits(yaml_object from)
{
    team_limits limits;
    limits.requestsPerSecond = from.number("requests_per_second", limits.requestsPerSecond, anyRate);
    limits.concurrent = from.count("concurrent", limits.concurrent, anyCount);
    limits.drafts = from.count("drafts", limits.drafts, anyCount);
    from.refuseOthers();
    return limits;
}

calling_team readTeam(const std::string& name, yaml_object& from)
{
    calling_team team;
    team.id = utils::team_id(name);
    team.owner = from.requiredName("owner");
    team.keyHashes = from.digests("key_sha256");
    team.priority = readPriority(from, team.priority);
    team.weight = from.number("weight", team.weight, weights);
    team.limits = readLimits(from.object("limits"));
    team.uses = readIds<utils::pool_id>(from, "uses");
    from.refuseOthers();
    return team;
}

backend_server readServer(const std::string& name, yaml_object& from)
{
    backend_server server;
    server.id = utils::server_id(name);
    server.address = from.address("address", true);
    server.slots = from.count("slots", server.slots, slotCounts);
    server.dataCentre = utils::data_centre_id(from.text("data_centre"));
    server.isLeaving = from.flag("leaving", server.isLeaving);
    from.refuseOthers();
    return server;
}

service_route readRoute(yaml_object& from)
{
    service_route route;
    route.path = from.requiredText("path");
    if (!route.path.empty() && !route.path.starts_with('/'))
        from.reportValue("path", "expected a path that starts with '/'");
    const std::vector<std::string> methods = from.texts("methods");
    route.methods = { methods.begin(), methods.end() };
    if (methods.empty())
        from.reportMissing("methods", "a list such as [GET, POST]");
    route.isIdempotent = from.flag("idempotent", route.isIdempotent);
    if (!from.has("idempotent"))
        from.reportMissing("idempotent", "true or false: whether a request may be run twice");
    route.priority = readPriority(from, route.priority);
    route.timeout = from.time("timeout", route.timeout, longestWait);
    from.refuseOthers();
    return route;
}

server_pool readPool(const std::string& name, yaml_object& from)
{
    server_pool pool;
    pool.id = utils::pool_id(name);
    pool.owner = from.requiredName("owner");
    if (!from.has("kind"))
        from.reportMissing("kind", "model_engines or plain_service");
    pool.kind = from.choice<pool_kind>("kind", pool.kind, poolKindFromName, "model_engines or plain_service");
    pool.models = from.texts("models");
    for (yaml_object& route : from.list("routes"))
        pool.routes.push_back(readRoute(route));
    for (named_yaml_object& server : from.objects("servers"))
        pool.servers.push_back(readServer(server.name, server.object));
    pool.approved = readIds<utils::team_id>(from, "approved");
    pool.loadBound = from.number("load_bound", pool.loadBound, loadBounds);
    pool.honoursFencing = from.flag("honours_fencing", pool.honoursFencing);
    pool.maxWait = from.time("max_wait", pool.maxWait, longestWait);
    from.refuseOthers();
    return pool;
}

void readRevision(yaml_object& root, document& into)
{
    constexpr double highestExact = 9e15; // a double holds every whole number below 2^53
    into.revision = static_cast<utils::config_revision>(root.number("revision", 0, { 0, highestExact }));
}

void readDocument(yaml_object& root, document& into)
{
    readRevision(root, into);
    for (named_yaml_object& entry : root.objects("operators"))
        into.operators.emplace(entry.name, readOperator(entry.name, entry.object));
    for (named_yaml_object& entry : root.objects("teams"))
        into.teams.emplace(utils::team_id(entry.name), readTeam(entry.name, entry.object));
    for (named_yaml_object& entry : root.objects("pools"))
        into.pools.emplace(utils::pool_id(entry.name), readPool(entry.name, entry.object));
    root.refuseOthers();
}

enum class section_kind {
    Operator,
    Team,
    Pool
};

struct section_name {
    section_kind kind = section_kind::Operator;
    std::string id;
};

std::optional<section_name> parseName(const std::string& name)
{
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos || !isName(std::string_view(name).substr(slash + 1)))
        return std::nullopt;
    const std::string id = name.substr(slash + 1);
    if (name.starts_with("operators/"))
        return section_name { section_kind::Operator, id };
    if (name.starts_with("teams/"))
        return section_name { section_kind::Team, id };
    if (name.starts_with("pools/"))
        return section_name { section_kind::Pool, id };
    return std::nullopt;
}

void eraseSection(document& whole, const section_name& name)
{
    switch (name.kind) {
    case section_kind::Operator:
        whole.operators.erase(name.id);
        return;
    case section_kind::Team:
        whole.teams.erase(utils::team_id(name.id));
        return;
    case section_kind::Pool:
        whole.pools.erase(utils::pool_id(name.id));
        return;
    }
}

void readSection(document& whole, const section_name& name, yaml_object& section)
{
    switch (name.kind) {
    case section_kind::Operator:
        whole.operators[name.id] = readOperator(name.id, section);
        return;
    case section_kind::Team:
        whole.teams[utils::team_id(name.id)] = readTeam(name.id, section);
        return;
    case section_kind::Pool:
        whole.pools[utils::pool_id(name.id)] = readPool(name.id, section);
        return;
    }
}

} // namespace

parsed_document parsePartialDocument(const std::string& yaml, const std::string& file)
{
    yaml_context context(file);
    parsed_document parsed;
    yaml_object root = yaml_object::fromText(yaml, "", context);
    readDocument(root, parsed.value);
    parsed.problems = context.problems();
    return parsed;
}

parsed_document parseDocumentOver(const std::string& yaml, const std::string& file, const document& base)
{
    yaml_context context(file);
    parsed_document parsed;
    yaml_object root = yaml_object::fromText(yaml, "", context);
    readDocument(root, parsed.value);
    parsed.value.operators.insert(base.operators.begin(), base.operators.end());
    parsed.value.teams.insert(base.teams.begin(), base.teams.end());
    parsed.value.pools.insert(base.pools.begin(), base.pools.end());
    // A text that could not be read would only be followed by faults that the reader already explains.
    if (context.problems().empty()) {
        for (const document_fault& fault : checkDocument(parsed.value))
            context.reportAt(fault.path, fault.message);
    }
    parsed.problems = context.problems();
    return parsed;
}

parsed_document parseDocument(const std::string& yaml, const std::string& file)
{
    return parseDocumentOver(yaml, file, {});
}

std::vector<problem> replaceSection(
    document& whole, const std::string& name, const std::optional<std::string>& text)
{
    yaml_context context(name);
    const std::optional<section_name> parsed = parseName(name);
    whole.keyIndex.reset();
    if (!parsed) {
        context.reportAt("", "there is no such section");
        return context.problems();
    }
    if (!text) {
        eraseSection(whole, *parsed);
        return {};
    }
    const std::string path = name.substr(0, name.find('/')) + '.' + parsed->id;
    yaml_object section = yaml_object::fromText(*text, path, context);
    readSection(whole, *parsed, section);
    return context.problems();
}

parsed_document parseSections(const section_texts& sections, utils::config_revision revision)
{
    parsed_document parsed;
    parsed.value.revision = revision;
    for (const auto& [name, text] : sections) {
        const std::vector<problem> found = replaceSection(parsed.value, name, text);
        parsed.problems.insert(parsed.problems.end(), found.begin(), found.end());
    }
    if (!parsed.problems.empty())
        return parsed;
    for (const document_fault& fault : checkDocument(parsed.value))
        parsed.problems.push_back({ "document", 0, 0, fault.path, fault.message });
    return parsed;
}

} // namespace config
