#include "eventlog.h"

#include <boost/json.hpp>
#include <easylogging++.h>

#include <array>

namespace utils {

namespace {

struct log_settings {
    log_format format = log_format::Text;
    severity lowest = severity::Info;
};

log_settings& settings()
{
    static log_settings instance;
    return instance;
}

constexpr std::array<std::string_view, 4> severityNames { "debug", "info", "warning", "error" };

std::string textLine(const event_info& info, const std::vector<log_field>& fields)
{
    std::string line = std::to_string(static_cast<int>(info.id)) + ' ' + std::string(info.name) + ": "
        + std::string(info.message);
    for (const log_field& field : fields)
        line += ' ' + field.name + '=' + boost::json::serialize(boost::json::value(field.value));
    return line;
}

std::string jsonLine(const event_info& info, const std::vector<log_field>& fields)
{
    boost::json::object line {
        { "event", static_cast<int>(info.id) },
        { "name", info.name },
        { "severity", severityNames.at(static_cast<std::size_t>(info.level)) },
        { "message", info.message },
    };
    for (const log_field& field : fields)
        line[field.name] = field.value;
    return boost::json::serialize(line);
}

void write(severity level, const std::string& line)
{
    switch (level) {
    case severity::Debug:
        LOG(DEBUG) << line;
        return;
    case severity::Info:
        LOG(INFO) << line;
        return;
    case severity::Warning:
        LOG(WARNING) << line;
        return;
    case severity::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace

void configureLog(log_format format, severity lowest)
{
    settings() = { format, lowest };
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configurations.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    if (format == log_format::Json)
        configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(configurations);
}

void logEvent(event id, const std::vector<log_field>& fields)
{
    const event_info& info = infoOf(id);
    if (info.level < settings().lowest)
        return;
    const bool isJson = settings().format == log_format::Json;
    write(info.level, isJson ? jsonLine(info, fields) : textLine(info, fields));
}

} // namespace utils
