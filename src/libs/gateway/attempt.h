#pragma once

#include "utils/errorkind.h"

#include <string_view>

namespace gateway {

/// How one attempt at one backend server ended.
enum class attempt_outcome {
    NotSent, ///< no byte left this node: the server could not be connected to, or may not be used any more
    NoRepeat, ///< it would have been a repeat, and the service's repeats are used up; no byte left
    NotRun, ///< the server said that the request has not run there
    Failed, ///< the server answered that it failed; the response is kept
    Cut, ///< sent, and no whole response came: it may have run
    Silent, ///< sent, and nothing was heard for too long: it may have run
    Garbled, ///< sent, and what came is no response to it: it may have run
    Answered, ///< the caller has the whole response
    Stopped, ///< given up: the caller left or the time is over
    Count_
};

/// Name for logs. Thread safe.
std::string_view toString(attempt_outcome outcome);

/// What this node knows of a request's runs; decides what may still be done, and what may be said.
///
/// A request that may not be repeated is sent again only while every attempt so far has provably not run. A
/// refusal that promises "not run" is given only from there: without this a payment that was cut is paid
/// again by the next node, or by the caller who was told to come back. Not thread safe.
class attempt_record {
public:
    attempt_record(bool mayRepeat, unsigned maxRuns)
        : m_mayRepeat(mayRepeat)
        , m_maxRuns(maxRuns)
    {
    }

    void add(attempt_outcome outcome);

    /// Whether another attempt keeps the promises.
    bool mayRetry() const;
    /// Whether an attempt now would be a repeat at the service.
    bool isRetry() const { return m_sent > 0; }
    /// Whether bytes of an attempt that ended so have left this node.
    static bool isSent(attempt_outcome outcome)
    {
        return outcome != attempt_outcome::NotSent && outcome != attempt_outcome::NoRepeat;
    }
    /// Whether "not run" is true.
    bool hasProvablyNotRun() const { return m_mayHaveRun == 0; }
    unsigned attempts() const { return m_attempts; }
    /// What the caller is told when nothing more is tried. Precondition: add() was called, or nothing was
    /// tried for lack of a server.
    utils::error_kind finalErrorKind() const;

    /// Attempts that sent nothing; more find no server either.
    static constexpr unsigned maxUnsent = 4;
    /// Attempts that servers refused without running them; each costs a repeat.
    static constexpr unsigned maxNotRun = 3;

private:
    bool m_mayRepeat;
    unsigned m_maxRuns;
    unsigned m_attempts = 0;
    unsigned m_sent = 0;
    unsigned m_unsent = 0;
    unsigned m_notRun = 0;
    unsigned m_mayHaveRun = 0;
    attempt_outcome m_last = attempt_outcome::NotSent;
};

} // namespace gateway
