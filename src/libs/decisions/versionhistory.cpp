#include "versionhistory.h"

#include <algorithm>
#include <sstream>

namespace decisions {

namespace {

constexpr char separator = '\t';

bool isEncodable(const std::string& name)
{
    constexpr char firstPrintable = ' ';
    return std::ranges::none_of(name, [](char c) { return c >= 0 && c < firstPrintable; });
}

} // namespace

void version_history::applyRecord(
    std::optional<service_versions> record, std::uint64_t revision, utils::time_point now)
{
    if (revision < m_revision)
        return;
    m_revision = revision;
    m_hasRecord = record.has_value();
    m_record = std::move(record).value_or(service_versions());
    // A version that no server has here counts as missed from now on.
    for (const auto& [service, versions] : m_record) {
        for (const std::string& version : versions)
            m_seen[service].try_emplace(version, seen_version { false, now });
    }
}

void version_history::observe(const service_versions& present, utils::time_point now)
{
    for (auto& [service, versions] : m_seen) {
        const auto found = present.find(service);
        const auto recorded = m_record.find(service);
        const auto isIn = [](const service_versions& all, auto at, const std::string& version) {
            return at != all.end() && at->second.contains(version);
        };
        for (auto& [version, seen] : versions) {
            const bool isPresent = isIn(present, found, version);
            if (seen.isPresent || isPresent)
                seen.lastAt = now;
            seen.isPresent = isPresent;
        }
        std::erase_if(versions, [&](const auto& entry) {
            return !entry.second.isPresent && now - entry.second.lastAt > lifetime
                && !isIn(m_record, recorded, entry.first);
        });
    }
    for (const auto& [service, versions] : present) {
        for (const std::string& version : versions)
            m_seen[service].try_emplace(version, seen_version { true, now });
    }
}

std::set<std::string> version_history::possibleVersions(
    const std::string& service, utils::time_point now) const
{
    std::set<std::string> versions;
    if (const auto recorded = m_record.find(service); recorded != m_record.end())
        versions = recorded->second;
    if (const auto seen = m_seen.find(service); seen != m_seen.end()) {
        for (const auto& [version, state] : seen->second) {
            if (state.isPresent || now - state.lastAt <= lifetime)
                versions.insert(version);
        }
    }
    return versions;
}

std::optional<std::string> version_history::onlyVersion(
    const std::string& service, utils::time_point now) const
{
    const std::set<std::string> versions = possibleVersions(service, now);
    if (!m_record.contains(service) || versions.size() != 1)
        return std::nullopt;
    const std::string& version = *versions.begin();
    return version == unknownVersion || !isEncodable(version) ? std::nullopt : std::optional(version);
}

bool version_history::mayHaveSeveral(const std::string& service, utils::time_point now) const
{
    const std::size_t versions = possibleVersions(service, now).size();
    return versions > 1 || (versions == 1 && !m_record.contains(service));
}

bool version_history::isRecorded(const std::string& service, const std::string& version) const
{
    const auto recorded = m_record.find(service);
    return recorded != m_record.end() && recorded->second.contains(version);
}

std::optional<service_versions> version_history::missingRecord(utils::time_point now) const
{
    service_versions wanted;
    for (const auto& [service, versions] : m_seen) {
        for (const auto& [version, seen] : versions) {
            if (isEncodable(service) && isEncodable(version)
                && (seen.isPresent || now - seen.lastAt <= lifetime))
                wanted[service].insert(version);
        }
    }
    for (auto& [service, versions] : wanted) {
        if (!m_isFirstObserver && !m_record.contains(service))
            versions.emplace(unknownVersion);
    }
    if (wanted == m_record)
        return std::nullopt;
    return wanted;
}

std::string version_history::nameOf(const std::string& service, version_key version) const
{
    const auto seen = m_seen.find(service);
    if (seen == m_seen.end())
        return {};
    const auto named = std::ranges::find_if(
        seen->second, [version](const auto& entry) { return versionKey(entry.first) == version; });
    return named == seen->second.end() ? std::string() : named->first;
}

std::string encodeRecord(const service_versions& record)
{
    std::string text;
    for (const auto& [service, versions] : record) {
        for (const std::string& version : versions)
            text.append(service).append(1, separator).append(version).append(1, '\n');
    }
    return text;
}

service_versions decodeRecord(const std::string& text)
{
    service_versions record;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t at = line.find(separator);
        if (at != std::string::npos)
            record[line.substr(0, at)].insert(line.substr(at + 1));
    }
    return record;
}

} // namespace decisions
