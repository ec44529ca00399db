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
class server_silence {
public:
    /// Part of a route's target for a first byte after which silence of a plain service is a sign: what is
    /// then sent elsewhere can still be on time.
    static constexpr double plainShare = 0.6;
    /// The same of an engine.
    static constexpr double engineShare = 1.0;
    /// Never sooner: the slowest in a hundred short answers takes some 300 ms.
    static constexpr utils::duration least = std::chrono::milliseconds(400);

    /// How long a server may be silent under a request with that target.
    static utils::duration limitFor(utils::duration target, bool isEngine);

    /// A request was sent; the server may rightly say nothing for `reading`, the time it takes for the
    /// prompt. Precondition: the number is new.
    void sent(const utils::server_id& server, std::uint64_t number, utils::duration limit,
        utils::duration reading, utils::time_point now);
    /// Something came from the server.
    void heard(const utils::server_id& server, utils::time_point now);
    /// The request's prompt is read.
    void promptRead(const utils::server_id& server, std::uint64_t number);
    /// The request has ended, however.
    void ended(const utils::server_id& server, std::uint64_t number);

    /// `othersReading`: the same as for sent(), of prompts that other nodes have sent there.
    bool isSilent(const utils::server_id& server, utils::time_point now,
        utils::duration othersReading = utils::duration::zero()) const;
    /// When it was last heard; the epoch when nothing is under way there.
    utils::time_point lastHeard(const utils::server_id& server) const;
    /// How long it may say nothing for the longest prompt that it has yet to read.
    utils::duration longestReading(const utils::server_id& server) const;

private:
    struct waiting_request {
        utils::time_point sentAt {};
        utils::duration limit {};
        utils::duration reading {};
    };
    struct server_state {
        utils::time_point heardAt {};
        std::map<std::uint64_t, waiting_request> waiting;
    };
    std::map<utils::server_id, server_state> m_servers;
};

} // namespace decisions
