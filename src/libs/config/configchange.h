#pragma once

#include "changeplanner.h"

#include "utils/chartmachine.h"
#include "utils/statechart.h"
#include "utils/time.h"

#include <variant>
#include <vector>

namespace config {

/// Read the present head and what it names; then call onSnapshot or onReadFailed.
struct read_snapshot { };
/// Write the plan's values and move the head by compare-and-swap, in this order; then call onWritten.
struct write_plan {
    planned_change plan;
};
/// Call onTimer at that time.
struct wait_until {
    utils::time_point at;
};
/// The change has ended.
struct finish_change {
    change_outcome outcome;
};

using change_action = std::variant<read_snapshot, write_plan, wait_until, finish_change>;
using change_actions = std::vector<change_action>;

/// What became of a write_plan.
enum class write_outcome {
    Written, ///< the head moved
    Moved, ///< the head stood elsewhere; nothing was written, nor will be
    NotSent, ///< nothing was written, nor will be
    Unknown ///< it may take effect, now or later
};

/// How long a change goes on trying; defaults argued in docs/design/configuration.md.
struct change_settings {
    utils::duration limit = std::chrono::seconds(5); ///< then the operator hears how it stands
    utils::duration retryFirst = std::chrono::milliseconds(50); ///< doubles with each failure
    utils::duration retryMost = std::chrono::seconds(1);
};

/// Takes one change into the head so that its outcome is told right whatever is lost on the way: Accepted
/// and Unchanged only when the head shows it, Refused only when no write of it can take effect any more.
/// Steps: share/lycheefront/charts/config_change.yaml.
///
/// Load: two calls for a change that nobody races. Without the id in the head's history an operator whose
/// answer was lost would be told "failed" about a change in force, or would apply it again on top of
/// somebody else's. Sans-IO; not thread safe.
class config_change : public utils::chart_machine<config_change, change_action> {
public:
    /// Preconditions: `chart` is config_change.yaml, passed checkChart and outlives this.
    config_change(const utils::state_chart& chart, const change_settings& settings, change_request request);

    change_actions start(utils::time_point now);
    /// Precondition: the snapshot is not null.
    change_actions onSnapshot(const snapshot_pointer& snapshot, utils::time_point now);
    change_actions onReadFailed(utils::time_point now);
    change_actions onWritten(write_outcome outcome, utils::time_point now);
    change_actions onTimer(utils::time_point now);

    static const action_table& table();

private:
    void armLimit(utils::time_point now);
    void readHead(utils::time_point now);
    void writeHead(utils::time_point now);
    void retryLater(utils::time_point now);
    void acceptFound(utils::time_point now);
    void acceptWritten(utils::time_point now);
    void finishUnchanged(utils::time_point now);
    void finishRefused(utils::time_point now);
    void finishUnknown(utils::time_point now);
    void refusePlatformDown(utils::time_point now);

    std::string_view eventOf(const config_snapshot& snapshot);
    void finish(change_outcome outcome) { emit(finish_change { std::move(outcome) }); }

    change_settings m_settings;
    change_request m_request;
    plan_outcome m_plan;
    std::optional<change_record> m_found;
    /// The head that a doubtful write expects, and its revision.
    std::optional<std::int64_t> m_doubtfulModRevision;
    utils::config_revision m_doubtfulRevision = 0;
    utils::time_point m_limit;
    utils::duration m_retryDelay;
};

} // namespace config
