#pragma once

#include "confighead.h"
#include "document.h"
#include "documentparser.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace config {

/// The whole configuration at one head. Immutable; shared between threads.
struct config_snapshot {
    config_head head;
    std::int64_t headModRevision = 0; ///< of the head's key in the service; 0: there is none yet
    section_entries entries;
    section_texts texts;
    std::shared_ptr<const document> whole = std::make_shared<document>();
};

using snapshot_pointer = std::shared_ptr<const config_snapshot>;

/// One changed section, text empty if it was deleted.
struct section_update {
    std::string name;
    section_entry entry;
    std::string text;
};

/// What leads from an earlier snapshot to a later one; what nodes hand each other.
struct snapshot_delta {
    config_head head;
    std::int64_t headModRevision = 0;
    std::vector<section_update> updates;
};

/// The sections changed after `since`. Thread safe.
snapshot_delta deltaSince(const config_snapshot& snapshot, utils::config_revision since);
/// The snapshot after the delta. Null if the result is not what the delta's head names, so that bytes from
/// another node, or a delta that starts too late, cannot bring a mixed configuration into force. Thread
/// safe.
snapshot_pointer applyDelta(const config_snapshot& from, const snapshot_delta& delta);
/// JSON, for the way between nodes. Thread safe.
std::string encode(const snapshot_delta& delta);
/// Inverse of encode; nothing for text that is no delta. Thread safe.
std::optional<snapshot_delta> decodeDelta(std::string_view text);

/// The encoded list of one bucket. Thread safe.
std::string bucketText(const section_entries& entries, std::size_t bucket);
/// The name under which a bucket's hash is made. Thread safe.
std::string bucketName(std::size_t bucket);

} // namespace config
