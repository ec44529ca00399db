#pragma once

#include "problem.h"

#include "utils/errorkind.h"
#include "utils/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace config {

/// Write a section with this canonical text.
struct put_section {
    std::string name;
    std::string text;
};
/// Delete a section.
struct delete_section {
    std::string name;
};
/// Approve a team, or take the approval back, in the pool's section. Unlike put_section it says what is to
/// change and not how the section looks after, so it never conflicts with another edit of the section.
struct set_approval {
    utils::pool_id pool;
    utils::team_id team;
    bool isApproved = true;
};
/// Mark a backend server as leaving, or take the mark back.
struct set_leaving {
    utils::server_id server;
    bool isLeaving = true;
};

using section_edit = std::variant<put_section, delete_section, set_approval, set_leaving>;

/// A change that an operator asks for.
struct change_request {
    std::string id; ///< random; the same for every try of the same change, on whatever node
    std::string keyHash; ///< SHA-256 of the operator's key
    std::string firstKeyHash; ///< SHA-256 of the key that may write while there are no operators yet
    std::int64_t wallSeconds = 0; ///< UTC now, for the history
    utils::config_revision baseRevision = 0; ///< the revision that the operator has edited
    bool overwrites = false; ///< write sections that were changed after the base, too
    std::vector<section_edit> edits;
};

/// How a change ended.
enum class change_verdict {
    Accepted, ///< in the head at `revision`
    Unchanged, ///< the configuration already is as wanted, at `revision`
    Refused, ///< surely without effect; `failure` says why
    Unknown ///< neither can be said: the service failed and the head's history does not reach back
};

struct change_outcome {
    change_verdict verdict = change_verdict::Refused;
    utils::config_revision revision = 0;
    utils::failure failure;
    std::vector<problem> problems; ///< of an invalid document
    std::string diff; ///< of a conflict: from the present section to the wanted one
    std::vector<std::string> sections; ///< that the change writes
};

} // namespace config
