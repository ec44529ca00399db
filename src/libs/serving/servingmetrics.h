#pragma once

#include "utils/errorkind.h"

#include <memory>
#include <string>
#include <string_view>

namespace serving {

/// The counters and gauges of one node, in one registry. Not thread safe.
class serving_metrics {
public:
    serving_metrics();
    ~serving_metrics();
    serving_metrics(const serving_metrics&) = delete;
    serving_metrics& operator=(const serving_metrics&) = delete;

    /// A request got its whole answer: kind of pool, seconds from arrival to first byte and to the end.
    void countAnswered(std::string_view pool, double firstByteSeconds, double totalSeconds);
    void countRefused(utils::error_kind kind);
    void countRetry();
    void countForwarded();
    /// Bytes of answers passed on to callers or entry nodes.
    void countRelayed(std::uint64_t bytes);
    /// Measure 1: tokens of prompts and how many of them the engine had cached, as it reports them.
    void countPromptTokens(std::string_view pool, std::uint64_t prompt, std::uint64_t cached);
    /// Measure 2: load of a backend server over the mean of its pool, as this node sees it.
    void setLoadSkew(std::string_view pool, double maxOverMean);
    /// Measure 3: control traffic between nodes.
    void countControl(std::string_view direction, std::uint64_t bytes, std::uint64_t packets);
    /// Ends a window of controlBytesPerSecond; call it about once a second.
    void closeControlWindow(utils::time_point now);
    void countPlatformCall(std::string_view call, bool isDone);
    void setGauge(std::string_view name, double value);
    /// Share of prompt tokens found in an engine's cache since the start; 0 before the first.
    double cacheReuse() const;
    /// The highest load skew over the pools, as last set; 1 before.
    double loadSkew() const;
    /// Control bytes a second, sent and received, over the last whole window of some seconds.
    double controlBytesPerSecond() const;
    /// Text for /metrics.
    std::string text() const;

private:
    struct data;
    std::unique_ptr<data> d;
};

} // namespace serving
