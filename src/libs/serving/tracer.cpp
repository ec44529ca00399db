#include "tracer.h"

#include "utils/crypto.h"

#include <boost/json.hpp>

#include <algorithm>

namespace serving {

namespace {

namespace json = boost::json;
constexpr std::size_t traceIdBytes = 16;
constexpr std::size_t spanIdBytes = 8;
constexpr std::size_t traceparentSize = 55;
constexpr std::size_t traceIdAt = 3;
constexpr std::size_t spanIdAt = 36;
constexpr int spanKindServer = 2;
constexpr int statusError = 2;

std::string randomHex(std::size_t bytes)
{
    const std::string random = utils::randomBytes(bytes);
    return utils::toHex({ reinterpret_cast<const unsigned char*>(random.data()), random.size() });
}

bool isLowerHex(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

std::string nanoseconds(std::chrono::system_clock::time_point time)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

json::object stringAttribute(std::string_view name, std::string_view value)
{
    return { { "key", name }, { "value", { { "stringValue", value } } } };
}

} // namespace

trace_context parseTraceparent(std::string_view header)
{
    const bool isWellFormed = header.size() == traceparentSize && header.starts_with("00-")
        && header[spanIdAt - 1] == '-' && isLowerHex(header.substr(traceIdAt, 2 * traceIdBytes))
        && isLowerHex(header.substr(spanIdAt, 2 * spanIdBytes));
    if (!isWellFormed)
        return { randomHex(traceIdBytes), {} };
    return { std::string(header.substr(traceIdAt, 2 * traceIdBytes)),
        std::string(header.substr(spanIdAt, 2 * spanIdBytes)) };
}

std::string formatTraceparent(const trace_context& context)
{
    return "00-" + context.traceId + '-' + context.spanId + "-01";
}

trace_span::trace_span(tracer& owner, std::string name, const trace_context& parent)
    : m_owner(owner)
    , m_name(std::move(name))
    , m_parentSpan(parent.spanId)
    , m_context { parent.traceId, randomHex(spanIdBytes) }
    , m_start(std::chrono::system_clock::now())
{
}

trace_span::~trace_span()
{
    m_owner.finish(*this);
}

void trace_span::setAttribute(std::string name, std::string value)
{
    if (m_owner.isOn())
        m_attributes.emplace_back(std::move(name), std::move(value));
}

void trace_span::setError(std::string message)
{
    m_error = std::move(message);
}

tracer::tracer(std::string service, const std::string& path)
    : m_service(std::move(service))
{
    if (!path.empty())
        m_out.open(path, std::ios::app);
}

void tracer::finish(const trace_span& span)
{
    if (!isOn())
        return;
    json::array attributes;
    for (const auto& [name, value] : span.m_attributes)
        attributes.push_back(stringAttribute(name, value));
    json::object body {
        { "traceId", span.m_context.traceId },
        { "spanId", span.m_context.spanId },
        { "parentSpanId", span.m_parentSpan },
        { "name", span.m_name },
        { "kind", spanKindServer },
        { "startTimeUnixNano", nanoseconds(span.m_start) },
        { "endTimeUnixNano", nanoseconds(std::chrono::system_clock::now()) },
        { "attributes", attributes },
    };
    if (!span.m_error.empty())
        body["status"] = { { "code", statusError }, { "message", span.m_error } };
    const json::object resource { { "attributes", { stringAttribute("service.name", m_service) } } };
    const json::object line { { "resourceSpans",
        { { { "resource", resource }, { "scopeSpans", { { { "spans", { body } } } } } } } } };
    m_out << json::serialize(line) << '\n' << std::flush;
}

} // namespace serving
