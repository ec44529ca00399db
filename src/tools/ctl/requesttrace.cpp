#include "requesttrace.h"

#include "utils/eventcatalogue.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <ostream>

namespace ctl {

namespace {

namespace json = boost::json;
using utils::event;

// How far back a change of what a node believed may explain an end: longer than any caller waits.
constexpr double believedSecondsBefore = 10;
constexpr double secondsPerDay = 86400;

struct log_line {
    std::string prefix; ///< what a collector wrote before the object
    std::string time;
    json::object fields;

    bool is(event id) const
    {
        const json::value* number = fields.if_contains("event");
        return number != nullptr && number->is_int64() && number->get_int64() == static_cast<int>(id);
    }
    std::string text(std::string_view name) const
    {
        const json::value* value = fields.if_contains(name);
        return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
    }
};

std::optional<log_line> parse(const std::string& line)
{
    const std::size_t brace = line.find('{');
    if (brace == std::string::npos)
        return std::nullopt;
    boost::system::error_code error;
    const json::value value = json::parse(line.substr(brace), error);
    if (error || !value.is_object())
        return std::nullopt;
    log_line parsed;
    parsed.prefix = line.substr(0, brace);
    while (parsed.prefix.ends_with(' '))
        parsed.prefix.pop_back();
    parsed.fields = value.get_object();
    parsed.time = parsed.text("time");
    return parsed;
}

/// Seconds of the day in "2026-09-17T16:46:32.023Z".
double secondOfDay(const std::string& time)
{
    int hour = 0;
    int minute = 0;
    double second = 0;
    const std::size_t start = time.find('T');
    if (start == std::string::npos
        || std::sscanf(time.c_str() + start, "T%d:%d:%lf", &hour, &minute, &second)
            != 3) // NOLINT(cert-err34-c)
        return 0;
    return hour * 3600 + minute * 60 + second;
}

std::string readable(const log_line& line)
{
    std::string text = line.prefix.empty() ? line.time : line.prefix;
    text += "  " + line.text("name");
    constexpr std::array<std::string_view, 5> left { "time", "event", "name", "severity", "request" };
    for (const auto& field : line.fields) {
        if (std::ranges::find(left, std::string_view(field.key())) == left.end() && field.value().is_string())
            text += " " + std::string(field.key()) + "=" + std::string(field.value().get_string());
    }
    return text;
}

bool isBelief(const log_line& line)
{
    return line.is(event::StoreLost) || line.is(event::StoreRegained) || line.is(event::ConfigurationInForce)
        || line.is(event::Stopping) || line.is(event::Started) || line.is(event::ServerEntryUnreadable);
}

std::string decisiveOf(const log_line& end, const log_line* lastAttempt)
{
    if (end.is(event::RequestDone)) {
        return lastAttempt == nullptr
            ? "answered by " + end.text("server") + " with status " + end.text("status")
            : "answered by " + end.text("server") + " with status " + end.text("status")
                + " after an attempt at " + lastAttempt->text("server")
                + " ended: " + lastAttempt->text("end");
    }
    std::string text = "ended as " + end.text("kind");
    if (!end.text("detail").empty())
        text += " (" + end.text("detail") + ")";
    if (lastAttempt != nullptr)
        text += ": the attempt at " + lastAttempt->text("server") + " ended: " + lastAttempt->text("end")
            + ", " + lastAttempt->text("repeats_left") + " repeats were left";
    else if (end.text("attempts") == "0")
        text += ": nothing was sent";
    return text;
}

} // namespace

request_trace traceRequest(const std::string& requestId, const std::vector<std::string>& lines)
{
    std::vector<log_line> parsed;
    for (const std::string& line : lines) {
        if (auto read = parse(line))
            parsed.push_back(std::move(*read));
    }
    std::ranges::stable_sort(parsed, {}, &log_line::time);
    request_trace trace;
    const log_line* end = nullptr;
    const log_line* lastAttempt = nullptr;
    for (const log_line& line : parsed) {
        if (line.text("request") != requestId)
            continue;
        trace.steps.push_back(readable(line));
        if (line.is(event::AttemptFailed))
            lastAttempt = &line;
        if (line.is(event::RequestDone) || line.is(event::RequestRefused))
            end = &line;
    }
    if (end == nullptr)
        return trace;
    trace.decisive = decisiveOf(*end, lastAttempt);
    for (const log_line& line : parsed) {
        double before = secondOfDay(end->time) - secondOfDay(line.time);
        if (before < -secondsPerDay / 2)
            before += secondsPerDay; // over midnight
        if (isBelief(line) && before >= 0 && before <= believedSecondsBefore)
            trace.around.push_back(readable(line));
    }
    return trace;
}

void printTrace(const request_trace& trace, std::ostream& out)
{
    for (const std::string& step : trace.steps)
        out << step << '\n';
    out << "\ndecisive: " << (trace.decisive.empty() ? "no line tells how it ended" : trace.decisive) << '\n';
    if (!trace.around.empty())
        out << "\nwhat nodes learned up to 10 s before:\n";
    for (const std::string& line : trace.around)
        out << line << '\n';
}

} // namespace ctl
