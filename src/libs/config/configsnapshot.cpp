#include "configsnapshot.h"

#include <boost/json.hpp>

#include <set>

namespace config {

namespace json = boost::json;

namespace {

/// Whether the entries are those that the head names. Only the lists that differ from `known` are looked
/// at: the others were checked when the earlier snapshot was made.
bool isWholeFor(const config_head& head, const config_snapshot& known, const section_entries& entries)
{
    std::array<section_entries, bucketCount> buckets;
    for (const auto& [name, entry] : entries)
        buckets.at(bucketOf(name)).emplace(name, entry);
    for (std::size_t i = 0; i < bucketCount; ++i) {
        if (head.buckets.at(i) == known.head.buckets.at(i) && known.head.revision != 0)
            continue;
        const std::string text = encode(buckets.at(i));
        const std::string hash = text.empty() ? std::string() : blobHash(bucketName(i), text);
        if (hash != head.buckets.at(i))
            return false;
    }
    return true;
}

std::optional<section_update> decodeUpdate(const json::value& from)
{
    const json::object* fields = from.if_object();
    if (fields == nullptr)
        return std::nullopt;
    const json::value* name = fields->if_contains("name");
    const json::value* hash = fields->if_contains("hash");
    const json::value* changedAt = fields->if_contains("changed_at");
    const json::value* text = fields->if_contains("text");
    const bool isWhole = name != nullptr && name->is_string() && hash != nullptr && hash->is_string()
        && changedAt != nullptr && changedAt->is_int64() && text != nullptr && text->is_string();
    if (!isWhole)
        return std::nullopt;
    section_update update;
    update.name = name->as_string();
    update.entry.hash = hash->as_string();
    update.entry.changedAt = static_cast<utils::config_revision>(changedAt->as_int64());
    update.text = text->as_string();
    return update;
}

} // namespace

std::string bucketName(std::size_t bucket)
{
    return "bucket " + std::to_string(bucket);
}

std::string bucketText(const section_entries& entries, std::size_t bucket)
{
    section_entries own;
    for (const auto& [name, entry] : entries) {
        if (bucketOf(name) == bucket)
            own.emplace(name, entry);
    }
    return encode(own);
}

snapshot_delta deltaSince(const config_snapshot& snapshot, utils::config_revision since)
{
    snapshot_delta delta { snapshot.head, snapshot.headModRevision, {} };
    for (const auto& [name, entry] : snapshot.entries) {
        if (entry.changedAt <= since)
            continue;
        const auto text = snapshot.texts.find(name);
        delta.updates.push_back({ name, entry, text == snapshot.texts.end() ? "" : text->second });
    }
    return delta;
}

snapshot_pointer applyDelta(const config_snapshot& from, const snapshot_delta& delta)
{
    auto next = std::make_shared<config_snapshot>();
    next->head = delta.head;
    next->headModRevision = delta.headModRevision;
    next->entries = from.entries;
    next->texts = from.texts;
    auto whole = std::make_shared<document>(*from.whole);
    whole->revision = delta.head.revision;
    for (const section_update& update : delta.updates) {
        next->entries[update.name] = update.entry;
        const bool isDeleted = update.entry.hash.empty();
        if (!isDeleted && blobHash(update.name, update.text) != update.entry.hash)
            return nullptr;
        if (isDeleted)
            next->texts.erase(update.name);
        else
            next->texts[update.name] = update.text;
        const std::optional<std::string> text = isDeleted ? std::nullopt : std::optional(update.text);
        if (!replaceSection(*whole, update.name, text).empty())
            return nullptr;
    }
    if (!isWholeFor(delta.head, from, next->entries))
        return nullptr;
    whole->indexKeys();
    next->whole = std::move(whole);
    return next;
}

std::string encode(const snapshot_delta& delta)
{
    json::array updates;
    for (const section_update& update : delta.updates) {
        updates.push_back(json::object { { "name", update.name }, { "hash", update.entry.hash },
            { "changed_at", std::int64_t(update.entry.changedAt) }, { "text", update.text } });
    }
    return json::serialize(json::object { { "head", encode(delta.head) },
        { "head_mod_revision", delta.headModRevision }, { "updates", std::move(updates) } });
}

std::optional<snapshot_delta> decodeDelta(std::string_view text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    const json::object* fields = error ? nullptr : parsed.if_object();
    if (fields == nullptr)
        return std::nullopt;
    const json::value* head = fields->if_contains("head");
    const json::value* modRevision = fields->if_contains("head_mod_revision");
    const json::value* updates = fields->if_contains("updates");
    const bool isWhole = head != nullptr && head->is_string() && modRevision != nullptr
        && modRevision->is_int64() && updates != nullptr && updates->is_array();
    const std::optional<config_head> decoded = isWhole ? decodeHead(head->as_string()) : std::nullopt;
    if (!decoded)
        return std::nullopt;
    snapshot_delta delta { *decoded, modRevision->as_int64(), {} };
    for (const json::value& item : updates->as_array()) {
        std::optional<section_update> update = decodeUpdate(item);
        if (!update)
            return std::nullopt;
        delta.updates.push_back(std::move(*update));
    }
    return delta;
}

} // namespace config
