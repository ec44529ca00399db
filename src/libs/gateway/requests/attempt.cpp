#include "attempt.h"

#include <algorithm>
#include <array>

namespace gateway {

namespace {

using enum attempt_outcome;

constexpr std::array<std::string_view, static_cast<std::size_t>(Count_)> names { "not_sent", "no_repeat",
    "not_run", "failed", "cut", "silent", "garbled", "answered", "stopped" };

} // namespace

std::string_view toString(attempt_outcome outcome)
{
    return names.at(static_cast<std::size_t>(outcome));
}

void attempt_record::add(attempt_outcome outcome)
{
    ++m_attempts;
    m_last = outcome;
    switch (outcome) {
    case NotSent:
        ++m_unsent;
        return;
    case NoRepeat:
        return;
    case NotRun:
        ++m_sent;
        ++m_notRun;
        return;
    default:
        ++m_sent;
        ++m_mayHaveRun;
        return;
    }
}

void attempt_record::addForwarded(attempt_outcome outcome, bool hasSent)
{
    const unsigned sentBefore = m_sent;
    const unsigned runsBefore = m_mayHaveRun;
    add(outcome);
    if (!hasSent)
        m_sent = sentBefore;
    if (m_mayHaveRun > runsBefore)
        m_mayHaveRun = std::max(m_mayHaveRun, m_maxRuns);
}

void attempt_record::addEarlier(unsigned runs, unsigned sent)
{
    m_sent += sent;
    m_mayHaveRun += runs;
    m_earlierRuns += runs;
}

bool attempt_record::mayRetry() const
{
    if (m_last == Answered || m_last == Stopped || m_last == NoRepeat)
        return false;
    if (m_unsent >= (hasProvablyNotRun() ? maxUnsent : maxUnsentAfterRun) || m_notRun >= maxNotRun)
        return false;
    if (hasProvablyNotRun())
        return true;
    return m_mayRepeat && m_mayHaveRun < m_maxRuns;
}

utils::error_kind attempt_record::finalErrorKind() const
{
    if (m_mayHaveRun == m_earlierRuns)
        return m_notRun > 0 ? utils::error_kind::QueueFull : utils::error_kind::NoServer;
    return m_last == Silent ? utils::error_kind::ServerTimeout : utils::error_kind::ServerFailed;
}

} // namespace gateway
