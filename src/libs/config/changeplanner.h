#pragma once

#include "changerequest.h"
#include "configsnapshot.h"

#include <map>
#include <set>
#include <string>

namespace config {

/// What to write for a change: new values by hash, values that nobody names any more, and the head.
struct planned_change {
    std::map<std::string, std::string> puts;
    std::set<std::string> deletes;
    config_head head;
    std::int64_t expectedModRevision = 0; ///< of the head's key
    std::vector<section_update> updates; ///< what differs from the snapshot that was planned on
    std::vector<std::string> sections;
};

/// Either a plan, or why there is none.
struct plan_outcome {
    std::optional<planned_change> plan;
    change_outcome verdict; ///< without a plan: Unchanged or Refused
};

/// Works out what a change writes on top of a snapshot: whether the operator may edit the sections, whether
/// another change was there first, whether the whole document would still be sound. Called anew for each
/// snapshot, so that a change that loses a race is rebased: edits of other sections do not hinder it.
/// Thread safe.
plan_outcome planChange(const config_snapshot& snapshot, const change_request& request);

/// The operator whose key it is, or nothing. While there are no operators, the first key is one that owns
/// everything. Thread safe.
std::optional<operator_entry> findOperator(
    const document& whole, std::string_view keyHash, std::string_view firstKeyHash);

} // namespace config
