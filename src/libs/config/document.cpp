#include "document.h"

#include "utils/crypto.h"

#include <algorithm>

namespace config {

namespace {

template <class Entry> const Entry* findByKeyHash(const auto& entries, std::string_view hash)
{
    const Entry* found = nullptr;
    for (const auto& [id, entry] : entries) {
        for (const std::string& own : entry.keyHashes) {
            if (utils::equalConstantTime(own, hash))
                found = &entry;
        }
    }
    return found;
}

bool isPrefixAtBorder(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/'
        || path[prefix.size()] == '?';
}

} // namespace

bool document::isApproved(const utils::team_id& team, const utils::pool_id& pool) const
{
    const auto teamEntry = teams.find(team);
    const auto poolEntry = pools.find(pool);
    if (teamEntry == teams.end() || poolEntry == pools.end())
        return false;
    return teamEntry->second.uses.contains(pool) && poolEntry->second.approved.contains(team);
}

const backend_server* document::findServer(const utils::pool_id& pool, const utils::server_id& server) const
{
    const auto entry = pools.find(pool);
    if (entry == pools.end())
        return nullptr;
    const auto& servers = entry->second.servers;
    const auto found = std::ranges::find(servers, server, &backend_server::id);
    return found == servers.end() ? nullptr : &*found;
}

void document::indexKeys()
{
    auto index = std::make_shared<key_owners>();
    for (const auto& [id, team] : teams) {
        for (const std::string& hash : team.keyHashes)
            index->emplace(hash, id);
    }
    keyIndex = std::move(index);
}

const calling_team* document::teamByKeyHash(std::string_view hash) const
{
    if (!keyIndex)
        return findByKeyHash<calling_team>(teams, hash);
    // Where a digest stands in the index tells a caller nothing about a key: it cannot choose the digest of
    // what it sends. The digests themselves are compared in constant time as without the index.
    const auto owner = keyIndex->find(std::string(hash));
    if (owner == keyIndex->end() || !utils::equalConstantTime(owner->first, hash))
        return nullptr;
    const auto team = teams.find(owner->second);
    return team == teams.end() ? nullptr : &team->second;
}

const operator_entry* document::operatorByKeyHash(std::string_view hash) const
{
    return findByKeyHash<operator_entry>(operators, hash);
}

const server_pool* document::poolForModel(std::string_view model) const
{
    for (const auto& [id, pool] : pools) {
        if (std::ranges::find(pool.models, model) != pool.models.end())
            return &pool;
    }
    return nullptr;
}

document::route_match document::routeFor(std::string_view path) const
{
    route_match best;
    for (const auto& [id, pool] : pools) {
        for (const service_route& route : pool.routes) {
            const bool isLonger = best.route == nullptr || route.path.size() > best.route->path.size();
            if (isLonger && isPrefixAtBorder(route.path, path))
                best = { &pool, &route };
        }
    }
    return best;
}

bool mayEdit(const operator_entry& who, std::string_view owner)
{
    return who.owns.contains("*") || who.owns.contains(std::string(owner));
}

} // namespace config
