#pragma once

#include "utils/time.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace decisions {

/// Digest of a request's team and body: the same whenever its caller repeats it.
struct body_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool operator==(const body_digest&) const = default;
    bool operator<(const body_digest& other) const
    {
        return high < other.high || (high == other.high && low < other.low);
    }

    template <class Archive> void serialize(Archive& archive) { archive(high, low); }
};

/// First half of the SHA-256 hash of the body. A fast hash is not sufficient: an attacker must not be able
/// to make another team's request look like a poison request. Thread safe.
body_digest digestOf(std::string_view body);

/// A crash of a server with this request in flight. Sent with the fleet's digests.
struct poison_strike {
    body_digest digest;
    /// Identifies the crash: hash of the server and of its incarnation or crash time.
    std::uint64_t crash = 0;
    bool wasAlone = false; ///< nothing else was in flight, so the request caused the crash
    bool isCleared = false; ///< the request has run to its end after the crash
    utils::duration remaining {}; ///< remaining lifetime when sent

    template <class Archive> void serialize(Archive& archive)
    {
        utils::duration::rep microseconds = remaining.count();
        archive(digest, crash, wasAlone, isCleared, microseconds);
        remaining = utils::duration(microseconds);
    }
};

/// What to do with a request.
enum class poison_verdict {
    Run,
    RunAlone, ///< a suspect: runs only on a server with nothing else in flight
    Refuse ///< refused at once as PoisonRequest
};

/// Settings of the poison register.
struct poison_limits {
    /// Number of crashes from which a request is refused: the first one makes suspects, the second one
    /// convicts.
    unsigned crashes = 2;
    /// Refused from this many crashes on, even if the request was never alone; 0: never. For fleets whose
    /// engines always run many requests, where no suspect is ever alone: this many crashes without a
    /// completed run in between are not a coincidence.
    unsigned sharedCrashes = 0;
    utils::duration lifetime = std::chrono::minutes(30); ///< by then engines are fixed or replaced
    std::size_t maxStrikes = 4096; ///< 64 bytes each; the oldest are dropped first
    /// Crashes within massFailureWindow that count as a mass failure: a request runs on one server, so
    /// three crashes at once have another cause.
    std::size_t massFailureCrashes = 3;
    utils::duration massFailureWindow = std::chrono::seconds(2);
};

/// Refuses requests that crash the engines that run them, fleet-wide, without refusing innocent ones.
///
/// Load: one request crashes each engine that runs it, and its caller sends it again. Without the register,
/// this one caller takes down the pool engine by engine, and every chat in flight there is cut.
/// A crash makes every request in flight a suspect. Suspects run alone, so a second crash convicts exactly
/// one request; an innocent suspect that runs to its end is cleared. At most two engines are lost to a
/// poison request (three when two nodes run it before either has heard of the other's crash). Unless
/// sharedCrashes is set, a request is refused only if it crashed an engine alone, so an innocent request is
/// never refused because of another one in flight.
/// When several servers fail at once (rack, data centre), a digest with a single strike is not a suspect:
/// otherwise hundreds of innocent requests would queue for the few slots for suspects.
/// Strikes are merged by union, with the shorter lifetime. The merge is commutative and idempotent, and
/// passing a strike around cannot extend its lifetime. Expired strikes are kept for one more lifetime, so
/// that a peer whose clock is slightly behind cannot bring them back. Not thread safe.
class poison_register {
public:
    explicit poison_register(const poison_limits& limits = {});

    /// Records the crash of a server with these requests in flight. `crash` identifies the crash
    /// fleet-wide. `isExclusive`: other nodes had nothing in flight there, so that a single digest was
    /// alone.
    void crashed(std::uint64_t crash, const std::vector<body_digest>& inFlight, utils::time_point now,
        bool isExclusive = true);
    /// Records that the request ran to its end: its strikes with others in flight are cleared, here and, by
    /// merging, on other nodes.
    void completed(const body_digest& digest, utils::time_point now);
    /// Returns what to do with a request of that digest.
    poison_verdict check(const body_digest& digest, utils::time_point now) const;
    /// Time until a refused digest may run again. For logs; the refusal itself is final.
    utils::duration refusedFor(const body_digest& digest, utils::time_point now) const;

    /// Returns the strikes to send to peers, most recent first, at most `limit`.
    std::vector<poison_strike> strikes(utils::time_point now, std::size_t limit) const;
    /// Merges strikes received from peers.
    void merge(const std::vector<poison_strike>& strikes, utils::time_point now);
    /// Removes expired strikes. Call about every second.
    void expire(utils::time_point now);
    std::size_t size() const { return m_strikes.size(); }

private:
    struct strike_key {
        body_digest digest;
        std::uint64_t crash = 0;
        bool operator<(const strike_key& other) const
        {
            return digest < other.digest || (digest == other.digest && crash < other.crash);
        }
    };
    struct strike_state {
        bool wasAlone = false;
        bool isCleared = false;
        /// Kept for one more lifetime after this, so that no peer brings it back.
        utils::time_point expiresAt;
    };
    void add(const strike_key& key, const strike_state& strike);
    void dropOldest();
    bool isInMassFailure(const strike_state& strike) const;

    poison_limits m_limits;
    std::map<strike_key, strike_state> m_strikes;
};

} // namespace decisions
