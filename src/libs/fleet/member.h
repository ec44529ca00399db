#pragma once

#include "wire/datagram.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <string>

namespace fleet {

using wire::member_state;

/// One row of the platform's lagging list of VMs, of this node's region.
struct listed_vm {
    utils::node_id id;
    std::string address; ///< "ip:port" of its datagram socket
    utils::data_centre_id dataCentre;
    bool isLeaving = false;

    bool operator==(const listed_vm&) const = default;
};

/// What this node knows of another.
struct member {
    utils::node_id id;
    wire::node_tag tag = 0;
    std::string address;
    utils::data_centre_id dataCentre;
    member_state state = member_state::Listed;
    std::uint32_t incarnation = 0;
    utils::time_point stateSince;
    utils::time_point silentSince; ///< when it was first suspected, or listed without being heard
    utils::time_point liveSince; ///< when it last came (back) to work
    bool isListed = false;
    bool isListedLeaving = false;
    bool wasHeard = false; ///< a datagram of its own has arrived here
    utils::config_revision revisionInForce = 0;

    /// Whether it may be at work: suspects are, until they are dead. Thread safe.
    bool isLive() const
    {
        return state == member_state::Alive || state == member_state::Leaving
            || state == member_state::Suspect;
    }
    /// Whether it may be the home of anything. Thread safe.
    bool mayBeHome() const
    {
        return (state == member_state::Alive || state == member_state::Suspect) && !isListedLeaving;
    }
};

/// Name for status pages, e.g. "suspect". Precondition: state is not Count_. Thread safe.
std::string_view toString(member_state state);

} // namespace fleet
