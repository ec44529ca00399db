#pragma once

#include "membertable.h"
#include "updatequeue.h"

#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace fleet {

/// Identity of this node as announced to other nodes.
struct self_info {
    utils::node_id id;
    std::string address;
    utils::data_centre_id dataCentre;
    std::uint32_t incarnation = 1; ///< above all incarnations of the node's earlier processes
};

/// Parameters of the failure detector. docs/design/membership.md gives the figures behind them.
struct membership_options {
    utils::duration period = std::chrono::milliseconds(500); ///< one regular probe per period
    utils::duration answerTime = std::chrono::milliseconds(
        150); ///< timeout before the probe is repeated directly and through relays
    unsigned relays = 2; ///< number of nodes asked to probe on behalf of this node
    unsigned suspicionRounds = 2; ///< plus log2 of the fleet size: rounds for refuting a suspicion
    unsigned deadProbeRounds = 4; ///< rounds between probes of a dead but listed node
    utils::duration forgetAfter = std::chrono::seconds(60); ///< for dead or left nodes no longer listed
    bool usesRelays = true; ///< disabled in tests that show why relays are needed
    bool forgivesPause = true; ///< disabled in tests that show why pauses must be detected
};

/// A datagram to send, not yet encoded.
struct outgoing_message {
    utils::node_id to;
    std::string address;
    wire::datagram message;
};

/// The answer to a probe sent at `askedAt`: it proves that `node` was running at that time or later.
struct probe_answer {
    utils::node_id node;
    utils::time_point askedAt;
};

/// Fleet membership based on SWIM: direct probes followed by probes through relays, suspicion before a node
/// is declared dead, refutation by a higher incarnation, and graceful leave. Changes are piggybacked on the
/// probes.
///
/// Load: a fleet in which VMs fail daily; the traffic of each node does not depend on the fleet size.
///
/// Sans-IO: takes datagrams and the current time, and returns datagrams to send. Not thread safe.
class membership {
public:
    membership(self_info self, membership_options options, std::uint64_t seed);

    /// Sets the VM list of the region; the entry of this node is ignored.
    void setListed(const std::vector<listed_vm>& list, utils::time_point now);
    /// Handles an authenticated datagram. Returns the probe that it answers, if any.
    std::optional<probe_answer> onMessage(
        const wire::datagram& message, const std::string& from, utils::time_point now);
    /// Sends probes and applies timeouts that are due. Precondition: called at nextTick() or soon after.
    void onTick(utils::time_point now);
    /// Returns when onTick() is due next.
    utils::time_point nextTick() const;

    /// Probes a node immediately, in addition to the regular probes.
    void probe(const utils::node_id& node, utils::time_point now);
    /// Sends a datagram with pending membership updates piggybacked.
    void send(const utils::node_id& to, wire::datagram message);
    /// Announces to the fleet that this node is leaving or has left.
    void announce(member_state state);
    /// Returns the datagrams to send and clears them.
    std::vector<outgoing_message> takeMessages();

    const member_table& members() const { return m_members; }
    const self_info& self() const { return m_self; }
    member_state selfState() const { return m_selfState; }
    const membership_options& options() const { return m_options; }
    /// Records the revision that a member has in force.
    void noteRevision(const utils::node_id& node, utils::config_revision revision);
    /// Records that another node reached, at `at`, a member that is dead or not yet heard in this node's
    /// view.
    void noteHeard(const utils::node_id& node, utils::time_point at);
    /// Returns up to `count` distinct live members chosen at random.
    std::vector<utils::node_id> randomMembers(std::size_t count);
    /// Returns how often this node refuted a suspicion or its own death.
    std::uint64_t refutations() const { return m_refutations; }

private:
    struct pending_probe {
        explicit pending_probe(utils::node_id node, bool detectsFailure = false)
            : target(std::move(node))
            , detects(detectsFailure)
        {
        }

        std::uint64_t nonce = 0;
        utils::node_id target;
        utils::time_point askedAt;
        bool detects = false; ///< without an answer the target becomes a suspect
        bool wasRepeated = false;
        utils::node_id requester; ///< node on whose behalf the probe is sent; empty for this node
        std::uint64_t requesterNonce = 0;
    };

    bool wasPaused(utils::time_point now) const;
    void resetAfterPause(utils::time_point now);
    void startRound(utils::time_point now);
    void startProbe(pending_probe probe, bool wantsMembers, wire::node_tag cursor, utils::time_point now);
    void repeatProbe(pending_probe& probe);
    void askRelays(const pending_probe& probe);
    void expireProbes(utils::time_point now);
    void expireSuspicions(utils::time_point now);
    void syncMembers(utils::time_point now);
    utils::node_id nextTarget();
    void applyPiggyback(const wire::datagram& message, const std::string& from, utils::time_point now);
    void applyUpdate(const wire::member_update& update, utils::time_point now);
    void refute(member_state believed, std::uint32_t incarnation);
    void onPing(const wire::datagram& message, const std::string& from);
    void onProbeRequest(const wire::datagram& message, utils::time_point now);
    std::optional<probe_answer> onAnswer(
        const wire::datagram& message, const utils::node_id& answerer, utils::time_point now);
    void fillBriefs(wire::datagram& answer, wire::node_tag cursor) const;
    void sendTo(const utils::node_id& to, const std::string& address, wire::datagram message);
    wire::member_update selfUpdate() const;
    utils::duration suspicionTime() const;

    self_info m_self;
    membership_options m_options;
    std::mt19937_64 m_random;
    member_table m_members;
    update_queue m_updates;
    member_state m_selfState = member_state::Alive;
    std::vector<pending_probe> m_probes;
    std::vector<utils::node_id> m_order; ///< targets of the next rounds, in reverse order
    std::vector<outgoing_message> m_outgoing;
    utils::time_point m_nextRound;
    utils::time_point m_lastTick;
    bool m_hasStarted = false;
    unsigned m_round = 0;
    unsigned m_syncRounds = 0;
    std::uint64_t m_refutations = 0;
};

} // namespace fleet
