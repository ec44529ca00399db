#pragma once

#include "configspread.h"
#include "currency.h"
#include "digeststore.h"
#include "homehandover.h"
#include "homemap.h"
#include "membership.h"

#include "wire/datagramcodec.h"

#include "utils/statechart.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fleet {

/// Settings of a fleet_node.
struct fleet_settings {
    utils::node_id id;
    std::string address; ///< "ip:port" of the datagram socket, as reachable from other nodes
    utils::data_centre_id dataCentre;
    std::string currentKey; ///< authentication key of the fleet; not empty
    std::string previousKey; ///< still accepted during a rotation; may be empty
    std::uint64_t bootId = 0; ///< increases with each start: wall clock time in microseconds
    membership_options membership;
    currency_options currency;
    config_spread_options spread;
    home_handover_options handover;
    utils::duration digestLifetime = std::chrono::seconds(60);
    utils::duration leaveTime = std::chrono::seconds(30); ///< drain timeout, even with requests in flight
};

/// An encoded datagram to send.
struct outgoing_datagram {
    std::string address; ///< "ip:port"
    std::string bytes;
};

/// Actions: report ready or not ready to health checks.
struct become_ready { };
struct become_unready { };
/// Action: the node has handed over everything or reached the drain timeout, and has announced that it left;
/// the process may exit.
struct has_left { };

using fleet_action = std::variant<fetch_from_peer, read_document, watch_head, unwatch_head, read_head,
    become_ready, become_unready, has_left>;

/// How many nodes have a revision in force; reported in the response to an operator's change.
struct acknowledgement {
    std::size_t witnesses = 0; ///< witnesses that have it in force
    std::size_t witnessesListed = 0;
    std::size_t nodes = 0; ///< live members that have it in force, including this node
    std::size_t nodesLive = 0;

    bool isMajority() const { return 2 * witnesses > witnessesListed; }
    bool isEverywhere() const { return nodes == nodesLive; }
};

/// Traffic counters for metrics.
struct fleet_counters {
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0; ///< of the datagrams; IP and UDP add 28 bytes to each
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesReceived = 0;
};

/// A member of the fleet: combines membership, currency, digests, homes and their handover, and the
/// distribution of the configuration. The caller passes in events with the current time and, after each,
/// sends takeDatagrams() and executes takeActions(). Sans-IO: no network, clock or thread; not thread safe.
class fleet_node {
public:
    /// Precondition: `chart` is share/lycheefront/charts/node.yaml and outlives this.
    fleet_node(const fleet_settings& settings, const utils::state_chart& chart, std::uint64_t seed);

    /// Sets the platform's list of live and leaving VMs of this region, which includes this node's VM.
    void setListed(const std::vector<listed_vm>& list, utils::time_point now);
    void onDatagram(std::string_view bytes, const std::string& from, utils::time_point now);
    void onTick(utils::time_point now);
    /// Returns when onTick() is due next.
    utils::time_point nextTick() const;

    /// Called when a read or watch reports the head at `revision`. `startedAt` is the time at which the read
    /// began, or at which the watch reported the change.
    void onHead(utils::config_revision revision, utils::time_point startedAt, utils::time_point now);
    /// Returns whether a document may be put in force; only a revision newer than the current one may.
    bool mayAdopt(utils::config_revision revision) const { return m_spread.mayAdopt(revision); }
    /// Called when a document was put in force. Precondition: mayAdopt(revision).
    void onDocumentInForce(utils::config_revision revision, utils::time_point now);
    /// Called when a fetch_from_peer action failed.
    void onFetchFailed(const utils::node_id& peer, utils::time_point now);
    /// Probes the nodes that do not yet report `revision` in force, witnesses first and at a bounded rate,
    /// until all live members have it.
    void confirm(utils::config_revision revision, utils::time_point now);
    /// Returns which nodes are known to have `revision` in force.
    acknowledgement acknowledged(utils::config_revision revision, utils::time_point now) const;

    /// Sets the backend servers of the configuration in force.
    void setServers(const std::vector<homed_server>& servers, utils::time_point now);
    /// Sets the number of requests that this node has in flight at a server.
    void setInFlight(const utils::server_id& server, unsigned count, utils::time_point now);
    /// Publishes or renews a fact for all nodes; see digest_store.
    void publish(
        wire::digest_kind kind, const std::string& key, const std::string& value, utils::time_point now);
    /// Drains the node: it hands over its servers and admits nothing new. Ends with a has_left action.
    void leave(utils::time_point now);

    /// Must be checked immediately before bytes are sent, not when a request is queued.
    bool isCurrent(utils::time_point now) const { return m_currency.isCurrent(now); }
    currency_reason reason(utils::time_point now) const { return m_currency.reason(now); }
    double capShare(utils::time_point now) const { return m_currency.capShare(now); }
    /// Returns the share of a server's cap that this node may use now. It is 0 unless this node is the
    /// server's home and all other possible homes have answered or their evidence has expired.
    double shareOf(const utils::server_id& server, utils::time_point now) const;

    const home_map& homes() const { return m_homes; }
    const home_handover& handover() const { return m_handover; }
    const membership& members() const { return m_membership; }
    const currency& evidence() const { return m_currency; }
    const digest_store& digests() const { return m_digests; }
    const config_spread& spread() const { return m_spread; }
    const wire::datagram_codec& codec() const { return m_codec; }
    const fleet_counters& counters() const { return m_counters; }
    /// Returns the current state in share/lycheefront/charts/node.yaml.
    const std::string& state() const { return m_position.state(); }

    /// Returns the datagrams to send and clears them.
    std::vector<outgoing_datagram> takeDatagrams();
    /// Returns the pending actions and clears them.
    std::vector<fleet_action> takeActions();

private:
    void beginEvent(utils::time_point now);
    void finishEvent(utils::time_point now);
    void recordEvidence(const wire::datagram& message, const probe_answer& answer);
    void updateViews(utils::time_point now);
    void updateState(utils::time_point now);
    void continueConfirming(utils::time_point now);
    void sendHandovers();
    void announceRevision(const std::vector<utils::node_id>& peers);
    void encode(utils::time_point now);
    void addPiggyback(wire::datagram& message, utils::time_point now);
    std::vector<wire::evidence> collectEvidence(utils::time_point now) const;
    void handleStateEvent(std::string_view event);
    utils::duration silence() const;

    fleet_settings m_settings;
    wire::datagram_codec m_codec;
    membership m_membership;
    currency m_currency;
    digest_store m_digests;
    config_spread m_spread;
    home_map m_homes;
    home_handover m_handover;
    utils::chart_position m_position;
    static constexpr std::uint64_t noVersion = ~std::uint64_t { 0 };

    std::uint64_t m_viewVersion = noVersion; ///< version of the members used for homes and peers
    bool m_isListedLeaving = false;
    bool m_wasCurrent = false;
    utils::time_point m_leaveDeadline = utils::time_point::max();
    utils::config_revision m_confirming = 0;
    utils::time_point m_nextConfirm;
    unsigned m_confirmTurn = 0;
    utils::time_point m_nextReview;
    std::vector<outgoing_datagram> m_datagrams;
    std::vector<fleet_action> m_actions;
    fleet_counters m_counters;
};

} // namespace fleet
