#include "servingmetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <map>
#include <optional>

namespace serving {

namespace {

using counter_family = prometheus::Family<prometheus::Counter>;
using gauge_family = prometheus::Family<prometheus::Gauge>;
using histogram_family = prometheus::Family<prometheus::Histogram>;

// 0.3 s to the first token is the users' aim, so the buckets are close around it.
const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.2, 0.3, 0.5, 1, 2.5, 5, 10, 30, 60, 120 };

std::string str(std::string_view view)
{
    return std::string(view);
}

} // namespace

struct serving_metrics::data {
    prometheus::Registry registry;

    counter_family& counters(const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

    histogram_family& histograms(const char* name, const char* help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }

    counter_family& answered
        = counters("lycheefront_requests_answered_total", "Requests with a whole answer");
    counter_family& refused = counters("lycheefront_requests_refused_total", "Requests refused, by kind");
    counter_family& retries = counters("lycheefront_retries_total", "Requests offered to another server");
    counter_family& forwarded = counters("lycheefront_forwarded_total", "Requests sent on to a home node");
    counter_family& relayed = counters("lycheefront_relayed_bytes_total", "Bytes of answers passed on");
    counter_family& promptTokens = counters("lycheefront_prompt_tokens_total", "Prompt tokens of chats");
    counter_family& cachedTokens
        = counters("lycheefront_cached_tokens_total", "Prompt tokens that the engine had cached");
    counter_family& controlBytes
        = counters("lycheefront_control_bytes_total", "Bytes of control traffic between nodes");
    counter_family& controlPackets
        = counters("lycheefront_control_packets_total", "Packets of control traffic between nodes");
    counter_family& platformCalls = counters("lycheefront_platform_calls_total", "Calls to the platform");
    gauge_family& skew = prometheus::BuildGauge()
                             .Name("lycheefront_load_skew")
                             .Help("Highest load of a backend server over the pool's mean")
                             .Register(registry);
    histogram_family& firstByte = histograms("lycheefront_first_byte_seconds", "Arrival to first byte");
    histogram_family& total = histograms("lycheefront_request_seconds", "Arrival to end");
    std::map<std::string, gauge_family*, std::less<>> gauges;
    std::map<std::string, double, std::less<>> skewByPool;
    double promptSum = 0;
    double cachedSum = 0;
    double controlSum = 0;
    double controlRate = 0;
    double controlSumAtWindow = 0;
    std::optional<utils::time_point> windowStart;
};

serving_metrics::serving_metrics()
    : d(std::make_unique<data>())
{
}

serving_metrics::~serving_metrics() = default;

void serving_metrics::countAnswered(std::string_view pool, double firstByteSeconds, double totalSeconds)
{
    const prometheus::Labels labels { { "pool", str(pool) } };
    d->answered.Add(labels).Increment();
    d->firstByte.Add(labels, secondsBuckets).Observe(firstByteSeconds);
    d->total.Add(labels, secondsBuckets).Observe(totalSeconds);
}

void serving_metrics::countRefused(utils::error_kind kind)
{
    d->refused.Add({ { "kind", str(utils::answerFor(kind).name) } }).Increment();
}

void serving_metrics::countRetry()
{
    d->retries.Add({}).Increment();
}

void serving_metrics::countForwarded()
{
    d->forwarded.Add({}).Increment();
}

void serving_metrics::countRelayed(std::uint64_t bytes)
{
    d->relayed.Add({}).Increment(static_cast<double>(bytes));
}

void serving_metrics::countPromptTokens(std::string_view pool, std::uint64_t prompt, std::uint64_t cached)
{
    const prometheus::Labels labels { { "pool", str(pool) } };
    d->promptSum += static_cast<double>(prompt);
    d->cachedSum += static_cast<double>(cached);
    d->promptTokens.Add(labels).Increment(static_cast<double>(prompt));
    d->cachedTokens.Add(labels).Increment(static_cast<double>(cached));
}

void serving_metrics::setLoadSkew(std::string_view pool, double maxOverMean)
{
    d->skewByPool[str(pool)] = maxOverMean;
    d->skew.Add({ { "pool", str(pool) } }).Set(maxOverMean);
}

void serving_metrics::countControl(std::string_view direction, std::uint64_t bytes, std::uint64_t packets)
{
    const prometheus::Labels labels { { "direction", str(direction) } };
    d->controlSum += static_cast<double>(bytes);
    d->controlBytes.Add(labels).Increment(static_cast<double>(bytes));
    d->controlPackets.Add(labels).Increment(static_cast<double>(packets));
}

void serving_metrics::countPlatformCall(std::string_view call, bool isDone)
{
    d->platformCalls.Add({ { "call", str(call) }, { "done", isDone ? "yes" : "no" } }).Increment();
}

void serving_metrics::setGauge(std::string_view name, double value)
{
    auto found = d->gauges.find(name);
    if (found == d->gauges.end()) {
        auto& family = prometheus::BuildGauge().Name(str(name)).Help(str(name)).Register(d->registry);
        found = d->gauges.emplace(str(name), &family).first;
    }
    found->second->Add({}).Set(value);
}

void serving_metrics::closeControlWindow(utils::time_point now)
{
    constexpr std::chrono::seconds window { 5 };
    if (d->windowStart && now - *d->windowStart < window)
        return;
    if (d->windowStart)
        d->controlRate = (d->controlSum - d->controlSumAtWindow) / utils::toSeconds(now - *d->windowStart);
    d->windowStart = now;
    d->controlSumAtWindow = d->controlSum;
}

double serving_metrics::cacheReuse() const
{
    return d->promptSum > 0 ? d->cachedSum / d->promptSum : 0;
}

double serving_metrics::loadSkew() const
{
    double most = 1;
    for (const auto& [pool, skew] : d->skewByPool)
        most = std::max(most, skew);
    return most;
}

double serving_metrics::controlBytesPerSecond() const
{
    return d->controlRate;
}

std::string serving_metrics::text() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(d->registry.Collect());
}

} // namespace serving
