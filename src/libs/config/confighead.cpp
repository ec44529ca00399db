#include "confighead.h"

#include "utils/crypto.h"
#include "utils/hashing.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace config {

namespace json = boost::json;

namespace {

/// 128 bits: no two texts of a fleet's life meet by chance.
constexpr std::size_t hashDigits = 32;
constexpr std::string_view noHash = "-";

std::string textField(const json::object& from, std::string_view key)
{
    const json::value* value = from.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t numberField(const json::object& from, std::string_view key)
{
    const json::value* value = from.if_contains(key);
    return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

json::object encodeRecord(const change_record& record)
{
    json::array sections;
    for (const std::string& section : record.sections)
        sections.emplace_back(section);
    return { { "id", record.id }, { "who", record.who }, { "revision", std::int64_t(record.revision) },
        { "at", record.wallSeconds }, { "sections", std::move(sections) },
        { "count", std::int64_t(record.sectionCount) } };
}

std::optional<change_record> decodeRecord(const json::value& from)
{
    const json::object* fields = from.if_object();
    if (fields == nullptr)
        return std::nullopt;
    change_record record;
    record.id = textField(*fields, "id");
    record.who = textField(*fields, "who");
    record.revision = static_cast<utils::config_revision>(numberField(*fields, "revision"));
    record.wallSeconds = numberField(*fields, "at");
    record.sectionCount = static_cast<std::size_t>(numberField(*fields, "count"));
    const json::value* sections = fields->if_contains("sections");
    if (sections == nullptr || !sections->is_array())
        return std::nullopt;
    for (const json::value& section : sections->as_array()) {
        if (!section.is_string())
            return std::nullopt;
        record.sections.emplace_back(section.as_string());
    }
    return record;
}

bool decodeBuckets(const json::object& from, config_head& into)
{
    const json::value* buckets = from.if_contains("buckets");
    if (buckets == nullptr || !buckets->is_array() || buckets->as_array().size() != bucketCount)
        return false;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        const json::value& hash = buckets->as_array()[i];
        if (!hash.is_string())
            return false;
        into.buckets.at(i) = hash.as_string();
    }
    return true;
}

bool decodeHistory(const json::object& from, config_head& into)
{
    const json::value* history = from.if_contains("history");
    if (history == nullptr || !history->is_array())
        return false;
    for (const json::value& item : history->as_array()) {
        std::optional<change_record> record = decodeRecord(item);
        if (!record)
            return false;
        into.history.push_back(std::move(*record));
    }
    return true;
}

} // namespace

const change_record* config_head::findChange(std::string_view id) const
{
    const auto found = std::ranges::find(history, id, &change_record::id);
    return found == history.end() ? nullptr : &*found;
}

std::size_t bucketOf(std::string_view section)
{
    return utils::hash64(section) % bucketCount;
}

std::string blobHash(std::string_view name, std::string_view text)
{
    std::string both(name);
    both += '\n';
    both += text;
    return utils::sha256Hex(both).substr(0, hashDigits);
}

std::string encode(const config_head& head)
{
    json::array buckets;
    for (const std::string& hash : head.buckets)
        buckets.emplace_back(hash);
    json::array history;
    for (const change_record& record : head.history)
        history.push_back(encodeRecord(record));
    return json::serialize(json::object { { "revision", std::int64_t(head.revision) },
        { "buckets", std::move(buckets) }, { "history", std::move(history) } });
}

std::optional<config_head> decodeHead(std::string_view text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    const json::object* fields = error ? nullptr : parsed.if_object();
    if (fields == nullptr)
        return std::nullopt;
    config_head head;
    head.revision = static_cast<utils::config_revision>(numberField(*fields, "revision"));
    if (head.revision == 0 || !decodeBuckets(*fields, head) || !decodeHistory(*fields, head))
        return std::nullopt;
    return head;
}

std::string encode(const section_entries& bucket)
{
    std::string text;
    for (const auto& [name, entry] : bucket) {
        text += name + ' ' + (entry.hash.empty() ? std::string(noHash) : entry.hash) + ' '
            + std::to_string(entry.changedAt) + '\n';
    }
    return text;
}

std::optional<section_entries> decodeBucket(std::string_view text)
{
    section_entries bucket;
    std::istringstream lines { std::string(text) };
    std::string line;
    while (std::getline(lines, line)) {
        std::istringstream fields(line);
        std::string name;
        section_entry entry;
        if (!(fields >> name >> entry.hash >> entry.changedAt))
            return std::nullopt;
        if (entry.hash == noHash)
            entry.hash.clear();
        bucket.emplace(std::move(name), std::move(entry));
    }
    return bucket;
}

} // namespace config
