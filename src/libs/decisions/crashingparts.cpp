#include "crashingparts.h"

#include "utils/hashing.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace decisions {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(part_verdict::Count_)> verdictNames { "sound",
    "suspect", "on_trial", "crashing" };
constexpr utils::duration maxTerm = std::chrono::hours(24);
constexpr int hexadecimal = 16;

std::uint32_t shortHash(std::uint64_t hash)
{
    constexpr unsigned half = 32;
    return static_cast<std::uint32_t>(hash ^ (hash >> half));
}

/// One line of a record: the part in hexadecimal, and its level.
std::string encodeLine(std::uint64_t part, unsigned level)
{
    std::array<char, 2 * sizeof part> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), part, hexadecimal).ptr;
    return std::string(digits.data(), end) + ' ' + std::to_string(level) + '\n';
}

/// The parts of a record with their levels. Lines that cannot be read are skipped.
std::map<std::uint64_t, unsigned> decodeRecord(std::string_view text)
{
    std::map<std::uint64_t, unsigned> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const char* const last = line.data() + line.size();
        std::uint64_t part = 0;
        unsigned level = 0;
        const auto [partEnd, partFault] = std::from_chars(line.data(), last, part, hexadecimal);
        if (partFault != std::errc() || partEnd == last || *partEnd != ' ')
            continue;
        const auto [levelEnd, levelFault] = std::from_chars(partEnd + 1, last, level);
        if (levelFault == std::errc() && levelEnd == last)
            parts[part] = level;
    }
    return parts;
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

unsigned crashing_parts::crashed(std::uint32_t service, std::span<const prompt_part> parts, crash_key crash,
    utils::time_point sentAt, utils::time_point now)
{
    unsigned highest = 0;
    for (const prompt_part& part : considered(parts)) {
        const unsigned level = std::min(levelBefore(part.id, crash, sentAt, now) + 1, maxLevel);
        highest = std::max(highest, level);
        const strike_key key { part.id, crash, static_cast<std::uint8_t>(level) };
        const strike_state strike { service, now, now, false, true, newsRepeats };
        m_strikes.try_emplace(key, strike).first->second.isOwn = true;
    }
    dropLeast();
    return highest;
}

unsigned crashing_parts::answered(std::uint32_t service, std::span<const prompt_part> parts,
    utils::time_point beganAt, utils::time_point now)
{
    unsigned highest = 0;
    for (const prompt_part& part : considered(parts)) {
        const std::uint64_t answer = utils::combineHashes(part.id, service);
        if (m_answered.size() < m_limits.maxAnswered || m_answered.contains(answer))
            m_answered[answer] = now;
        for (auto it = m_strikes.lower_bound({ part.id, 0, 0 });
             it != m_strikes.end() && it->first.part == part.id; ++it) {
            strike_state& strike = it->second;
            const bool isOfService = strike.service == service || strike.service == anyService;
            if (strike.isCleared || !isOfService || strike.learnedAt >= beganAt)
                continue;
            strike.isCleared = true;
            strike.sendsLeft = newsRepeats;
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
    for (const prompt_part& part : considered(parts)) {
        const part_finding finding = findingOn(part.id, now);
        const bool isWorse = finding.verdict > worst.verdict
            || (finding.verdict == worst.verdict && finding.level > worst.level);
        if (isWorse)
            worst = finding;
    }
    return worst;
}

std::vector<part_strike> crashing_parts::takeNews(std::size_t limit, utils::time_point now)
{
    std::vector<strike_map::iterator> news;
    for (auto it = m_strikes.begin(); it != m_strikes.end(); ++it) {
        if (it->second.sendsLeft > 0)
            news.push_back(it);
    }
    std::ranges::sort(news, [](const auto& a, const auto& b) {
        return std::pair(a->first.level, a->second.at) > std::pair(b->first.level, b->second.at);
    });
    if (news.size() > limit)
        news.resize(limit);
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
        const strike_state strike { received.service, now - std::chrono::milliseconds(received.ageMs), now,
            received.isCleared, false, newsRepeats };
        if (now >= expiryOf(key, strike))
            continue;
        const auto [known, isNew] = m_strikes.try_emplace(key, strike);
        if (isNew)
            continue;
        if (received.isCleared && !known->second.isCleared) {
            known->second.isCleared = true;
            known->second.sendsLeft = newsRepeats;
        } else if (known->second.isCleared && !received.isCleared) {
            known->second.sendsLeft = std::max(known->second.sendsLeft, 1U);
        }
    }
    dropLeast();
}

void crashing_parts::expire(utils::time_point now)
{
    std::erase_if(m_strikes, [&](const auto& entry) { return now >= expiryOf(entry.first, entry.second); });
    std::erase_if(m_answered, [&](const auto& entry) { return now - entry.second > m_limits.memory; });
    if (m_strikes.empty() || now - m_repeatedAt < convictionRepeatInterval)
        return;
    m_repeatedAt = now;
    for (auto& [key, strike] : m_strikes) {
        if (key.level >= m_limits.crashingLevel && !strike.isCleared)
            strike.sendsLeft = std::max(strike.sendsLeft, 1U);
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
    for (const auto& [part, recordedLevel] : m_record) {
        const unsigned level = std::clamp(recordedLevel, m_limits.crashingLevel, maxLevel);
        // What is known here at that level is newer: the record is written from it.
        const auto isOfLevel = [&, id = part](const auto& entry) {
            return entry.first.part == id && entry.first.level >= m_limits.crashingLevel;
        };
        if (std::any_of(firstOf(part), m_strikes.cend(), isOfLevel))
            continue;
        m_strikes[{ part, recordedCrash, static_cast<std::uint8_t>(level) }]
            = { anyService, now, now, false, false, 0 };
    }
    dropLeast();
}

std::optional<std::string> crashing_parts::missingRecord(utils::time_point now) const
{
    const std::map<std::uint64_t, unsigned> parts = recordedParts(now);
    if (parts == m_record)
        return std::nullopt;
    std::string text;
    for (const auto& [part, level] : parts)
        text += encodeLine(part, level);
    return text;
}

std::size_t crashing_parts::refused(utils::time_point now) const
{
    return recordedParts(now).size();
}

std::map<std::uint64_t, unsigned> crashing_parts::recordedParts(utils::time_point now) const
{
    std::map<std::uint64_t, unsigned> parts;
    for (const auto& [key, strike] : m_strikes) {
        if (key.level >= m_limits.crashingLevel && !strike.isCleared && now < expiryOf(key, strike))
            parts[key.part] = std::max<unsigned>(parts[key.part], key.level);
    }
    return parts;
}

unsigned crashing_parts::levelBefore(
    std::uint64_t part, crash_key crash, utils::time_point sentAt, utils::time_point now) const
{
    unsigned level = 0;
    for (auto it = firstOf(part); it != m_strikes.end() && it->first.part == part; ++it) {
        const bool isSameCrash = it->first.crash == crash && now - it->second.learnedAt < sameCrashWindow;
        if (!it->second.isCleared && it->second.learnedAt <= sentAt && !isSameCrash)
            level = std::max<unsigned>(level, it->first.level);
    }
    return level;
}

part_finding crashing_parts::findingOn(std::uint64_t part, utils::time_point now) const
{
    part_finding finding;
    finding.part = part;
    utils::time_point at {};
    std::uint32_t service = anyService;
    for (auto it = firstOf(part); it != m_strikes.end() && it->first.part == part; ++it) {
        const auto& [key, strike] = *it;
        if (strike.isCleared || key.level < finding.level || now >= expiryOf(key, strike))
            continue;
        if (key.level == finding.level && strike.at <= at)
            continue;
        finding.level = key.level;
        finding.isOwn = strike.isOwn;
        service = strike.service;
        at = strike.at;
    }
    if (finding.level == 0)
        return finding;
    finding.age = now - at;
    const unsigned crashingLevel
        = isKnown(part, service, now) ? m_limits.crashingLevelOfKnown : m_limits.crashingLevel;
    if (finding.level >= crashingLevel) {
        const utils::duration term = termOf(finding.level);
        finding.verdict = finding.age < term ? part_verdict::Crashing : part_verdict::OnTrial;
        finding.termOverFor = std::max(utils::duration::zero(), finding.age - term);
    } else if (finding.level >= m_limits.suspectLevel) {
        finding.verdict = part_verdict::Suspect;
    }
    return finding;
}

bool crashing_parts::isKnown(std::uint64_t part, std::uint32_t service, utils::time_point now) const
{
    const auto answered = m_answered.find(utils::combineHashes(part, service));
    return answered != m_answered.end() && now - answered->second <= m_limits.memory;
}

utils::duration crashing_parts::termOf(unsigned level) const
{
    utils::duration term = m_limits.firstTerm;
    for (unsigned next = m_limits.crashingLevel; next < level && term < maxTerm; ++next)
        term *= m_limits.termGrowth;
    return std::min(term, maxTerm);
}

utils::time_point crashing_parts::expiryOf(const strike_key& key, const strike_state& strike) const
{
    const bool isConviction = key.level >= m_limits.crashingLevel;
    return strike.at + m_limits.lifetime + (isConviction ? termOf(key.level) : utils::duration::zero());
}

part_strike crashing_parts::toMessage(
    const strike_key& key, const strike_state& strike, utils::time_point now) const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - strike.at);
    return { key.part, key.crash, strike.service, key.level, strike.isCleared,
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count())) };
}

void crashing_parts::dropLeast()
{
    while (m_strikes.size() > m_limits.maxStrikes) {
        m_strikes.erase(std::ranges::min_element(
            m_strikes, {}, [](const auto& entry) { return std::pair(entry.first.level, entry.second.at); }));
    }
}

} // namespace decisions
