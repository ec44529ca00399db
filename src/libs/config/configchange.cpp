#include "configchange.h"

#include <algorithm>

namespace config {

config_change::config_change(
    const utils::state_chart& chart, const change_settings& settings, change_request request)
    : chart_machine(chart)
    , m_settings(settings)
    , m_request(std::move(request))
    , m_retryDelay(settings.retryFirst)
{
}

const config_change::action_table& config_change::table()
{
    static const action_table table {
        { "armLimit", &config_change::armLimit },
        { "readHead", &config_change::readHead },
        { "writeHead", &config_change::writeHead },
        { "retryLater", &config_change::retryLater },
        { "acceptFound", &config_change::acceptFound },
        { "acceptWritten", &config_change::acceptWritten },
        { "finishUnchanged", &config_change::finishUnchanged },
        { "finishRefused", &config_change::finishRefused },
        { "finishUnknown", &config_change::finishUnknown },
        { "refusePlatformDown", &config_change::refusePlatformDown },
    };
    return table;
}

change_actions config_change::start(utils::time_point now)
{
    step("start", now);
    return takeActions();
}

change_actions config_change::onSnapshot(const snapshot_pointer& snapshot, utils::time_point now)
{
    LF_ASSERT(snapshot != nullptr, return onReadFailed(now));
    step(eventOf(*snapshot), now);
    return takeActions();
}

change_actions config_change::onReadFailed(utils::time_point now)
{
    step(now >= m_limit ? "limit" : "read_failed", now);
    return takeActions();
}

change_actions config_change::onWritten(write_outcome outcome, utils::time_point now)
{
    switch (outcome) {
    case write_outcome::Written:
        step("written", now);
        break;
    case write_outcome::Moved:
        step("moved", now);
        break;
    case write_outcome::NotSent:
        step("not_sent", now);
        break;
    case write_outcome::Unknown:
        m_doubtfulModRevision = m_plan.plan->expectedModRevision;
        m_doubtfulRevision = m_plan.plan->head.revision - 1;
        step("unknown", now);
        break;
    }
    return takeActions();
}

change_actions config_change::onTimer(utils::time_point now)
{
    step(now >= m_limit ? "limit" : "retry", now);
    return takeActions();
}

std::string_view config_change::eventOf(const config_snapshot& snapshot)
{
    if (const change_record* found = snapshot.head.findChange(m_request.id)) {
        m_found = *found;
        return "found_mine";
    }
    const bool isDoubtful = m_doubtfulModRevision.has_value();
    const bool hasMoved = isDoubtful && snapshot.headModRevision != *m_doubtfulModRevision;
    // The change would stand right after the head it was written on; if the history begins later, its
    // absence says nothing.
    const std::vector<change_record>& history = snapshot.head.history;
    if (hasMoved && !history.empty() && history.front().revision > m_doubtfulRevision + 1)
        return "found_gap";
    m_plan = planChange(snapshot, m_request);
    if (hasMoved)
        m_doubtfulModRevision.reset();
    if (m_plan.plan)
        return hasMoved ? "planned_anew" : "planned";
    return m_plan.verdict.verdict == change_verdict::Unchanged ? "nothing_to_do" : "refused";
}

void config_change::armLimit(utils::time_point now)
{
    m_limit = now + m_settings.limit;
}

void config_change::readHead(utils::time_point)
{
    emit(read_snapshot {});
}

void config_change::writeHead(utils::time_point)
{
    emit(write_plan { *m_plan.plan });
}

void config_change::retryLater(utils::time_point now)
{
    emit(wait_until { std::min(now + m_retryDelay, m_limit) });
    m_retryDelay = std::min(m_retryDelay * 2, m_settings.retryMost);
}

void config_change::acceptFound(utils::time_point)
{
    change_outcome outcome;
    outcome.verdict = change_verdict::Accepted;
    outcome.revision = m_found->revision;
    outcome.sections = m_found->sections;
    finish(std::move(outcome));
}

void config_change::acceptWritten(utils::time_point)
{
    change_outcome outcome;
    outcome.verdict = change_verdict::Accepted;
    outcome.revision = m_plan.plan->head.revision;
    outcome.sections = m_plan.plan->sections;
    finish(std::move(outcome));
}

void config_change::finishUnchanged(utils::time_point)
{
    finish(m_plan.verdict);
}

void config_change::finishRefused(utils::time_point)
{
    finish(m_plan.verdict);
}

void config_change::finishUnknown(utils::time_point)
{
    change_outcome outcome;
    outcome.verdict = change_verdict::Unknown;
    outcome.failure = { utils::error_kind::PlatformUnavailable,
        "whether the change took effect is not known: ask again with the same change id",
        utils::run_state::MayHaveRun, {} };
    finish(std::move(outcome));
}

void config_change::refusePlatformDown(utils::time_point)
{
    change_outcome outcome;
    outcome.failure = { utils::error_kind::PlatformUnavailable, "the change was not made", {}, {} };
    finish(std::move(outcome));
}

} // namespace config
