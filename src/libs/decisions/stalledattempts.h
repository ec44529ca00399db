#pragma once

#include "utils/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace decisions {

/// Why an attempt that receives no data is not replaced.
enum class stall_reason {
    NoRetryLeft, ///< the service's budget of retries is used up
    OthersFirst, ///< what is left of the budget goes to more urgent attempts, or to older ones
    NoServer, ///< no other server is known to run and may take it
    Connecting, ///< a connection to the replacement is being opened
    NoPeer, ///< this node is cut off, and no peer can take it
    NotAdmitted, ///< prompts like it are suspect of crashing servers
    Count_
};

/// Returns the name used in logs and metrics. Thread safe.
std::string_view toString(stall_reason reason);

/// What is known of a server that might replace a silent one.
struct replacement_query {
    utils::duration silentFor {}; ///< of the server to be replaced
    std::optional<utils::duration> quietFor; ///< of the candidate; nothing: no request waits there
    unsigned othersHeard = 0; ///< further servers that sent data since the silence began
    unsigned othersQuiet = 0; ///< further servers that did not, though requests wait there
};

/// Whether the candidate has sent data while the other server was silent. Thread safe.
bool isKnownToRun(const replacement_query& query);
/// Whether the candidate is likely to go on while the other server is silent. Where most servers fall silent
/// together, their host or the path to them is at fault, and a server that nothing is heard of is no better.
/// Thread safe.
bool isLikelyToRun(const replacement_query& query);
/// Whether most of the other servers are silent as well. Thread safe.
bool areMostSilent(const replacement_query& query);

/// Orders the attempts of a node that receive no data by who may be retried on another server first.
///
/// Load: a server, a host, or all servers of a service send nothing for a second, and all their streams stall
/// in the same instant. The retry budget covers a few of them. If each attempt were ended before its retry is
/// certain, the others would be lost although their servers go on a moment later. So an attempt stays until
/// its retry is certain, and the most urgent ones come first, then those that wait longest.
///
/// Servers that fell silent together go on together, but the first data of some arrives earlier than that of
/// others. A retry at that moment replaces an attempt whose server has gone on, so attempts get their time
/// anew after most servers were silent. Not thread safe.
class stalled_attempts {
public:
    /// Records that an attempt receives no data. `number` identifies the request. Precondition: it has not
    /// been recorded, or ended() was called since.
    void stalled(const std::string& service, std::uint64_t number, int urgency, utils::time_point since);
    /// Records that the attempt has received data, or has ended. Without effect if it was not recorded.
    void ended(std::uint64_t number);
    /// Whether the attempt is among those that `retriesLeft` retries suffice for. Precondition: it is
    /// recorded.
    bool mayRetry(std::uint64_t number, double retriesLeft) const;
    /// Records that most servers of the service are silent at `now`.
    void mostSilent(const std::string& service, utils::time_point now);
    /// Whether most servers of the service were silent until less than `settleTime` ago.
    bool isSettling(const std::string& service, utils::time_point now) const;
    /// Number of attempts recorded.
    std::size_t size() const { return m_services.size(); }

    /// Servers that have gone on send data on each of their streams within this time.
    static constexpr utils::duration settleTime = std::chrono::seconds(1);

private:
    struct waiting_attempt {
        int urgency = 0;
        utils::time_point since {};
        std::uint64_t number = 0;
        bool operator==(const waiting_attempt&) const = default;
        bool operator<(const waiting_attempt& other) const
        {
            return std::tie(urgency, since, number) < std::tie(other.urgency, other.since, other.number);
        }
    };
    std::map<std::string, std::set<waiting_attempt>> m_waiting; ///< by service, the first one first
    std::map<std::uint64_t, std::pair<std::string, waiting_attempt>> m_services; ///< by number
    std::map<std::string, utils::time_point> m_mostSilentAt; ///< by service
};

} // namespace decisions
