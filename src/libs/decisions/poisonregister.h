#pragma once

#include "utils/time.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace decisions {

/// Digest of a request's team and body: the same however often its caller sends it.
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

/// First half of SHA-256 of the body: an attacker must not be able to make another team's request look
/// like a poison one, so a fast hash would not do. Thread safe.
body_digest digestOf(std::string_view body);

/// One crash of a server with this request in flight. Travels on the fleet's digests.
struct poison_strike {
    body_digest digest;
    std::uint64_t crash = 0; ///< names the crash: hash of server and of its incarnation or crash time
    bool wasAlone = false; ///< nothing else was in flight: the request did it
    bool isCleared = false; ///< the request has run to its end since
    utils::duration remaining {}; ///< lifetime left when sent

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
    RunAlone, ///< a suspect: only on a server with nothing else in flight
    Refuse ///< PoisonRequest, at once
};

/// Settings of the poison register.
struct poison_limits {
    unsigned crashes = 2; ///< refused from this crash on: the first names suspects, the second convicts
    /// Refused from this many crashes on though never alone; 0: never. For fleets whose engines always run
    /// many requests, where no suspect is ever alone: so many crashes without an end between are no chance.
    unsigned sharedCrashes = 0;
    utils::duration lifetime = std::chrono::minutes(30); ///< engines get fixed and replaced
    std::size_t maxStrikes = 4096; ///< 64 bytes each; the oldest go first
    std::size_t massFailureCrashes
        = 3; ///< crashes: a request is in one server, so three at once have another cause
    utils::duration massFailureWindow = std::chrono::seconds(2);
};

/// Stops requests that crash the engines that run them, fleet-wide, without refusing the innocent.
///
/// Load: one request crashes each engine that runs it, and its caller sends it again. Without this one
/// caller takes down the pool engine by engine, and every chat in flight there is cut.
/// A crash makes every request in flight a suspect. Suspects run alone, so a second crash convicts exactly
/// one; an innocent suspect that runs to its end is cleared. At most two engines are lost to a poison
/// request (three when two nodes run it before either heard of the other's crash). A request is refused only
/// if it crashed an engine alone, so no innocent one is ever refused for its neighbour. When several servers
/// fail at once (rack, data centre) a digest struck once is no suspect: else hundreds of innocent requests
/// would queue for the few lanes of suspects. Strikes merge by union, with the shorter lifetime: commutative
/// and idempotent, and the lifetime cannot grow by being passed around. Lapsed strikes are remembered for as
/// long again, so that a peer whose clock runs a little behind cannot bring them back. Not thread safe.
class poison_register {
public:
    explicit poison_register(const poison_limits& limits = {});

    /// A server has crashed with these in flight. `crash` names this crash alone, fleet-wide. `isExclusive`:
    /// other nodes had nothing in flight there, so that a single digest was alone.
    void crashed(std::uint64_t crash, const std::vector<body_digest>& inFlight, utils::time_point now,
        bool isExclusive = true);
    /// The request ran to its end: its strikes with others in flight are cleared, here and by merging
    /// elsewhere.
    void completed(const body_digest& digest, utils::time_point now);
    /// What to do with a request of that digest.
    poison_verdict check(const body_digest& digest, utils::time_point now) const;
    /// Time until a refused digest may run again; for logs, the refusal itself is final.
    utils::duration refusedFor(const body_digest& digest, utils::time_point now) const;

    /// The strikes to send to peers, freshest first, at most `limit`.
    std::vector<poison_strike> strikes(utils::time_point now, std::size_t limit) const;
    /// Takes in strikes of peers.
    void merge(const std::vector<poison_strike>& strikes, utils::time_point now);
    /// Forgets what has lapsed. Call every second or so.
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
        utils::time_point expiresAt; ///< kept as long again after this, so that no peer brings it back
    };
    void add(const strike_key& key, const strike_state& strike);
    void dropOldest();
    bool isInMassFailure(const strike_state& strike) const;

    poison_limits m_limits;
    std::map<strike_key, strike_state> m_strikes;
};

} // namespace decisions
