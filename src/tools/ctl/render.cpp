#include "render.h"

#include <boost/json.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <span>
#include <vector>

namespace ctl {

namespace json = boost::json;

namespace {

/// One column of a table: its title and the field it shows.
struct column {
    std::string title;
    std::string field;
};

std::string timeText(std::int64_t wallSeconds)
{
    const std::time_t time = wallSeconds;
    std::tm parts {};
    gmtime_r(&time, &parts);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
    return text.data();
}

std::string cellText(const json::value& value)
{
    if (value.is_string())
        return std::string(value.as_string());
    if (value.is_bool())
        return value.as_bool() ? "yes" : "no";
    if (value.is_double()) {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.2f", value.as_double());
        return text.data();
    }
    if (const json::array* items = value.if_array()) {
        std::string text;
        for (const json::value& item : *items)
            text += (text.empty() ? "" : " ") + cellText(item);
        return text;
    }
    return json::serialize(value);
}

std::string fieldText(const json::object& from, const std::string& field)
{
    const json::value* value = from.if_contains(field);
    if (value == nullptr)
        return "-";
    if (field == "at" && value->is_int64())
        return timeText(value->as_int64());
    return cellText(*value);
}

const json::array& arrayField(const json::object& from, std::string_view field)
{
    static const json::array none;
    const json::value* value = from.if_contains(field);
    return value != nullptr && value->is_array() ? value->as_array() : none;
}

std::string renderTable(const json::array& items, std::span<const column> columns)
{
    std::vector<std::vector<std::string>> rows(1);
    for (const column& c : columns)
        rows.front().push_back(c.title);
    for (const json::value& item : items) {
        if (!item.is_object())
            continue;
        rows.emplace_back();
        for (const column& c : columns)
            rows.back().push_back(fieldText(item.as_object(), c.field));
    }
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < columns.size(); ++i) {
            std::size_t width = 0;
            for (const auto& other : rows)
                width = std::max(width, other[i].size());
            line += row[i] + std::string(width - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

void emitYaml(YAML::Emitter& out, const json::value& value)
{
    if (const json::object* fields = value.if_object()) {
        out << YAML::BeginMap;
        for (const auto& field : *fields) {
            out << YAML::Key << std::string(field.key()) << YAML::Value;
            emitYaml(out, field.value());
        }
        out << YAML::EndMap;
        return;
    }
    if (const json::array* items = value.if_array()) {
        out << YAML::BeginSeq;
        for (const json::value& item : *items)
            emitYaml(out, item);
        out << YAML::EndSeq;
        return;
    }
    if (value.is_string())
        out << std::string(value.as_string());
    else if (value.is_bool())
        out << value.as_bool();
    else
        out << json::serialize(value);
}

const std::array nodeColumns { column { "NODE", "id" }, column { "DATA CENTRE", "data_centre" },
    column { "STATE", "state" }, column { "CURRENT", "current" }, column { "REVISION", "revision" } };
const std::array serverColumns { column { "SERVER", "id" }, column { "POOL", "pool" },
    column { "STATE", "state" }, column { "HOME", "home" }, column { "IN PROGRESS", "in_progress" },
    column { "SLOTS", "slots" } };
const std::array queueColumns { column { "QUEUE", "pool" }, column { "PRIORITY", "priority" },
    column { "WAITING", "waiting" }, column { "OLDEST s", "oldest_seconds" } };
const std::array measureColumns { column { "CACHE REUSE", "cache_reuse" },
    column { "LOAD SKEW", "load_skew" }, column { "CONTROL B/s", "control_bytes_per_second" } };
const std::array historyColumns { column { "REVISION", "revision" }, column { "AT", "at" },
    column { "WHO", "who" }, column { "CHANGE", "change" }, column { "COUNT", "section_count" },
    column { "SECTIONS", "sections" } };
const std::array draftColumns { column { "DRAFT", "id" }, column { "TEAM", "team" },
    column { "STATE", "state" }, column { "AT", "at" }, column { "BYTES", "bytes" } };
const std::array stepColumns { column { "STEP", "step" }, column { "FINDING", "finding" } };

} // namespace

std::string renderStatus(const json::object& body)
{
    std::string text = "answered by " + fieldText(body, "node") + ", current: " + fieldText(body, "current")
        + ", revision " + fieldText(body, "revision") + "\n\n";
    text += renderTable(arrayField(body, "nodes"), nodeColumns) + '\n';
    text += renderTable(arrayField(body, "servers"), serverColumns) + '\n';
    text += renderTable(arrayField(body, "queues"), queueColumns) + '\n';
    json::array measures;
    if (const json::value* found = body.if_contains("measures"))
        measures.push_back(*found);
    return text + renderTable(measures, measureColumns);
}

std::string renderHistory(const json::object& body)
{
    return renderTable(arrayField(body, "changes"), historyColumns);
}

std::string renderDrafts(const json::object& body)
{
    return renderTable(arrayField(body, "drafts"), draftColumns);
}

std::string renderSteps(const json::object& body)
{
    return renderTable(arrayField(body, "steps"), stepColumns);
}

std::string renderDiffs(const json::object& body)
{
    std::string text;
    for (const json::value& item : arrayField(body, "sections")) {
        if (item.is_object())
            text += fieldText(item.as_object(), "section") + ":\n" + fieldText(item.as_object(), "diff");
    }
    return text.empty() ? "no difference from revision " + fieldText(body, "revision") + '\n' : text;
}

std::string renderChange(const json::object& body)
{
    std::string text = fieldText(body, "outcome") + " at revision " + fieldText(body, "revision");
    const json::value* spread = body.if_contains("in_force");
    if (spread != nullptr && spread->is_object()) {
        const json::object& fields = spread->as_object();
        text += ", in force on " + fieldText(fields, "acknowledged") + " of " + fieldText(fields, "listed")
            + " nodes";
    }
    text += '\n';
    for (const json::value& section : arrayField(body, "sections"))
        text += "  " + cellText(section) + '\n';
    return text;
}

std::string renderProblem(const json::object& body)
{
    std::string text = "refused: " + fieldText(body, "title");
    if (body.contains("detail"))
        text += " (" + fieldText(body, "detail") + ')';
    text += '\n';
    for (const json::value& item : arrayField(body, "problems")) {
        const json::object* p = item.if_object();
        if (p == nullptr)
            continue;
        text += fieldText(*p, "file") + ':' + fieldText(*p, "line") + ':' + fieldText(*p, "column") + ": "
            + fieldText(*p, "path") + ": " + fieldText(*p, "message") + '\n';
    }
    if (body.contains("diff"))
        text += "from the section in force (-) to yours (+):\n" + fieldText(body, "diff");
    return text;
}

std::string renderYaml(const json::object& body)
{
    YAML::Emitter out;
    emitYaml(out, body);
    return std::string(out.c_str()) + '\n';
}

} // namespace ctl
