#include "serverrests.h"

#include "utils/hashing.h"

#include <algorithm>
#include <array>
#include <utility>

namespace decisions {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(rest_state::Count_)> names { "none", "asked",
    "told", "recovering" };

std::uint64_t windowOf(utils::time_point time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch() / server_rests::trialWindow);
}

std::uint32_t millisecondsOf(utils::duration time)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(time).count());
}

} // namespace

std::string_view toString(rest_state state)
{
    return names.at(static_cast<std::size_t>(state));
}

server_rests::server_state* server_rests::find(const server_process& server, utils::time_point now)
{
    const auto found = m_servers.find(server.id);
    if (found == m_servers.end())
        return nullptr;
    server_state& state = found->second;
    if (state.startedAtMs == server.startedAtMs)
        return &state;
    if (state.startedAtMs > server.startedAtMs)
        return nullptr;
    if (now - std::max(state.askedAt, state.toldAt) <= entryDelay) {
        state.startedAtMs = server.startedAtMs;
        return &state;
    }
    m_servers.erase(found);
    return nullptr;
}

void server_rests::asked(const server_process& server, utils::duration length, utils::time_point now)
{
    if (length <= utils::duration::zero())
        return;
    const utils::duration rest = std::min(length, maxRest);
    server_state& state = m_servers[server.id];
    // The answer of a process that has ended may arrive after the next one is known.
    if (state.startedAtMs > server.startedAtMs)
        return;
    if (state.startedAtMs != server.startedAtMs)
        state = { server.startedAtMs };
    state.askedAt = now;
    state.askedUntil = std::max(state.askedUntil, now + rest);
    state.isRecovering = true;
    state.sentAt = {};
    // A full server asks many nodes at about the same time.
    if (state.askedUntil - state.announcedUntil < rest / 2)
        return;
    state.announcedUntil = state.askedUntil;
    m_updates.push_back({ server.id.str(), server.startedAtMs, millisecondsOf(state.askedUntil - now) });
}

void server_rests::told(const rest_update& update, utils::time_point now)
{
    const utils::server_id id(update.server);
    const auto known = m_servers.find(id);
    if (known != m_servers.end() && known->second.startedAtMs > update.startedAtMs)
        return;
    if (update.leftMs == 0 && known == m_servers.end())
        return;
    server_state& state = m_servers[id];
    if (state.startedAtMs != update.startedAtMs)
        state = { update.startedAtMs };
    if (update.leftMs == 0) {
        state.toldUntil = {};
        state.announcedUntil = {};
        return;
    }
    const utils::duration left = std::min<utils::duration>(std::chrono::milliseconds(update.leftMs), maxRest);
    const double drawn = utils::toUnitInterval(
        utils::combineHashes(utils::combineHashes(m_seed, utils::hash64(update.server)), update.leftMs));
    const double returnTime = std::min(returnShare * utils::toSeconds(left), utils::toSeconds(maxReturnTime));
    state.toldAt = now;
    state.toldUntil = std::max(state.toldUntil, now + left + utils::fromSeconds(drawn * returnTime));
    state.announcedUntil = std::max(state.announcedUntil, now + left);
}

void server_rests::sent(const server_process& server, utils::time_point now)
{
    if (server_state* state = find(server, now))
        state->sentAt = now;
}

void server_rests::taken(const server_process& server, utils::time_point sentAt, utils::time_point now)
{
    server_state* state = find(server, now);
    if (state == nullptr)
        return;
    if (sentAt >= state->askedUntil)
        state->isRecovering = false;
    if (state->toldUntil <= now || sentAt < state->toldAt)
        return;
    state->toldUntil = {};
    state->announcedUntil = {};
    m_updates.push_back({ server.id.str(), server.startedAtMs, 0 });
}

rest_state server_rests::stateOf(const server_process& server, utils::time_point now)
{
    const server_state* state = find(server, now);
    if (state == nullptr)
        return rest_state::None;
    if (state->askedUntil > now)
        return rest_state::Asked;
    if (state->toldUntil > now)
        return rest_state::Told;
    return state->isRecovering ? rest_state::Recovering : rest_state::None;
}

std::optional<utils::time_point> server_rests::askedUntil(const server_process& server, utils::time_point now)
{
    const server_state* state = find(server, now);
    if (state == nullptr || state->askedUntil <= now)
        return std::nullopt;
    return state->askedUntil;
}

bool server_rests::isAvoided(const server_process& server, utils::time_point now)
{
    const server_state* state = find(server, now);
    if (state == nullptr)
        return false;
    if (state->askedUntil > now)
        return true;
    if (state->toldUntil > now)
        return !isTrying(server.id, *state, now);
    const bool isTried = state->sentAt >= state->askedUntil && now - state->sentAt < trialTimeout;
    return state->isRecovering && isTried;
}

bool server_rests::isTrying(
    const utils::server_id& server, const server_state& state, utils::time_point now) const
{
    const bool hasTried = state.sentAt > state.toldAt && windowOf(state.sentAt) == windowOf(now);
    if (m_nodes == 0 || hasTried)
        return false;
    const std::uint64_t key = utils::combineHashes(m_seed, utils::hash64(server.str()));
    return utils::toUnitInterval(utils::combineHashes(key, windowOf(now))) * static_cast<double>(m_nodes) < 1;
}

std::size_t server_rests::askedCount(utils::time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_servers, [now](const auto& entry) { return entry.second.askedUntil > now; }));
}

std::vector<rest_update> server_rests::takeUpdates()
{
    return std::exchange(m_updates, {});
}

void server_rests::expire(utils::time_point now)
{
    std::erase_if(m_servers, [now](const auto& entry) {
        const server_state& state = entry.second;
        const bool isOver = state.askedUntil <= now && state.toldUntil <= now;
        const bool isRecovered = !state.isRecovering || now - state.askedUntil > recoveryLifetime;
        return isOver && isRecovered;
    });
}

} // namespace decisions
