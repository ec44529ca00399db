#pragma once

#include "wire/datagram.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <string>

namespace fleet {

using wire::member_state;

/// An entry of the platform's list of VMs in this node's region. The list lags behind the actual state.
struct listed_vm {
    utils::node_id id;
    std::string address; ///< "ip:port" of the VM's datagram socket
    utils::data_centre_id dataCentre;
    bool isLeaving = false;

    bool operator==(const listed_vm&) const = default;
};

/// What this node knows about another node.
struct member {
    utils::node_id id;
    wire::node_tag tag = 0;
    std::string address;
    utils::data_centre_id dataCentre;
    member_state state = member_state::Listed;
    std::uint32_t incarnation = 0;
    utils::time_point stateSince;
    utils::time_point silentSince; ///< when first suspected, or listed without having been heard
    utils::time_point liveSince; ///< when it last became live
    bool isListed = false;
    bool isListedLeaving = false;
    bool wasHeard = false; ///< a datagram sent by the member itself was received
    utils::config_revision revisionInForce = 0;

    /// Returns whether the member may be running; a suspect counts as live until it is declared dead. Thread
    /// safe.
    bool isLive() const
    {
        return state == member_state::Alive || state == member_state::Leaving
            || state == member_state::Suspect;
    }
    /// Returns whether the member can be a home. Thread safe.
    bool mayBeHome() const
    {
        return (state == member_state::Alive || state == member_state::Suspect) && !isListedLeaving;
    }
};

/// Returns the name for status pages, such as "suspect". Precondition: state is not Count_. Thread safe.
std::string_view toString(member_state state);

} // namespace fleet
