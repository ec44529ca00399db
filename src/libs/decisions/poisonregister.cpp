#include "poisonregister.h"

#include "utils/crypto.h"

#include <algorithm>
#include <set>

namespace decisions {

namespace {

std::uint64_t readBigEndian(const utils::sha256_digest& digest, std::size_t from)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
        value = (value << 8) | digest.at(from + i);
    return value;
}

} // namespace

body_digest digestOf(std::string_view body)
{
    const utils::sha256_digest digest = utils::sha256(body);
    return { readBigEndian(digest, 0), readBigEndian(digest, sizeof(std::uint64_t)) };
}

poison_register::poison_register(const poison_limits& limits)
    : m_limits(limits)
{
}

void poison_register::crashed(
    std::uint64_t crash, const std::vector<body_digest>& inFlight, utils::time_point now, bool isExclusive)
{
    const bool wasAlone = isExclusive && inFlight.size() == 1;
    for (const body_digest& digest : inFlight)
        add({ digest, crash }, { wasAlone, false, now + m_limits.lifetime });
}

void poison_register::completed(const body_digest& digest, utils::time_point now)
{
    for (auto it = m_strikes.lower_bound({ digest, 0 }); it != m_strikes.end(); ++it) {
        if (it->first.digest != digest)
            break;
        if (!it->second.wasAlone && now < it->second.expiresAt)
            it->second.isCleared = true;
    }
}

poison_verdict poison_register::check(const body_digest& digest, utils::time_point now) const
{
    unsigned crashes = 0;
    bool wasAlone = false;
    const strike_state* last = nullptr;
    for (auto it = m_strikes.lower_bound({ digest, 0 }); it != m_strikes.end(); ++it) {
        if (it->first.digest != digest)
            break;
        if (it->second.isCleared || now >= it->second.expiresAt)
            continue;
        ++crashes;
        wasAlone = wasAlone || it->second.wasAlone;
        last = &it->second;
    }
    if (crashes == 0)
        return poison_verdict::Run;
    if (wasAlone && crashes >= m_limits.crashes)
        return poison_verdict::Refuse;
    if (m_limits.sharedCrashes > 0 && crashes >= m_limits.sharedCrashes)
        return poison_verdict::Refuse;
    const bool isMassFailureOnly = crashes == 1 && !wasAlone && isInMassFailure(*last);
    return isMassFailureOnly ? poison_verdict::Run : poison_verdict::RunAlone;
}

utils::duration poison_register::refusedFor(const body_digest& digest, utils::time_point now) const
{
    utils::duration longest {};
    for (auto it = m_strikes.lower_bound({ digest, 0 }); it != m_strikes.end(); ++it) {
        if (it->first.digest != digest)
            break;
        longest = std::max(longest, it->second.expiresAt - now);
    }
    return longest;
}

std::vector<poison_strike> poison_register::strikes(utils::time_point now, std::size_t limit) const
{
    std::vector<poison_strike> result;
    for (const auto& [key, strike] : m_strikes) {
        if (now < strike.expiresAt)
            result.push_back(
                { key.digest, key.crash, strike.wasAlone, strike.isCleared, strike.expiresAt - now });
    }
    std::ranges::sort(result, std::greater<> {}, &poison_strike::remaining);
    if (result.size() > limit)
        result.resize(limit);
    return result;
}

void poison_register::merge(const std::vector<poison_strike>& strikes, utils::time_point now)
{
    for (const poison_strike& strike : strikes) {
        if (strike.remaining <= utils::duration::zero())
            continue;
        const utils::duration remaining = std::min(strike.remaining, m_limits.lifetime);
        add({ strike.digest, strike.crash }, { strike.wasAlone, strike.isCleared, now + remaining });
    }
}

void poison_register::expire(utils::time_point now)
{
    std::erase_if(
        m_strikes, [&](const auto& strike) { return now >= strike.second.expiresAt + m_limits.lifetime; });
}

void poison_register::add(const strike_key& key, const strike_state& strike)
{
    const auto [known, isNew] = m_strikes.try_emplace(key, strike);
    if (isNew) {
        dropOldest();
        return;
    }
    known->second.wasAlone = known->second.wasAlone || strike.wasAlone;
    known->second.isCleared = known->second.isCleared || strike.isCleared;
    known->second.expiresAt = std::min(known->second.expiresAt, strike.expiresAt);
}

void poison_register::dropOldest()
{
    if (m_strikes.size() <= m_limits.maxStrikes)
        return;
    m_strikes.erase(
        std::ranges::min_element(m_strikes, {}, [](const auto& strike) { return strike.second.expiresAt; }));
}

bool poison_register::isInMassFailure(const strike_state& strike) const
{
    std::set<std::uint64_t> crashes;
    for (const auto& [key, other] : m_strikes) {
        const utils::duration apart = std::chrono::abs(other.expiresAt - strike.expiresAt);
        if (apart <= m_limits.massFailureWindow)
            crashes.insert(key.crash);
    }
    return crashes.size() >= m_limits.massFailureCrashes;
}

} // namespace decisions
