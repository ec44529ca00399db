#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace serving {

/// The ids that travel in `traceparent`.
struct trace_context {
    std::string traceId; ///< 32 hexadecimal digits
    std::string spanId; ///< 16 hexadecimal digits
};

/// Reads a W3C `traceparent`; a fresh context when there is none or it is malformed. Thread safe.
trace_context parseTraceparent(std::string_view header);
/// The header's text. Thread safe.
std::string formatTraceparent(const trace_context& context);

class tracer;

/// One hop of a request: entry, home, queue, platform or backend server. Ends when destroyed, so that a
/// cancelled request has its span too. Not thread safe.
class trace_span {
public:
    /// Precondition: the tracer outlives the span.
    trace_span(tracer& owner, std::string name, const trace_context& parent);
    ~trace_span();
    trace_span(const trace_span&) = delete;
    trace_span& operator=(const trace_span&) = delete;

    const trace_context& context() const { return m_context; }
    void setAttribute(std::string name, std::string value);
    void setError(std::string message);

private:
    friend class tracer;

    tracer& m_owner;
    std::string m_name;
    std::string m_parentSpan;
    trace_context m_context;
    std::chrono::system_clock::time_point m_start;
    std::vector<std::pair<std::string, std::string>> m_attributes;
    std::string m_error;
};

/// Writes finished spans as OTLP/JSON, one line each, to a file or pipe. Not thread safe.
class tracer {
public:
    /// An empty path switches tracing off; the ids still travel.
    tracer(std::string service, const std::string& path);

    bool isOn() const { return m_out.is_open(); }
    void finish(const trace_span& span);

private:
    std::string m_service;
    std::ofstream m_out;
};

} // namespace serving
