#include "ledgercheck.h"

#include <boost/json.hpp>

#include <algorithm>

namespace load {

namespace {

namespace json = boost::json;

bool addEntry(run_counts& counts, const json::value& entry)
{
    if (!entry.is_object())
        return false;
    const json::value* key = entry.as_object().if_contains("key");
    const json::value* count = entry.as_object().if_contains("count");
    if (key == nullptr || count == nullptr || !key->is_string() || !count->is_number())
        return false;
    counts[std::string(key->as_string())] += count->to_number<unsigned>();
    return true;
}

bool addRuns(run_counts& counts, const json::object& runs)
{
    for (const auto& run : runs) {
        if (!run.value().is_number())
            return false;
        counts[std::string(run.key())] += run.value().to_number<unsigned>();
    }
    return true;
}

bool addValue(run_counts& counts, const json::value& value)
{
    if (value.is_array()) {
        return std::ranges::all_of(
            value.as_array(), [&](const json::value& entry) { return addEntry(counts, entry); });
    }
    if (!value.is_object())
        return false;
    const json::value* runs = value.as_object().if_contains("runs");
    if (runs != nullptr && runs->is_object())
        return addRuns(counts, runs->as_object());
    return addEntry(counts, value);
}

bool addLines(run_counts& counts, std::string_view text)
{
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (line.empty())
            continue;
        boost::system::error_code error;
        const json::value value = json::parse(json::string_view(line.data(), line.size()), error);
        if (error || !addEntry(counts, value))
            return false;
    }
    return true;
}

/// What all calls with one key were told.
struct key_story {
    bool hasWhole = false;
    bool isAllNotRun = true;
    std::string answer;
    bool hasDifferent = false;
};

std::map<std::string, key_story> storiesOf(const std::vector<call_record>& records)
{
    std::map<std::string, key_story> stories;
    for (const call_record& record : records) {
        // Drafts may run again after a crash, and engines count prompts, not keys.
        if (record.key.empty() || record.kind == request_kind::Draft)
            continue;
        key_story& story = stories[record.key];
        if (record.end == call_end::Whole) {
            story.hasDifferent = story.hasDifferent || (story.hasWhole && story.answer != record.answer);
            story.answer = record.answer;
            story.hasWhole = true;
        }
        if (record.end != call_end::Refused || record.run != "not_run")
            story.isAllNotRun = false;
    }
    return stories;
}

} // namespace

bool addLedger(run_counts& counts, std::string_view text)
{
    boost::system::error_code error;
    const json::value whole = json::parse(json::string_view(text.data(), text.size()), error);
    return error ? addLines(counts, text) : addValue(counts, whole);
}

std::vector<std::string> brokenPromises(
    const std::vector<call_record>& records, const std::optional<run_counts>& counts)
{
    std::vector<std::string> broken;
    for (const call_record& record : records) {
        if (record.end == call_end::Broken)
            broken.push_back("node " + record.node + ", key '" + record.key + "': " + record.problem);
    }
    for (const auto& [key, story] : storiesOf(records)) {
        if (story.hasDifferent)
            broken.push_back("key " + key + ": two whole answers that differ");
        if (!counts)
            continue;
        const auto found = counts->find(key);
        const unsigned runs = found == counts->end() ? 0 : found->second;
        if (runs > 1)
            broken.push_back("key " + key + ": ran " + std::to_string(runs) + " times");
        if (runs == 0 && story.hasWhole)
            broken.push_back("key " + key + ": has an answer and never ran");
        if (runs > 0 && story.isAllNotRun)
            broken.push_back("key " + key + ": every call was told not_run, and it ran");
    }
    return broken;
}

} // namespace load
