#include "documentchecks.h"

#include <algorithm>

namespace config {

namespace {

/// With fewer milliseconds than this for each request, the two limits contradict each other: no request
/// of a model engine or a service ends so soon, so one of the limits is a slip of the pen.
constexpr double shortestRequestSeconds = 0.001;

class document_checker {
public:
    explicit document_checker(const document& whole)
        : m_document(whole)
    {
    }

    std::vector<document_fault> run()
    {
        checkOperators();
        for (const auto& [id, team] : m_document.teams)
            checkTeam(team);
        for (const auto& [id, pool] : m_document.pools)
            checkPool(pool);
        return std::move(m_faults);
    }

private:
    void report(std::string path, std::string message)
    {
        m_faults.push_back({ std::move(path), std::move(message) });
    }

    /// Reports `value` if another field had it before.
    void checkOnce(std::map<std::string, std::string>& seen, const std::string& value,
        const std::string& path, const std::string& what)
    {
        const auto [entry, isNew] = seen.emplace(value, path);
        if (!isNew)
            report(path, what + " \"" + value + "\" is used by " + entry->second + " too");
    }

    void checkKeys(const std::vector<std::string>& hashes, const std::string& path)
    {
        if (hashes.empty())
            report(path, "expected at least one key");
        for (std::size_t i = 0; i < hashes.size(); ++i)
            checkOnce(m_keys, hashes[i], path + '[' + std::to_string(i) + ']', "the key");
    }

    void checkOperators()
    {
        for (const auto& [name, entry] : m_document.operators)
            checkKeys(entry.keyHashes, "operators." + name + ".key_sha256");
        const bool hasAdministrator = std::ranges::any_of(
            m_document.operators, [](const auto& entry) { return entry.second.owns.contains("*"); });
        if (!hasAdministrator)
            report("operators", "expected an operator that owns \"*\", else nobody could edit this section");
    }

    void checkTeam(const calling_team& team)
    {
        const std::string path = "teams." + team.id.str();
        checkKeys(team.keyHashes, path + ".key_sha256");
        for (const utils::pool_id& pool : team.uses) {
            if (!m_document.pools.contains(pool))
                report(path + ".uses", "there is no pool \"" + pool.str() + '"');
        }
        const team_limits& limits = team.limits;
        const bool hasBoth = limits.concurrent > 0 && limits.requestsPerSecond > 0;
        if (hasBoth && limits.concurrent < limits.requestsPerSecond * shortestRequestSeconds)
            report(path + ".limits",
                "requests_per_second and concurrent cannot hold together: each request would have to end "
                "within a millisecond");
    }

    void checkPool(const server_pool& pool)
    {
        const std::string path = "pools." + pool.id.str();
        for (const utils::team_id& team : pool.approved) {
            if (!m_document.teams.contains(team))
                report(path + ".approved", "there is no team \"" + team.str() + '"');
        }
        for (std::size_t i = 0; i < pool.models.size(); ++i)
            checkOnce(m_models, pool.models[i], path + ".models[" + std::to_string(i) + ']', "the model");
        checkKind(pool, path);
        checkServers(pool, path);
        checkRoutes(pool, path);
    }

    void checkKind(const server_pool& pool, const std::string& path)
    {
        const bool isEngines = pool.kind == pool_kind::ModelEngines;
        if (isEngines && pool.models.empty())
            report(path, "expected `models`, for the pool is of kind model_engines");
        if (isEngines && !pool.routes.empty())
            report(path + ".routes", "a pool of kind model_engines has no routes");
        if (!isEngines && pool.routes.empty())
            report(path, "expected `routes`, for the pool is of kind plain_service");
        if (!isEngines && !pool.models.empty())
            report(path + ".models", "a pool of kind plain_service has no models");
    }

    void checkServers(const server_pool& pool, const std::string& path)
    {
        for (const backend_server& server : pool.servers) {
            const std::string serverPath = path + ".servers." + server.id.str();
            checkOnce(m_servers, server.id.str(), serverPath, "the server name");
            checkOnce(m_addresses, server.address, serverPath + ".address", "the address");
        }
    }

    void checkRoutes(const server_pool& pool, const std::string& path)
    {
        for (std::size_t i = 0; i < pool.routes.size(); ++i) {
            const std::string routePath = path + ".routes[" + std::to_string(i) + ']';
            checkOnce(m_routes, pool.routes[i].path, routePath + ".path", "the path");
            if (pool.routes[i].path.starts_with("/v1/"))
                report(routePath + ".path", "paths under /v1/ are the fleet's own");
        }
    }

    const document& m_document;
    std::vector<document_fault> m_faults;
    std::map<std::string, std::string> m_keys;
    std::map<std::string, std::string> m_models;
    std::map<std::string, std::string> m_servers;
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, std::string> m_routes;
};

} // namespace

std::vector<document_fault> checkDocument(const document& whole)
{
    return document_checker(whole).run();
}

} // namespace config
