#include "eventlog.h"

#include "eventratelimiter.h"
#include "processclock.h"

#include <boost/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <chrono>
#include <mutex>

namespace utils {

namespace {

// Lines queued while the reader of standard output is slow or gone. Beyond that the oldest are dropped, so
// that no request waits for the log. At some 400 bytes per line this is half a megabyte.
constexpr std::size_t queuedLines = 1024;
// Warnings and errors have a queue of their own, so that a flood of other lines does not displace them.
constexpr std::size_t queuedWarnings = 256;
constexpr std::size_t writerThreads = 1;
// People read lines within seconds; flushing each line would cost a system call.
constexpr std::chrono::seconds flushPeriod { 1 };

struct log_settings {
    log_format format = log_format::Text;
    severity lowest = severity::Info;
    std::shared_ptr<spdlog::logger> logger;
    std::shared_ptr<spdlog::details::thread_pool> warningPool;
    std::shared_ptr<spdlog::logger> warningLogger;
    std::mutex mutex; ///< guards `rateLimiter`
    event_rate_limiter rateLimiter;
};

log_settings& settings()
{
    static log_settings instance;
    return instance;
}

constexpr std::array<std::string_view, 4> severityNames { "debug", "info", "warning", "error" };
constexpr std::array<spdlog::level::level_enum, 4> levels { spdlog::level::debug, spdlog::level::info,
    spdlog::level::warn, spdlog::level::err };

std::string textLine(const event_info& info, const std::vector<log_field>& fields)
{
    std::string line = std::to_string(static_cast<int>(info.id)) + ' ' + std::string(info.name) + ": "
        + std::string(info.message);
    for (const log_field& field : fields)
        line += ' ' + field.name + '=' + boost::json::serialize(boost::json::value(field.value));
    return line;
}

/// Returns the line without its opening brace, which the logger's pattern writes before the time.
std::string jsonLine(const event_info& info, const std::vector<log_field>& fields)
{
    boost::json::object line {
        { "event", static_cast<int>(info.id) },
        { "name", info.name },
        { "severity", severityNames.at(static_cast<std::size_t>(info.level)) },
    };
    for (const log_field& field : fields)
        line[field.name] = field.value;
    return boost::json::serialize(line).substr(1);
}

event_rate_limiter::decision admitLine(event id)
{
    const std::lock_guard lock(settings().mutex);
    return settings().rateLimiter.admit(id, processNow());
}

} // namespace

void configureLog(log_format format, severity lowest)
{
    log_settings& log = settings();
    log.format = format;
    log.lowest = lowest;
    spdlog::init_thread_pool(queuedLines, writerThreads);
    log.logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("events");
    log.warningPool = std::make_shared<spdlog::details::thread_pool>(queuedWarnings, writerThreads);
    log.warningLogger = std::make_shared<spdlog::async_logger>("warnings", log.logger->sinks().front(),
        log.warningPool, spdlog::async_overflow_policy::overrun_oldest);
    const bool isJson = format == log_format::Json;
    for (const auto& logger : { log.logger, log.warningLogger }) {
        logger->set_pattern(isJson ? "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",%v" : "%Y-%m-%dT%H:%M:%S.%e %l %v",
            spdlog::pattern_time_type::utc);
        logger->set_level(levels.at(static_cast<std::size_t>(lowest)));
        logger->flush_on(spdlog::level::warn);
    }
    spdlog::flush_every(flushPeriod);
}

std::uint64_t droppedLines()
{
    const auto pool = spdlog::thread_pool();
    const auto& warningPool = settings().warningPool;
    return (pool ? pool->overrun_counter() : 0) + (warningPool ? warningPool->overrun_counter() : 0);
}

void flushLog()
{
    // Joins the writer, which writes all queued lines before it ends.
    settings().warningLogger.reset();
    settings().warningPool.reset();
    settings().logger.reset();
    spdlog::shutdown();
}

void logEvent(event id, const std::vector<log_field>& fields)
{
    const event_info& info = infoOf(id);
    log_settings& log = settings();
    if (info.level < log.lowest)
        return;
    const event_rate_limiter::decision decision = admitLine(id);
    if (!decision.isAdmitted)
        return;
    std::vector<log_field> all = fields;
    if (decision.suppressed > 0)
        all.push_back({ "left_out", std::to_string(decision.suppressed) });
    const std::string line = log.format == log_format::Json ? jsonLine(info, all) : textLine(info, all);
    const auto level = levels.at(static_cast<std::size_t>(info.level));
    const auto& queue = info.level >= severity::Warning ? log.warningLogger : log.logger;
    spdlog::logger* logger = queue ? queue.get() : spdlog::default_logger_raw();
    // Logged as a finished string: the line may contain braces, which a format string would interpret.
    logger->log(level, spdlog::string_view_t(line));
}

} // namespace utils
