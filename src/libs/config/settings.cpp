#include "settings.h"

#include "yamlobject.h"

#include <fstream>
#include <sstream>

namespace config {

namespace {

constexpr number_range headerSizes { 1024, 1024 * 1024 };
constexpr number_range bodySizes { 1024, 1024.0 * 1024 * 1024 };
constexpr utils::duration longestTimeout = std::chrono::hours(1);

std::optional<utils::log_format> logFormatFromName(std::string_view name)
{
    if (name == "text")
        return utils::log_format::Text;
    if (name == "json")
        return utils::log_format::Json;
    return std::nullopt;
}

std::optional<utils::severity> severityFromName(std::string_view name)
{
    if (name == "debug")
        return utils::severity::Debug;
    if (name == "info")
        return utils::severity::Info;
    if (name == "warning")
        return utils::severity::Warning;
    if (name == "error")
        return utils::severity::Error;
    return std::nullopt;
}

caller_limits readLimits(yaml_object from)
{
    caller_limits limits;
    limits.headerBytes = from.count("header_bytes", limits.headerBytes, headerSizes);
    limits.bodyBytes = from.count("body_bytes", limits.bodyBytes, bodySizes);
    limits.headerTimeout = from.time("header_timeout", limits.headerTimeout, longestTimeout);
    limits.bodyTimeout = from.time("body_timeout", limits.bodyTimeout, longestTimeout);
    limits.idle = from.time("idle", limits.idle, longestTimeout);
    from.refuseOthers();
    return limits;
}

callers_settings readCallers(yaml_object from)
{
    callers_settings callers;
    callers.address = from.address("address", true);
    if (from.has("tls")) {
        yaml_object tls = from.object("tls");
        callers.tls = tls_files { tls.requiredText("certificate"), tls.requiredText("key") };
        tls.refuseOthers();
    }
    callers.limits = readLimits(from.object("limits"));
    from.refuseOthers();
    return callers;
}

operators_settings readOperators(yaml_object from)
{
    operators_settings operators;
    operators.address = from.address("address", true);
    if (from.has("first_key_sha256")) {
        const std::vector<std::string> digests = from.digests("first_key_sha256");
        if (digests.size() != 1)
            from.reportValue("first_key_sha256", "expected a list of one key");
        else
            operators.firstKeyHash = digests.front();
    }
    from.refuseOthers();
    return operators;
}

seed_settings readSeed(yaml_object& from)
{
    seed_settings seed;
    seed.id = utils::node_id(from.requiredName("id"));
    seed.address = from.address("address", true);
    seed.dataCentre = utils::data_centre_id(from.requiredName("data_centre"));
    from.refuseOthers();
    return seed;
}

peers_settings readPeers(yaml_object from)
{
    peers_settings peers;
    peers.address = from.address("address", true);
    peers.keyFile = from.requiredText("key_file");
    peers.previousKeyFile = from.text("previous_key_file");
    std::set<std::string> seen;
    for (yaml_object& seed : from.list("seeds")) {
        peers.seeds.push_back(readSeed(seed));
        if (!seen.insert(peers.seeds.back().id.str()).second)
            seed.reportValue("id", "expected another id than those of the other seeds");
    }
    peers.vmList = from.text("vm_list");
    from.refuseOthers();
    return peers;
}

platform_settings readPlatform(yaml_object from)
{
    platform_settings platform;
    platform.endpoints = from.addresses("endpoints");
    if (platform.endpoints.empty())
        from.reportMissing("endpoints", "a list of ip:port");
    platform.timeout = from.time("timeout", platform.timeout, longestTimeout);
    platform.prefix = from.text("prefix", platform.prefix);
    if (platform.prefix.empty() || !platform.prefix.ends_with('/'))
        from.reportValue("prefix", "expected text that ends with '/'");
    from.refuseOthers();
    return platform;
}

log_settings readLog(yaml_object from)
{
    log_settings log;
    log.format = from.choice<utils::log_format>("format", log.format, logFormatFromName, "text or json");
    log.level
        = from.choice<utils::severity>("level", log.level, severityFromName, "debug, info, warning or error");
    from.refuseOthers();
    return log;
}

std::string readTraces(yaml_object from)
{
    std::string file = from.text("file");
    from.refuseOthers();
    return file;
}

utils::duration readGrace(yaml_object from, utils::duration fallback)
{
    const utils::duration grace = from.time("grace", fallback, longestTimeout);
    from.refuseOthers();
    return grace;
}

settings readSettings(yaml_object& root)
{
    settings value;
    value.node = utils::node_id(root.requiredName("node"));
    value.dataCentre = utils::data_centre_id(root.requiredName("data_centre"));
    value.region = root.requiredName("region");
    value.callers = readCallers(root.object("callers"));
    value.operators = readOperators(root.object("operators"));
    value.peers = readPeers(root.object("peers"));
    value.platform = readPlatform(root.object("platform"));
    value.log = readLog(root.object("log"));
    value.tracesFile = readTraces(root.object("traces"));
    value.charts = root.requiredText("charts");
    value.shutdownGrace = readGrace(root.object("shutdown"), value.shutdownGrace);
    root.refuseOthers();
    return value;
}

} // namespace

parsed_settings parseSettings(const std::string& yaml, const std::string& file)
{
    yaml_context context(file);
    yaml_object root = yaml_object::fromText(yaml, "", context);
    parsed_settings parsed;
    parsed.value = readSettings(root);
    parsed.problems = context.problems();
    return parsed;
}

parsed_settings loadSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        parsed_settings parsed;
        parsed.problems.push_back({ path, 0, 0, "", "the file cannot be read" });
        return parsed;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace config
