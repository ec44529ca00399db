#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gateway {

/// What is wrong with a stream of events.
enum class stream_fault {
    None,
    Gap, ///< an event is missing
    TooLong, ///< an event is longer than maxEventBytes
    NoId, ///< an event has no id in a stream whose events have one
    Count_
};

/// Cuts a stream of events at the events' boundaries, and sees to it that the ids that go on are without
/// gap or repeat. A backend server may die in the middle of an event, and a stream that is resumed elsewhere
/// must go on with the next whole event: without this a caller gets half an event, or one twice.
/// Not thread safe.
class event_scanner {
public:
    /// `lastId` is the event after which the caller resumes.
    explicit event_scanner(std::optional<std::uint64_t> lastId = {})
        : m_lastId(lastId)
    {
    }

    /// Takes bytes and returns the whole events among what is there, as they came. Events that have gone on
    /// already are left out.
    std::string take(std::string_view bytes);
    /// The stream starts anew at another backend server; half an event is forgotten.
    void restart() { m_partial.clear(); }
    /// Whether the bytes taken end at the boundary of an event.
    bool isAtBoundary() const { return m_partial.empty(); }
    /// The last event that went on.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Events that went on.
    std::uint64_t count() const { return m_count; }
    /// Bytes of one event at most. Without a bound a server whose event never ends takes all memory of the
    /// node; usual ones have some hundred.
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
