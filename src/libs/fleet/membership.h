#pragma once

#include "membertable.h"
#include "updatequeue.h"

#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace fleet {

/// This node, as it presents itself to the others.
struct self_info {
    utils::node_id id;
    std::string address;
    utils::data_centre_id dataCentre;
    std::uint32_t incarnation = 1; ///< above those of the node's earlier processes
};

/// Times of the failure detector. docs/design/membership.md gives the figures behind them.
struct membership_options {
    utils::duration period = std::chrono::milliseconds(500); ///< one probe each
    utils::duration answerTime = std::chrono::milliseconds(150); ///< then again, and through others
    unsigned relays = 2; ///< nodes asked to probe in this node's place
    unsigned suspicionRounds = 2; ///< plus log2 of the fleet: time to refute a suspicion
    unsigned deadProbeRounds = 4; ///< every so many rounds a dead but listed node is tried
    utils::duration forgetAfter = std::chrono::seconds(60);
    bool usesRelays = true; ///< off in tests that prove what the relays are for
    bool forgivesPause = true; ///< off in tests that prove what the check for a pause is for
};

/// A datagram on its way out.
struct outgoing_message {
    utils::node_id to;
    std::string address;
    wire::datagram message;
};

/// A node answered a probe that left here at `askedAt`: it was at work at that time or later.
struct probe_answer {
    utils::node_id node;
    utils::time_point askedAt;
};

/// Who is in the fleet: probes in the manner of SWIM (direct, then through others), suspicion before
/// death, refutation by incarnation, graceful leave; changes ride on the probes. Answers the load of a
/// fleet in which machines fail daily: each node's traffic is the same at every fleet size.
///
/// Sans-IO: datagrams and the time go in, datagrams come out. Not thread safe.
class membership {
public:
    membership(self_info self, membership_options options, std::uint64_t seed);

    /// Takes the VM list of the region; this node's own row is ignored.
    void setListed(const std::vector<listed_vm>& list, utils::time_point now);
    /// Takes a datagram that passed authentication; the answered probe, if it answers one.
    std::optional<probe_answer> onMessage(
        const wire::datagram& message, const std::string& from, utils::time_point now);
    /// Does what is due. Precondition: called at nextTick() or soon after.
    void onTick(utils::time_point now);
    /// When onTick is due next.
    utils::time_point nextTick() const;

    /// Probes a node at once, besides the regular ones.
    void probe(const utils::node_id& node, utils::time_point now);
    /// Sends a datagram with the usual news on it.
    void send(const utils::node_id& to, wire::datagram message);
    /// Tells everyone that this node takes nothing new, or has left.
    void announce(member_state state);
    /// The datagrams to send, once.
    std::vector<outgoing_message> takeMessages();

    const member_table& members() const { return m_members; }
    const self_info& self() const { return m_self; }
    member_state selfState() const { return m_selfState; }
    const membership_options& options() const { return m_options; }
    /// Notes which revision a member has in force.
    void noteRevision(const utils::node_id& node, utils::config_revision revision);
    /// Someone reached a member at that time that this node takes for dead or has never heard.
    void noteHeard(const utils::node_id& node, utils::time_point at);
    /// Up to `count` different live members, at random.
    std::vector<utils::node_id> randomMembers(std::size_t count);
    /// Times this node was suspected or declared dead and refuted it.
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
        bool detects = false; ///< no answer makes the target a suspect
        bool wasRepeated = false;
        utils::node_id requester; ///< probes in its place; empty: for itself
        std::uint64_t requesterNonce = 0;
    };

    bool wasPaused(utils::time_point now) const;
    void forgivePause(utils::time_point now);
    void startRound(utils::time_point now);
    void startProbe(pending_probe probe, bool wantsMembers, wire::node_tag cursor, utils::time_point now);
    void repeatProbe(pending_probe& probe);
    void askRelays(const pending_probe& probe);
    void expireProbes(utils::time_point now);
    void expireSuspicions(utils::time_point now);
    void syncMembers(utils::time_point now);
    utils::node_id nextTarget();
    void applyNews(const wire::datagram& message, const std::string& from, utils::time_point now);
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
    std::vector<utils::node_id> m_order; ///< targets of the coming rounds
    std::vector<outgoing_message> m_outgoing;
    utils::time_point m_nextRound;
    utils::time_point m_lastTick;
    bool m_hasStarted = false;
    unsigned m_round = 0;
    unsigned m_syncRounds = 0;
    std::uint64_t m_refutations = 0;
};

} // namespace fleet
