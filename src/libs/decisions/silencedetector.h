#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <map>

namespace decisions {

/// Which backend servers have fallen silent: requests wait there and nothing at all comes.
///
/// Load: a server that goes dark without closing its connections. Bytes go out to it without an error, so
/// each request of each node waits there until its caller leaves, for as long as the server is dark. A
/// server that runs is heard all the time: the events of other streams, other answers. Nothing from it
/// for longer than a first byte takes is therefore a sign about the server, long before it is one about a
/// single request, which may wait behind others. An engine that reads a long prompt with nothing else to do
/// is given the time that this takes. New requests go elsewhere until it is heard again; nothing is ended by
/// this alone, so a mistake costs a little affinity. Not thread safe.
class silence_detector {
public:
    /// Part of a route's target for a first byte after which silence of a plain service is a sign: what is
    /// then sent elsewhere can still be on time.
    static constexpr double plainTargetShare = 0.6;
    /// The same of an engine.
    static constexpr double engineTargetShare = 1.0;
    /// Never sooner: the slowest in a hundred short answers takes some 300 ms.
    static constexpr utils::duration minLimit = std::chrono::milliseconds(400);

    /// How long a server may be silent under a request with that target.
    static utils::duration limitFor(utils::duration target, bool isEngine);

    /// A request was sent; the server may rightly say nothing for `prefill`, the time it takes for the
    /// prompt. Precondition: the requestId is new.
    void requestSent(const utils::server_id& server, std::uint64_t requestId, utils::duration limit,
        utils::duration prefill, utils::time_point now);
    /// Something came from the server.
    void dataReceived(const utils::server_id& server, utils::time_point now);
    /// The request's prompt is read.
    void prefillFinished(const utils::server_id& server, std::uint64_t requestId);
    /// The request has ended, however.
    void requestEnded(const utils::server_id& server, std::uint64_t requestId);

    /// `peerPrefill`: the same as for requestSent(), of prompts that other nodes have sent there.
    bool isSilent(const utils::server_id& server, utils::time_point now,
        utils::duration peerPrefill = utils::duration::zero()) const;
    /// When it was last heard; the epoch when nothing is under way there.
    utils::time_point lastHeard(const utils::server_id& server) const;
    /// How long it may say nothing for the longest prompt that it has yet to read.
    utils::duration longestPrefill(const utils::server_id& server) const;

private:
    struct waiting_request {
        utils::time_point sentAt {};
        utils::duration limit {};
        utils::duration prefill {};
    };
    struct server_state {
        utils::time_point heardAt {};
        std::map<std::uint64_t, waiting_request> waiting;
    };
    std::map<utils::server_id, server_state> m_servers;
};

} // namespace decisions
