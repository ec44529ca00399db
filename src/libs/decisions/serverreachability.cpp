#include "serverreachability.h"

#include "utils/hashing.h"

#include <algorithm>
#include <utility>

namespace decisions {

namespace {

constexpr std::size_t largeService = 4; // servers; of that many, two may be down at once

} // namespace

std::size_t server_reachability::decisiveServers(std::size_t servers)
{
    constexpr std::size_t ofLarge = 3;
    constexpr std::size_t ofSmall = 2;
    return servers >= largeService ? ofLarge : std::clamp<std::size_t>(servers, 1, ofSmall);
}

bool server_reachability::connected(
    const std::string& service, const utils::server_id& server, std::size_t servers, utils::time_point)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    service_state& state = found->second;
    state.failedAt.clear();
    if (!state.isCutOff)
        return false;
    state.accepted.insert(server);
    if (state.accepted.size() < decisiveServers(servers))
        return false;
    state.isCutOff = false;
    state.accepted.clear();
    return true;
}

bool server_reachability::failed(
    const std::string& service, const utils::server_id& server, std::size_t servers, utils::time_point now)
{
    service_state& state = m_services[service];
    state.accepted.clear();
    std::erase_if(state.failedAt, [now](const auto& entry) { return now - entry.second > evidenceLifetime; });
    state.failedAt[server] = now;
    const auto isDecisive
        = [&](const auto& entry) { return servers < largeService || state.probed.contains(entry.first); };
    const auto decisive = static_cast<std::size_t>(std::ranges::count_if(state.failedAt, isDecisive));
    if (state.isCutOff || decisive < decisiveServers(servers))
        return false;
    state.isCutOff = true;
    return true;
}

bool server_reachability::isCutOff(const std::string& service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.isCutOff;
}

std::vector<std::string> server_reachability::cutOffServices() const
{
    std::vector<std::string> services;
    for (const auto& [service, state] : m_services) {
        if (state.isCutOff)
            services.push_back(service);
    }
    return services;
}

void server_reachability::suspected(const std::string& service, const utils::server_id& server)
{
    m_services[service].suspects.insert(server);
}

bool server_reachability::needsProbes(const std::string& service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end()
        && (found->second.isCutOff || !found->second.failedAt.empty() || !found->second.suspects.empty());
}

std::vector<utils::server_id> server_reachability::nextProbes(
    const std::string& service, std::span<const utils::server_id> servers, utils::time_point now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || servers.empty())
        return {};
    service_state& state = found->second;
    const bool isInDoubt = state.isCutOff || std::ranges::any_of(state.failedAt, [now](const auto& entry) {
        return now - entry.second <= evidenceLifetime;
    });
    if ((!isInDoubt && state.suspects.empty()) || now - state.probedAt < probeInterval)
        return {};
    state.probedAt = now;
    state.probed.clear();
    const std::size_t wanted = isInDoubt ? decisiveServers(servers.size()) : 0;
    // Drawing again costs nothing; the limit ends the search where few servers are left to draw.
    constexpr std::size_t drawsPerProbe = 8;
    for (std::size_t i = 0; i < drawsPerProbe * wanted && state.probed.size() < wanted; ++i) {
        const std::uint64_t draw = utils::combineHashes(m_seed, state.draws++);
        state.probed.insert(servers[draw % servers.size()]);
    }
    std::set<utils::server_id> probes = std::exchange(state.suspects, {});
    probes.insert(state.probed.begin(), state.probed.end());
    return { probes.begin(), probes.end() };
}

} // namespace decisions
