#include "crashingparts.h"

#include "utils/hashing.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <tuple>

namespace decisions {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(part_verdict::Count_)> verdictNames { "sound",
    "suspect", "on_trial", "crashing" };

constexpr std::uint64_t wholeRequestBit = std::uint64_t { 1 } << 63U;

std::uint32_t shortHash(std::uint64_t hash)
{
    constexpr unsigned half = 32;
    return static_cast<std::uint32_t>(hash ^ (hash >> half));
}

} // namespace

std::string_view toString(part_verdict verdict)
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

crash_key crashKey(std::string_view server, std::uint64_t startedAtMs)
{
    return shortHash(utils::combineHashes(utils::hash64(server), startedAtMs));
}

std::uint32_t serviceKey(std::string_view service)
{
    return shortHash(utils::hash64(service));
}

std::vector<prompt_part> suspectsOf(std::span<const prompt_part> sharedParts, const body_digest& request)
{
    const auto parts = sharedParts.first(std::min(sharedParts.size(), maxSuspects - 1));
    std::vector<prompt_part> suspects(parts.begin(), parts.end());
    // The uppermost bit tells the two apart, so that nobody can make up a part that stands for a request.
    for (prompt_part& part : suspects)
        part.id &= ~wholeRequestBit;
    suspects.push_back({ request.high | wholeRequestBit, 0 });
    return suspects;
}

bool isWholeRequest(std::uint64_t suspect)
{
    return (suspect & wholeRequestBit) != 0;
}

std::string crashing_parts::encodeRecord(const record_map& parts)
{
    std::ostringstream text;
    for (const auto& [part, recorded] : parts)
        text << std::hex << part << ' ' << recorded.companion << ' ' << std::dec << recorded.level << '\n';
    return std::move(text).str();
}

crashing_parts::record_map crashing_parts::decodeRecord(std::string_view text)
{
    record_map parts;
    std::istringstream lines { std::string(text) };
    for (std::string line; std::getline(lines, line);) {
        std::istringstream fields(line);
        std::uint64_t part = 0;
        recorded_part recorded;
        std::string rest;
        if (fields >> std::hex >> part >> recorded.companion >> std::dec >> recorded.level
            && !(fields >> rest))
            parts[part] = recorded;
    }
    return parts;
}

unsigned crashing_parts::crashed(std::uint32_t service, std::span<const prompt_part> parts, crash_key crash,
    utils::time_point sentAt, utils::time_point now)
{
    unsigned highest = 0;
    const std::span<const prompt_part> prompt = considered(parts);
    std::vector<std::uint64_t> companions;
    for (const prompt_part& part : prompt)
        companions.push_back(companionOf(part.id, prompt, now));
    for (std::size_t i = 0; i < prompt.size(); ++i) {
        const prompt_part& part = prompt[i];
        const unsigned level = std::min(levelBefore(part.id, { crash, prompt, sentAt }, now) + 1, maxLevel);
        highest = std::max(highest, level);
        const strike_key key { part.id, crash, static_cast<std::uint8_t>(level) };
        const strike_state strike { service, companions[i], now, now, isAnsweredSince(part.id, service, now),
            true, newsRepeats, sentAt };
        strike_state& recorded = m_strikes.try_emplace(key, strike).first->second;
        recorded.isOwn = true;
        recorded.sentAt = std::max(recorded.sentAt, sentAt);
        relink(part.id, now);
    }
    m_hasNews = true;
    dropLeast();
    return highest;
}

unsigned crashing_parts::answered(std::uint32_t service, std::span<const prompt_part> parts,
    utils::time_point beganAt, utils::time_point now)
{
    unsigned highest = 0;
    for (const prompt_part& part : considered(parts)) {
        m_answered.record(utils::combineHashes(part.id, service), beganAt, now);
        for (auto it = m_strikes.lower_bound({ part.id, 0, 0 });
             it != m_strikes.end() && it->first.part == part.id; ++it) {
            strike_state& strike = it->second;
            const bool isOfService = strike.service == service || strike.service == anyService;
            if (strike.isCleared || !isOfService || strike.learnedAt >= beganAt)
                continue;
            strike.isCleared = true;
            strike.sendsLeft = newsRepeats;
            m_hasNews = true;
            highest = std::max<unsigned>(highest, it->first.level);
        }
    }
    return highest;
}

part_finding crashing_parts::check(std::span<const prompt_part> parts, utils::time_point now) const
{
    part_finding worst;
    if (m_strikes.empty())
        return worst;
    const std::span<const prompt_part> prompt = considered(parts);
    for (const prompt_part& part : prompt) {
        const part_finding finding = findingOn(part.id, prompt, now);
        if (std::tuple(finding.verdict, finding.level, !finding.isKnown)
            > std::tuple(worst.verdict, worst.level, !worst.isKnown))
            worst = finding;
    }
    return worst;
}

std::vector<part_strike> crashing_parts::takeNews(std::size_t limit, utils::time_point now)
{
    if (!m_hasNews)
        return {};
    std::vector<strike_map::iterator> news;
    for (auto it = m_strikes.begin(); it != m_strikes.end(); ++it) {
        if (it->second.sendsLeft > 0)
            news.push_back(it);
    }
    const auto rank
        = [](const auto& it) { return std::tuple(it->first.level, it->second.sendsLeft, it->second.at); };
    m_hasNews = !news.empty();
    const std::size_t count = std::min(limit, news.size());
    std::ranges::partial_sort(
        news, news.begin() + static_cast<std::ptrdiff_t>(count), std::greater<> {}, rank);
    news.resize(count);
    std::vector<part_strike> strikes;
    for (const auto& it : news) {
        --it->second.sendsLeft;
        strikes.push_back(toMessage(it->first, it->second, now));
    }
    return strikes;
}

std::vector<part_strike> crashing_parts::standing(std::size_t limit, utils::time_point now) const
{
    std::vector<part_strike> strikes;
    for (const auto& [key, strike] : m_strikes) {
        if (key.level >= m_limits.suspectLevel && !strike.isCleared)
            strikes.push_back(toMessage(key, strike, now));
    }
    std::ranges::stable_sort(strikes, std::greater<> {}, &part_strike::level);
    if (strikes.size() > limit)
        strikes.resize(limit);
    return strikes;
}

void crashing_parts::merge(std::span<const part_strike> strikes, utils::time_point now)
{
    for (const part_strike& received : strikes) {
        if (received.level == 0 || received.level > maxLevel)
            continue;
        const strike_key key { received.part, received.crash, received.level };
        const strike_state strike { received.service, received.companion,
            now - std::chrono::milliseconds(received.ageMs), now, received.isCleared, false, newsRepeats };
        if (now >= expiryOf(key, strike))
            continue;
        const auto [known, isNew] = m_strikes.try_emplace(key, strike);
        if (isNew) {
            // The news may come later than an answer that began after the crash.
            known->second.isCleared
                = received.isCleared || isAnsweredSince(received.part, received.service, strike.at);
            m_hasNews = true;
            relink(received.part, now);
            continue;
        }
        if (received.isCleared && !known->second.isCleared) {
            known->second.isCleared = true;
            known->second.sendsLeft = newsRepeats;
            m_hasNews = true;
        } else if (known->second.isCleared && !received.isCleared) {
            known->second.sendsLeft = std::max(known->second.sendsLeft, 1U);
            m_hasNews = true;
        }
    }
    dropLeast();
}

void crashing_parts::expire(utils::time_point now)
{
    std::erase_if(m_strikes, [&](const auto& entry) { return now >= expiryOf(entry.first, entry.second); });
    m_answered.expire(now);
    if (m_strikes.empty() || now - m_repeatedAt < convictionRepeatInterval)
        return;
    m_repeatedAt = now;
    for (auto& [key, strike] : m_strikes) {
        if (key.level < m_limits.crashingLevel || strike.isCleared)
            continue;
        strike.sendsLeft = std::max(strike.sendsLeft, 1U);
        m_hasNews = true;
    }
}

void crashing_parts::applyRecord(
    const std::optional<std::string>& record, std::uint64_t revision, utils::time_point now)
{
    if (revision <= m_revision)
        return;
    m_revision = revision;
    m_hasRecord = record.has_value();
    m_record = decodeRecord(record.value_or(std::string()));
    for (const auto& [part, recorded] : m_record) {
        const unsigned level = std::clamp(recorded.level, m_limits.crashingLevel, maxLevel);
        // What is known here at that level is newer: the record is written from it.
        const auto isOfLevel = [&, id = part](const auto& entry) {
            return entry.first.part == id && entry.first.level >= m_limits.crashingLevel;
        };
        if (std::any_of(firstOf(part), m_strikes.cend(), isOfLevel))
            continue;
        m_strikes[{ part, recordedCrash, static_cast<std::uint8_t>(level) }]
            = { anyService, recorded.companion, now, now, false, false, 0 };
    }
    dropLeast();
}

std::optional<std::string> crashing_parts::missingRecord(utils::time_point now) const
{
    const record_map parts = recordedParts(now);
    // Nodes may know different levels and companions of a part; they must not overwrite each other for that.
    const auto partOf = [](const auto& entry) { return entry.first; };
    const bool hasSameParts = std::ranges::equal(parts, m_record, {}, partOf, partOf);
    return hasSameParts ? std::nullopt : std::optional(encodeRecord(parts));
}

std::size_t crashing_parts::refused(utils::time_point now) const
{
    return recordedParts(now).size();
}

crashing_parts::record_map crashing_parts::recordedParts(utils::time_point now) const
{
    record_map parts;
    for (const auto& [key, strike] : m_strikes) {
        if (key.level < m_limits.crashingLevel || strike.isCleared || now >= expiryOf(key, strike))
            continue;
        recorded_part& recorded = parts[key.part];
        if (key.level > recorded.level)
            recorded = { key.level, strike.companion };
    }
    return parts;
}

unsigned crashing_parts::levelOf(std::uint64_t part, utils::time_point now) const
{
    unsigned level = 0;
    for (auto it = firstOf(part); it != m_strikes.end() && it->first.part == part; ++it) {
        if (!it->second.isCleared && now < expiryOf(it->first, it->second))
            level = std::max<unsigned>(level, it->first.level);
    }
    return level;
}

std::uint64_t crashing_parts::companionOf(
    std::uint64_t part, std::span<const prompt_part> prompt, utils::time_point now) const
{
    std::uint64_t companion = 0;
    unsigned highest = 0;
    for (const prompt_part& other : prompt) {
        const unsigned level = levelOf(other.id, now);
        if (other.id == part || (companion != 0 && level <= highest))
            continue;
        companion = other.id;
        highest = level;
    }
    return companion;
}

bool crashing_parts::isExplained(
    std::uint64_t companion, std::span<const prompt_part> prompt, utils::time_point now) const
{
    return companion != 0 && levelOf(companion, now) >= m_limits.crashingLevel
        && std::ranges::find(prompt, companion, &prompt_part::id) == prompt.end();
}

unsigned crashing_parts::levelBefore(
    std::uint64_t part, const crash_context& crash, utils::time_point now) const
{
    unsigned level = 0;
    for (auto it = firstOf(part); it != m_strikes.end() && it->first.part == part; ++it) {
        const auto& [key, strike] = *it;
        const bool isSameCrash = key.crash == crash.crash && now - strike.learnedAt < sameCrashWindow;
        if (!strike.isCleared && strike.at <= crash.sentAt && !isSameCrash
            && !isExcused(part, strike, crash.prompt, now))
            level = std::max<unsigned>(level, key.level);
    }
    return level;
}

void crashing_parts::relink(std::uint64_t part, utils::time_point now)
{
    std::vector<std::pair<strike_key, strike_state>> links;
    for (auto it = firstOf(part); it != m_strikes.end() && it->first.part == part; ++it) {
        if (it->second.isOwn && !it->second.isCleared && now < expiryOf(it->first, it->second))
            links.emplace_back(it->first, it->second);
    }
    // In the order of the crashes: each may become the link that the next one hangs on.
    std::ranges::sort(links, {}, [](const auto& link) { return link.second.at; });
    for (auto& [key, strike] : links) {
        const unsigned level = levelBefore(part, { key.crash, {}, strike.sentAt }, now) + 1;
        if (level <= key.level || level > maxLevel)
            continue;
        m_strikes.erase(key);
        key.level = static_cast<std::uint8_t>(level);
        strike.sendsLeft = newsRepeats;
        m_strikes.try_emplace(key, strike);
        m_hasNews = true;
    }
}

bool crashing_parts::isAnsweredSince(std::uint64_t part, std::uint32_t service, utils::time_point since) const
{
    const auto answered = m_answered.find(utils::combineHashes(part, service));
    return answered && *answered > since;
}

part_finding crashing_parts::findingOn(
    std::uint64_t part, std::span<const prompt_part> prompt, utils::time_point now) const
{
    part_finding finding;
    finding.part = part;
    unsigned excusedLevel = 0;
    const strike_state* last = nullptr; // of the highest level
    for (auto it = firstOf(part); it != m_strikes.end() && it->first.part == part; ++it) {
        const auto& [key, strike] = *it;
        if (strike.isCleared || now >= expiryOf(key, strike))
            continue;
        if (isExcused(part, strike, prompt, now)) {
            excusedLevel = std::max<unsigned>(excusedLevel, key.level);
        } else if (key.level > finding.level || (key.level == finding.level && strike.at > last->at)) {
            finding.level = key.level;
            last = &strike;
        }
    }
    if (last != nullptr) {
        finding.age = now - last->at;
        finding.isOwn = last->isOwn;
        finding.isKnown = isKnown(part, last->service, now);
    }
    const unsigned crashingLevel = finding.isKnown ? m_limits.crashingLevelOfKnown : m_limits.crashingLevel;
    if (finding.level >= crashingLevel) {
        const utils::duration term = termOf(part, finding.isKnown, now);
        finding.verdict = finding.age < term ? part_verdict::Crashing : part_verdict::OnTrial;
        finding.termOverFor = std::max(utils::duration::zero(), finding.age - term);
    } else if (std::max(finding.level, excusedLevel) >= m_limits.suspectLevel) {
        finding.level = std::max(finding.level, excusedLevel);
        finding.verdict = part_verdict::Suspect;
    }
    return finding;
}

bool crashing_parts::isExcused(std::uint64_t part, const strike_state& strike,
    std::span<const prompt_part> prompt, utils::time_point now) const
{
    return isKnown(part, strike.service, now) && isExplained(strike.companion, prompt, now);
}

bool crashing_parts::isKnown(std::uint64_t part, std::uint32_t service, utils::time_point now) const
{
    return m_answered.isRecent(utils::combineHashes(part, service), now);
}

utils::duration crashing_parts::termOf(std::uint64_t part, bool isKnown, utils::time_point now) const
{
    std::vector<utils::time_point> crashes;
    for (auto it = firstOf(part); it != m_strikes.end() && it->first.part == part; ++it) {
        if (it->first.level >= m_limits.crashingLevel && !it->second.isCleared
            && now < expiryOf(it->first, it->second))
            crashes.push_back(it->second.at);
    }
    std::ranges::sort(crashes);
    const utils::duration firstTerm
        = isWholeRequest(part) && isKnown ? m_limits.firstTermOfKnown : m_limits.firstTerm;
    utils::duration term = firstTerm;
    for (std::size_t i = 1; i < crashes.size(); ++i) {
        const bool isTrial = crashes[i] - crashes[i - 1] >= firstTerm;
        if (isTrial && term < m_limits.convictionLifetime)
            term *= m_limits.termGrowth;
    }
    return term;
}

utils::time_point crashing_parts::expiryOf(const strike_key& key, const strike_state& strike) const
{
    const bool isConviction = key.level >= m_limits.crashingLevel;
    return strike.at + (isConviction ? m_limits.convictionLifetime : m_limits.lifetime);
}

part_strike crashing_parts::toMessage(
    const strike_key& key, const strike_state& strike, utils::time_point now) const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - strike.at);
    return { key.part, key.crash, strike.service, key.level, strike.companion, strike.isCleared,
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count())) };
}

void crashing_parts::dropLeast()
{
    if (m_strikes.size() <= m_limits.maxStrikes)
        return;
    const auto worth = [](const strike_map::iterator& it) {
        return std::tuple(!it->second.isCleared, it->first.level, it->second.at);
    };
    std::vector<strike_map::iterator> strikes;
    for (auto it = m_strikes.begin(); it != m_strikes.end(); ++it)
        strikes.push_back(it);
    const auto firstDropped = strikes.begin() + static_cast<std::ptrdiff_t>(m_limits.maxStrikes);
    std::ranges::nth_element(strikes, firstDropped, std::greater<> {}, worth);
    std::for_each(firstDropped, strikes.end(), [this](const auto& it) { m_strikes.erase(it); });
}

} // namespace decisions
