#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gateway {

/// A fault in an event stream.
enum class stream_fault {
    None,
    Gap, ///< an event is missing
    TooLong, ///< an event is longer than maxEventBytes
    NoId, ///< an event without an id in a stream whose events have ids
    Count_
};

/// Splits a stream at the boundaries of its events, and makes sure that the ids of the forwarded events have
/// neither gaps nor repeats. A backend server may fail in the middle of an event, and a stream that is
/// resumed on another server must continue with the next whole event: otherwise a caller would get half an
/// event, or an event twice. Not thread safe.
class event_scanner {
public:
    /// `lastId`: id of the event after which the caller resumes.
    explicit event_scanner(std::optional<std::uint64_t> lastId = {})
        : m_lastId(lastId)
    {
    }

    /// Takes bytes and returns the events that are complete by now, unchanged. Events that were forwarded
    /// already are left out.
    std::string take(std::string_view bytes);
    /// Prepares for the stream of another backend server; drops a partial event.
    void restart() { m_partial.clear(); }
    /// Whether the bytes taken end at an event boundary.
    bool isAtBoundary() const { return m_partial.empty(); }
    /// Id of the last forwarded event.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Number of forwarded events.
    std::uint64_t count() const { return m_count; }
    /// Bytes of the longest event. Without this limit a server whose event never ends would use up the memory
    /// of the node; typical events have some hundred bytes.
    static constexpr std::size_t maxEventBytes = 262144;

    stream_fault fault() const { return m_fault; }

private:
    bool accept(std::string_view event);

    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_count = 0;
    stream_fault m_fault = stream_fault::None;
};

} // namespace gateway
