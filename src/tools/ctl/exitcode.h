#pragma once

namespace ctl {

/// What lycheefrontctl leaves with; docs/OPERATIONS.md lists them, and scripts rely on them.
enum class exit_code {
    Done = 0,
    Failed = 1, ///< refused for another reason than those below
    DocumentErrors = 2, ///< the document has errors; each was printed with its place
    Conflict = 3, ///< somebody changed the same section; the difference was printed
    NotAllowed = 4, ///< the key belongs to no operator, or the section to another owner
    Unreachable = 5, ///< no daemon answered, or the platform's service is down; nothing was changed
    OutcomeUnknown = 6, ///< the change may have taken effect; repeat with the change id that was printed
    NotInForce = 7, ///< the change is accepted, but not yet in force on a majority of the nodes
    Usage = 64 ///< the command line is wrong
};

} // namespace ctl
