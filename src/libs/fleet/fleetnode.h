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

/// What a node's part in the fleet needs to know at start.
struct fleet_settings {
    utils::node_id id;
    std::string address; ///< "ip:port" of the datagram socket, as the others reach it
    utils::data_centre_id dataCentre;
    std::string currentKey; ///< of the fleet; not empty
    std::string previousKey; ///< still accepted during a rotation; may be empty
    std::uint64_t bootId = 0; ///< grows from start to start: microseconds of the wall clock
    membership_options membership;
    currency_options currency;
    config_spread_options spread;
    home_handover_options handover;
    utils::duration digestLifetime = std::chrono::seconds(60);
    utils::duration leaveTime = std::chrono::seconds(30); ///< then it leaves whatever runs
};

/// Bytes for the datagram socket.
struct outgoing_datagram {
    std::string address; ///< "ip:port"
    std::string bytes;
};

/// The node answers its health checks accordingly from now on.
struct become_ready { };
struct become_unready { };
/// Everything is handed over or the time is up, and the others were told: the process may end.
struct has_left { };

using fleet_action = std::variant<fetch_from_peer, read_document, watch_head, unwatch_head, read_head,
    become_ready, become_unready, has_left>;

/// How far a revision has come, for the answer to an operator's change.
struct acknowledgement {
    std::size_t witnesses = 0; ///< that have it in force
    std::size_t witnessesListed = 0;
    std::size_t nodes = 0; ///< live members that have it in force, with this one
    std::size_t nodesLive = 0;

    bool isMajority() const { return 2 * witnesses > witnessesListed; }
    bool isEverywhere() const { return nodes == nodesLive; }
};

/// Counters for metrics.
struct fleet_counters {
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0; ///< of the datagrams; IP and UDP add 28 bytes to each
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesReceived = 0;
};

/// One node's part in the fleet: membership, currency, digests, homes and their handover, spread of the
/// configuration. The daemon passes events in with the present time, then sends takeDatagrams() and
/// carries out takeActions() after each. No network, no clock, no thread of its own; not thread safe.
class fleet_node {
public:
    /// Precondition: `chart` is share/lycheefront/charts/node.yaml and outlives this.
    fleet_node(const fleet_settings& settings, const utils::state_chart& chart, std::uint64_t seed);

    /// The platform's list of live and leaving VMs of this region, this node's among them.
    void setListed(const std::vector<listed_vm>& list, utils::time_point now);
    void onDatagram(std::string_view bytes, const std::string& from, utils::time_point now);
    void onTick(utils::time_point now);
    /// When onTick is due next.
    utils::time_point nextTick() const;

    /// The head was read, or a watch told of it, at that revision; the call began at `startedAt`. A watch
    /// that tells of a change passes the time at which it was told.
    void onHead(utils::config_revision revision, utils::time_point startedAt, utils::time_point now);
    /// Whether a document may be put in force: never one before that in force.
    bool mayAdopt(utils::config_revision revision) const { return m_spread.mayAdopt(revision); }
    /// A document is in force here. Precondition: mayAdopt(revision).
    void onDocumentInForce(utils::config_revision revision, utils::time_point now);
    /// fetch_from_peer did not bring the document.
    void onFetchFailed(const utils::node_id& peer, utils::time_point now);
    /// Asks who has a revision in force, witnesses first, at a bounded rate, until all have it.
    void confirm(utils::config_revision revision, utils::time_point now);
    /// What is known of it so far.
    acknowledgement acknowledged(utils::config_revision revision, utils::time_point now) const;

    /// The backend servers of the configuration in force.
    void setServers(const std::vector<homed_server>& servers, utils::time_point now);
    /// Requests that this node has in flight at that server.
    void setInFlight(const utils::server_id& server, unsigned count, utils::time_point now);
    /// Publishes or renews a small fact for all nodes; see digest_store.
    void publish(
        wire::digest_kind kind, const std::string& key, const std::string& value, utils::time_point now);
    /// Stops taking new work and hands over; has_left comes when it is done.
    void leave(utils::time_point now);

    /// To be asked immediately before bytes go out, not when a request was queued.
    bool isCurrent(utils::time_point now) const { return m_currency.isCurrent(now); }
    currency_reason reason(utils::time_point now) const { return m_currency.reason(now); }
    double capShare(utils::time_point now) const { return m_currency.capShare(now); }
    /// Which part of that server's cap this node may use now; 0 unless it is its home and all who may
    /// have been have answered.
    double shareOf(const utils::server_id& server, utils::time_point now) const;

    const home_map& homes() const { return m_homes; }
    const home_handover& handover() const { return m_handover; }
    const membership& members() const { return m_membership; }
    const currency& evidence() const { return m_currency; }
    const digest_store& digests() const { return m_digests; }
    const config_spread& spread() const { return m_spread; }
    const wire::datagram_codec& codec() const { return m_codec; }
    const fleet_counters& counters() const { return m_counters; }
    /// State of share/lycheefront/charts/node.yaml.
    const std::string& state() const { return m_position.state(); }

    /// Bytes to send, once.
    std::vector<outgoing_datagram> takeDatagrams();
    /// Actions to carry out, once.
    std::vector<fleet_action> takeActions();

private:
    void begin(utils::time_point now);
    void finish(utils::time_point now);
    void takeEvidence(const wire::datagram& message, const probe_answer& answer);
    void updateViews(utils::time_point now);
    void updateState(utils::time_point now);
    void continueConfirming(utils::time_point now);
    void sendHandovers();
    void announceRevision(const std::vector<utils::node_id>& peers);
    void encode(utils::time_point now);
    void decorate(wire::datagram& message, utils::time_point now);
    std::vector<wire::evidence> evidenceFor(utils::time_point now) const;
    void take(std::string_view event);
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

    std::uint64_t m_viewVersion = noVersion; ///< of the members that homes and peers were made from
    bool m_isListedLeaving = false;
    bool m_wasCurrent = false;
    utils::time_point m_leaveBy = utils::time_point::max();
    utils::config_revision m_confirming = 0;
    utils::time_point m_nextConfirm;
    unsigned m_confirmTurn = 0;
    utils::time_point m_nextReview;
    std::vector<outgoing_datagram> m_datagrams;
    std::vector<fleet_action> m_actions;
    fleet_counters m_counters;
};

} // namespace fleet
