#pragma once

#include "decisions/offeredwork.h"

#include "wire/shortserialization.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gateway {

/// The work of one urgency in a datagram.
struct urgency_work {
    std::uint8_t urgency = 0;
    float work = 0; ///< slot seconds a second

    template <class Archive> void serialize(Archive& archive) { archive(urgency, work); }
};

/// The work of one workspace in a datagram.
struct named_work {
    std::uint32_t workspace = 0; ///< see workspaceHash()
    float work = 0; ///< slot seconds a second

    template <class Archive> void serialize(Archive& archive) { archive(workspace, work); }
};

/// A datagram about the work that callers of a node offer to one service.
struct work_message {
    std::string node; ///< name of the sender
    std::string service;
    std::vector<urgency_work> byUrgency; ///< without those of no work
    std::vector<named_work> heaviest;
    std::uint32_t otherWorkspaces = 0;

    template <class Archive> void serialize(Archive& archive)
    {
        std::uint8_t marker = firstByte;
        archive(marker);
        wire::detail::serializeShort(archive, node);
        wire::detail::serializeShort(archive, service);
        wire::detail::serializeShort(archive, byUrgency);
        wire::detail::serializeShort(archive, heaviest);
        archive(otherWorkspaces);
    }

    /// Where a heartbeat has the length of its sender's name. The datagram is shorter than that, so a build
    /// that does not know it drops it as an incomplete heartbeat.
    static constexpr std::uint8_t firstByte = 0xfc;
};

/// How workspaces are named between nodes; 0: none. Thread safe.
std::uint32_t workspaceHash(const std::string& name);
/// The datagram with as many of the heaviest workspaces as it has room for; empty if the names alone are too
/// long. Thread safe.
std::string encodeWork(
    const std::string& node, const std::string& service, const decisions::offered_work_update& update);
/// The inverse; values that are no sensible work count as none. Thread safe.
decisions::offered_work_update updateOf(const work_message& message);

} // namespace gateway
