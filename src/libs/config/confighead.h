#pragma once

#include "utils/ids.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace config {

/// Sections are listed in so many lists, each a value of its own. One list of 8,800 sections would be
/// 0.6 MB, written again for every change of one section; a 128th of it is a few kilobytes.
inline constexpr std::size_t bucketCount = 128;

/// Changes that the head remembers. Only a change whose write was ambiguous is looked for, within seconds
/// of the write; 64 changes a second pass a rate no fleet has.
inline constexpr std::size_t historyLength = 64;

/// One accepted change.
struct change_record {
    std::string id; ///< random, given by whoever asked for the change
    std::string who; ///< operator
    utils::config_revision revision = 0;
    std::int64_t wallSeconds = 0; ///< UTC, by the accepting node's clock
    std::vector<std::string> sections; ///< the first few
    std::size_t sectionCount = 0;

    bool operator==(const change_record&) const = default;
};

/// The one value that a change moves by compare-and-swap. The lists and sections it names by hash never
/// change, so whoever holds a head holds the whole configuration of its revision.
struct config_head {
    utils::config_revision revision = 0;
    std::array<std::string, bucketCount> buckets; ///< hash of each list; empty for an empty list
    std::vector<change_record> history; ///< oldest first

    /// The record of a change, or null. Thread safe.
    const change_record* findChange(std::string_view id) const;

    bool operator==(const config_head&) const = default;
};

/// What a list says about one section.
struct section_entry {
    std::string hash; ///< empty: deleted; kept so that an old edit cannot bring the section back unnoticed
    utils::config_revision changedAt = 0;

    bool operator==(const section_entry&) const = default;
};

using section_entries = std::map<std::string, section_entry>;

/// The list that a section stands in. Thread safe.
std::size_t bucketOf(std::string_view section);
/// Hash of a list or section text. The name goes in, so that two sections with equal texts have values of
/// their own and one may be deleted without the other. Thread safe.
std::string blobHash(std::string_view name, std::string_view text);

/// JSON. Thread safe.
std::string encode(const config_head& head);
/// Inverse of encode; nothing for text that is no head. Thread safe.
std::optional<config_head> decodeHead(std::string_view text);
/// A line for each section. Thread safe.
std::string encode(const section_entries& bucket);
/// Inverse of encode; nothing for text that is no list. Thread safe.
std::optional<section_entries> decodeBucket(std::string_view text);

} // namespace config
