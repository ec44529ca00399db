#include "serverdirectory.h"

#include <algorithm>
#include <set>

namespace catalogue {

void server_directory::put(
    const utils::server_id& id, std::optional<backend_server> entry, utils::time_point now)
{
    if (!entry) {
        remove(id, now);
        return;
    }
    entry_state& state = m_entries[id];
    const bool isRestart
        = state.server.startedAtMs != entry->startedAtMs || state.server.address != entry->address;
    if (isRestart)
        state.hasIdentityMismatch = false;
    // The entry may be older than this node's news of it, so this errs on the side of too long.
    state.coldUntil = now + entry->coldFor;
    if (!entry->isDraining)
        state.drainingSince.reset();
    else if (!state.server.id.isEmpty() && !state.server.isDraining && !isRestart)
        state.drainingSince = now;
    state.server = std::move(*entry);
    state.expiresAt.reset();
}

void server_directory::remove(const utils::server_id& id, utils::time_point now, bool isAuthoritative)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    if (isAuthoritative || !isSettling(now) || isDraining(id)) {
        m_entries.erase(found);
        return;
    }
    if (!found->second.expiresAt)
        found->second.expiresAt = m_isStoreReachable ? m_settledAt : utils::time_point::max();
}

void server_directory::replaceAll(
    const std::vector<backend_server>& entries, utils::time_point now, bool isAuthoritative)
{
    std::set<utils::server_id> present;
    for (const backend_server& entry : entries) {
        present.insert(entry.id);
        const auto found = m_entries.find(entry.id);
        if (found == m_entries.end() || found->second.server.revision != entry.revision
            || found->second.expiresAt)
            put(entry.id, entry, now);
    }
    std::vector<utils::server_id> missing;
    for (const auto& [id, state] : m_entries) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const utils::server_id& id : missing)
        remove(id, now, isAuthoritative);
}

void server_directory::setStoreReachable(bool isReachable, utils::time_point now)
{
    if (isReachable == m_isStoreReachable)
        return;
    m_isStoreReachable = isReachable;
    if (!isReachable)
        return;
    m_settledAt = now + m_settleTime;
    for (auto& [id, state] : m_entries) {
        if (state.expiresAt)
            state.expiresAt = m_settledAt;
    }
}

void server_directory::markIdentityMismatch(const utils::server_id& id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    found->second.hasIdentityMismatch = true;
}

bool server_directory::hasIdentityMismatch(const utils::server_id& id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.hasIdentityMismatch;
}

bool server_directory::markLeaving(
    const utils::server_id& id, std::uint64_t startedAtMs, utils::time_point now)
{
    const auto [known, isNew] = m_leaving.try_emplace(id);
    leaving_process& process = known->second;
    // The answer of a process that has ended may arrive after the next one is known.
    if (process.startedAtMs > startedAtMs)
        return false;
    process.heardAt = now;
    if (!isNew && process.startedAtMs == startedAtMs)
        return false;
    process.startedAtMs = startedAtMs;
    process.since = now;
    return true;
}

const server_directory::leaving_process* server_directory::leavingProcess(const entry_state& state) const
{
    const auto found = m_leaving.find(state.server.id);
    const bool isOfEntry = found != m_leaving.end() && found->second.startedAtMs == state.server.startedAtMs;
    return isOfEntry ? &found->second : nullptr;
}

bool server_directory::isDraining(const utils::server_id& id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end()
        && (found->second.server.isDraining || leavingProcess(found->second) != nullptr);
}

std::size_t server_directory::expire(utils::time_point now)
{
    std::erase_if(m_leaving, [&](const auto& entry) {
        return !m_entries.contains(entry.first) && now - entry.second.heardAt > leavingLifetime;
    });
    return std::erase_if(m_entries,
        [now](const auto& entry) { return entry.second.expiresAt && *entry.second.expiresAt <= now; });
}

bool server_directory::isUsable(const utils::server_id& id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && isUsable(found->second);
}

bool server_directory::isUsable(const entry_state& state) const
{
    return !state.server.isDraining && !state.hasIdentityMismatch && !isEvacuated(state.server.dataCentre)
        && leavingProcess(state) == nullptr;
}

void server_directory::setEvacuated(const std::string& dataCentre, bool isEvacuated, utils::time_point now)
{
    if (isEvacuated)
        m_evacuated.insert(dataCentre);
    else if (m_evacuated.erase(dataCentre) > 0)
        m_evacuationEndedAt[dataCentre] = now;
}

utils::time_point server_directory::coldUntil(const utils::server_id& id, utils::duration coldStart) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return {};
    const auto evacuation = m_evacuationEndedAt.find(found->second.server.dataCentre);
    if (evacuation == m_evacuationEndedAt.end())
        return found->second.coldUntil;
    return std::max(found->second.coldUntil, evacuation->second + coldStart);
}

const backend_server* server_directory::find(const utils::server_id& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.server;
}

std::vector<const backend_server*> server_directory::usable(const std::string& service) const
{
    std::vector<const backend_server*> result;
    for (const auto& [id, state] : m_entries) {
        if (state.server.service == service && isUsable(state))
            result.push_back(&state.server);
    }
    return result;
}

std::vector<const backend_server*> server_directory::present(const std::string& service) const
{
    std::vector<const backend_server*> result;
    for (const auto& [id, state] : m_entries) {
        if (state.server.service == service && !state.hasIdentityMismatch && !state.expiresAt)
            result.push_back(&state.server);
    }
    return result;
}

std::map<std::string, std::set<std::string>> server_directory::softwareVersions() const
{
    std::map<std::string, std::set<std::string>> versions;
    for (const auto& [id, state] : m_entries)
        versions[state.server.service].insert(state.server.softwareVersion);
    return versions;
}

std::optional<utils::duration> server_directory::drainingFor(
    const utils::server_id& id, utils::time_point now) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.expiresAt)
        return std::nullopt;
    const entry_state& state = found->second;
    const leaving_process* leaving = leavingProcess(state);
    if (leaving == nullptr)
        return state.drainingSince ? std::optional(now - *state.drainingSince) : std::nullopt;
    // A server that drained before this node knew it has done so for longer.
    if (state.server.isDraining && !state.drainingSince)
        return std::nullopt;
    return now - std::min(state.drainingSince.value_or(leaving->since), leaving->since);
}

std::vector<utils::server_id> server_directory::lapsed() const
{
    std::vector<utils::server_id> result;
    for (const auto& [id, state] : m_entries) {
        if (state.expiresAt)
            result.push_back(id);
    }
    return result;
}

std::size_t server_directory::usableCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_entries, [this](const auto& entry) { return isUsable(entry.second); }));
}

bool server_directory::isSettling(utils::time_point now) const
{
    return !m_isStoreReachable || now < m_settledAt;
}

utils::duration server_directory::remainingSettleTime(utils::time_point now) const
{
    return m_isStoreReachable ? std::max(utils::duration::zero(), m_settledAt - now) : m_settleTime;
}

void server_directory::extendSettling(utils::duration time, utils::time_point now)
{
    m_settledAt = std::max(m_settledAt, now + std::min(time, m_settleTime));
}

} // namespace catalogue
