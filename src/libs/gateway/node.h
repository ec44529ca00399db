#pragma once

#include "gateway/load/crowddirectory.h"
#include "gateway/load/workdirectory.h"
#include "gateway/peers/crashdirectory.h"
#include "gateway/peers/peerforwarder.h"
#include "gateway/peers/peerlink.h"
#include "gateway/peers/peertable.h"
#include "gateway/peers/streamdirectory.h"
#include "gateway/requests/choiceexplanation.h"
#include "gateway/requests/clientsession.h"
#include "gateway/servers/pathprober.h"
#include "gateway/servers/servernotices.h"
#include "gateway/view/originjournal.h"
#include "gateway/view/recordkeeper.h"
#include "gateway/view/viewupdater.h"
#include "nodecontext.h"
#include "textserver.h"

#include "wire/acceptloop.h"
#include "wire/connect.h"
#include "wire/task.h"

#include "decisions/connectiongate.h"

#include "utils/crypto.h"
#include "utils/hashing.h"

#include <list>
#include <memory>
#include <optional>
#include <set>

namespace gateway {

/// One gateway node: serves callers, follows the store and exchanges state with its peers. Not thread safe.
template <wire_protocol Wire, catalogue_codec Codec, writable_store Store> class node {
public:
    node(boost::asio::any_io_executor executor, node_options options)
        : m_context(executor, std::move(options))
        , m_bootId(makeBootId())
        , m_peers(m_context.options.name, wire::toText(m_context.options.peerAddress), m_bootId)
        , m_viewUpdater(m_context, m_peers, [this] { onViewChange(); })
        , m_link(std::make_shared<peer_link>(executor, peerEvents()))
        , m_readiness(
              std::make_shared<text_server>(executor, [this](std::string_view) { return readiness(); }))
        , m_metricsServer(std::make_shared<text_server>(
              executor, [this](std::string_view target) { return answerOperator(target); }))
        , m_forwarder(m_context, m_peers)
        , m_prober(m_context)
        , m_streams(m_context, m_peers)
        , m_crashes(m_context, m_peers)
        , m_notices(m_context, m_peers)
        , m_work(m_context, m_peers)
        , m_crowds(m_context, m_peers)
        , m_versionKeeper(m_context, m_peers, version_record { m_context.versions })
        , m_partKeeper(m_context, m_peers, part_record { m_context.crashingParts })
        , m_originJournal(m_context)
        , m_acceptor(executor)
        , m_forwardAcceptor(executor)
        , m_timer(executor)
        , m_openTimer(executor)
    {
    }

    /// Opens all listeners and starts to serve. Throws boost::system::system_error if an address cannot be
    /// bound.
    void start()
    {
        const auto executor = m_context.executor;
        const auto send = [this](const std::string& address, const std::string& datagram) {
            m_link->sendDatagram(address, datagram);
        };
        m_streams.start(send,
            [this](const std::vector<decisions::stream_origin>& origins) { m_originJournal.add(origins); });
        m_crashes.start(send);
        m_notices.start(send);
        m_work.start(send);
        m_crowds.start(send);
        m_readiness->listen(m_context.options.readinessAddress);
        m_link->listen(m_context.options.peerAddress);
        if (m_context.options.metricsPort != 0)
            m_metricsServer->listen(
                { m_context.options.callerAddress.address(), m_context.options.metricsPort });
        m_acceptor = wire::listenOn(executor, m_context.options.callerAddress);
        if (m_context.options.forwardPort != 0) {
            m_forwardAcceptor = wire::listenOn(
                executor, { m_context.options.peerAddress.address(), m_context.options.forwardPort });
            wire::startTask(executor, "accept_forwarded", acceptForwarded());
        }
        const utils::time_point present = now();
        for (const auto& seed : m_context.options.seeds)
            m_peers.addAddress(wire::toText(seed), present);
        m_context.fleetSize.observe(static_cast<unsigned>(m_peers.knownNodes()), present);
        if (m_peers.knownNodes() == 1)
            m_context.fleetSize.settle();
        wire::startTask(executor, "accept_callers", acceptCallers());
        m_viewUpdater.start(*m_link, originItemEvents());
        wire::startTask(executor, "heartbeat", heartbeatLoop());
    }

    /// Starts the shutdown; calls `onDone` once no request is in progress, at the latest at the end of the
    /// grace period.
    void stop(std::function<void()> onDone)
    {
        if (m_context.window.isStopping())
            return;
        m_context.window.beginStop(now());
        m_onDone = std::move(onDone);
    }

private:
    using session = client_session<Wire>;

    /// Random, since the time of day of a VM may have jumped back between two starts.
    static std::uint64_t makeBootId()
    {
        const std::string bytes = utils::randomBytes(sizeof(std::uint64_t));
        return std::max<std::uint64_t>(1, utils::hash64(bytes));
    }

    peer_events peerEvents()
    {
        peer_events events;
        events.onHeartbeat = [this](const peer_heartbeat& heartbeat) { applyHeartbeat(heartbeat); };
        events.onStreamMessage = [this](const stream_message& message) { m_streams.onMessage(message); };
        events.onCrashMessage = [this](const crash_message& message) { m_crashes.onMessage(message); };
        events.onRestMessage = [this](const rest_message& message) { m_notices.onMessage(message, now()); };
        events.onWorkMessage = [this](const work_message& message) { m_work.onMessage(message, now()); };
        events.onCrowdMessage = [this](const crowd_message& message) { m_crowds.onMessage(message, now()); };
        events.onLoadMessage = [this](const load_message& message) { m_notices.onMessage(message, now()); };
        events.makeCopy = [this](const view_request& request) { return m_viewUpdater.copy(request, now()); };
        return events;
    }

    origin_item_events originItemEvents()
    {
        origin_item_events events;
        events.onRead = [this](const std::vector<store_item>& items) { takeStoredOrigins(items); };
        // The origins of an item that has just changed are known to peers.
        events.onChange = [this](const store_item& item) { m_originJournal.observe(item, now()); };
        return events;
    }

    void takeStoredOrigins(const std::vector<store_item>& items)
    {
        std::size_t count = 0;
        for (const store_item& item : items) {
            m_originJournal.observe(item, now());
            const std::vector<decisions::stream_origin> origins = decodeOrigins(item.value);
            m_streams.takeStored(origins);
            count += origins.size();
        }
        if (count > 0)
            utils::logEvent(utils::event::StreamOriginsRead,
                { { "origins", std::to_string(count) }, { "items", std::to_string(items.size()) } });
    }

    node_gauges gauges() const
    {
        const utils::time_point present = now();
        node_gauges gauges;
        gauges.configurationVersion = m_context.configuration ? m_context.configuration->version : 0;
        gauges.configurationEvidenceSeconds = utils::toSeconds(present - m_context.evidenceAt);
        gauges.serverViewBehindSeconds = utils::toSeconds(m_context.viewLag.behindFor(present));
        gauges.serversKnown = static_cast<double>(m_context.servers.size());
        gauges.serversUsable = static_cast<double>(m_context.servers.usableCount());
        gauges.evacuatedDataCentres = static_cast<double>(m_context.servers.evacuated().size());
        gauges.serversResting = static_cast<double>(m_context.rests.askedCount(present));
        gauges.servicesCutOff = static_cast<double>(m_context.reachability.cutOffServices().size());
        gauges.peers = static_cast<double>(m_peers.livePeers(present).size());
        gauges.fleetNodes = m_context.fleetSize.nodes();
        gauges.requestsInProgress = static_cast<double>(m_context.requestsInProgress);
        gauges.idleConnections = static_cast<double>(m_context.pool.size());
        gauges.undecidedLosses = static_cast<double>(m_context.undecidedLosses.size());
        gauges.partStrikes = static_cast<double>(m_context.crashingParts.size());
        gauges.crashingParts = static_cast<double>(m_context.crashingParts.refused(present));
        gauges.streamOrigins = static_cast<double>(m_streams.size());
        gauges.streamOriginsDropped = static_cast<double>(m_streams.dropped() + m_originJournal.dropped());
        gauges.openDescriptors = openDescriptors();
        gauges.residentBytes = residentBytes();
        gauges.timerLagSeconds = utils::toSeconds(m_timerLag);
        gauges.droppedLogLines = static_cast<double>(utils::droppedLines());
        gauges.isStoreReachable = m_viewUpdater.isStoreReachable();
        gauges.uptimeSeconds = utils::toSeconds(present - m_context.startedAt);
        for (const auto& [service, allowance] : m_context.repeats)
            gauges.retriesLeft.emplace_back(service, allowance.left(present));
        for (const auto& [service, control] : m_context.overload)
            gauges.work.push_back({ service, control.offeredWork(), control.capacity(),
                static_cast<double>(control.heavyWorkspaces()) });
        return gauges;
    }

    /// The metrics, or where a request would go.
    text_answer answerOperator(std::string_view target)
    {
        constexpr std::string_view explainPath = "/explain?";
        if (!target.starts_with(explainPath))
            return { 200, m_context.metrics.text(gauges()) };
        const utils::time_point present = now();
        if (present - m_explainedAt < explainInterval)
            return { 429, "asked too often\n" };
        m_explainedAt = present;
        const std::string_view query = target.substr(explainPath.size());
        return utils::valueOr(
            [&]() -> utils::result<text_answer> {
                BOOST_LEAF_AUTO(question, parseQuestion(query));
                BOOST_LEAF_AUTO(explanation, explainChoice(m_context, question, present));
                const bool isJson = query.ends_with("format=json");
                return text_answer { 200, isJson ? toJson(explanation) : toText(explanation) };
            },
            [](const utils::failure& failure) {
                return text_answer { 400,
                    std::string(utils::answerFor(failure.kind).name) + ": " + failure.detail + '\n' };
            });
    }

    void onViewChange()
    {
        if (m_viewUpdater.isComplete())
            m_openTimer.cancel();
        sendHeartbeats();
    }

    text_answer readiness() const
    {
        if (m_context.window.isStopping())
            return { 503, "leaving\n" };
        return m_viewUpdater.isComplete() ? text_answer { 200, "ready\n" }
                                          : text_answer { 503, "no configuration\n" };
    }

    /// Callers wait in the listen backlog until the view of the store is complete or the start time-out has
    /// passed.
    boost::asio::awaitable<void> acceptCallers()
    {
        while (!m_context.window.isOpen(m_viewUpdater.isComplete(), now())) {
            m_openTimer.expires_after(m_context.window.opensAt() - now());
            co_await m_openTimer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_await wire::acceptLoop(
            m_acceptor,
            [this](boost::asio::ip::tcp::socket socket) { return serveCaller(std::move(socket)); },
            "serve_caller");
    }

    /// Serves a caller's connection, or closes it unread where other nodes can serve the caller sooner.
    boost::asio::awaitable<void> serveCaller(boost::asio::ip::tcp::socket socket)
    {
        m_acceptRounds.accepted(now());
        decisions::connection_query query;
        if (m_context.loopDelay.standing() > utils::duration::zero())
            query.loopDelay = m_acceptRounds.iteration() * decisions::loop_delay::iterationsPerRequest;
        query.requestsInProgress = m_context.requestsInProgress;
        query.peerRequests = m_peerRequests.value_or(0);
        query.hasPeers = m_peerRequests.has_value();
        query.hash = utils::combineHashes(m_bootId, ++m_acceptedConnections);
        if (decisions::mustCloseUnread(query)) {
            m_context.metrics.countClosedUnread();
            co_return;
        }
        co_await serve(std::move(socket), 0);
    }

    boost::asio::awaitable<void> acceptForwarded()
    {
        co_await wire::acceptLoop(
            m_forwardAcceptor,
            [this](boost::asio::ip::tcp::socket socket) { return serve(std::move(socket), m_bootId); },
            "serve_forwarded");
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, std::uint64_t receiver)
    {
        const auto accepted = std::make_shared<session>(m_context,
            flow_services { m_forwarder, m_streams, m_crashes, m_notices, m_crowds }, std::move(socket),
            receiver);
        m_sessions.push_back(accepted);
        co_await accepted->run();
    }

    boost::asio::awaitable<void> heartbeatLoop()
    {
        while (!m_isDone) {
            m_timer.expires_after(nextInterval());
            co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
            recordTimerLag(std::chrono::duration_cast<utils::duration>(
                std::chrono::steady_clock::now() - m_timer.expiry()));
            // Without its ticks the node could not even stop.
            try {
                tick(now());
            } catch (...) {
                wire::logTaskFailure("tick", std::current_exception());
            }
        }
    }

    /// Shorter under load: the other nodes do not know of the requests that a node sent since its last
    /// heartbeat, and all would fill the same backend server.
    utils::duration nextInterval()
    {
        if (m_endsAt != utils::time_point())
            return endCheckInterval;
        const std::uint64_t sent
            = m_context.sentRequests - std::exchange(m_sentAtLastHeartbeat, m_context.sentRequests);
        const utils::duration wanted = sent == 0
            ? heartbeatInterval
            : m_interval * requestsPerHeartbeat / static_cast<std::int64_t>(sent);
        m_interval = std::clamp(wanted, minHeartbeatInterval, heartbeatInterval);
        return m_interval;
    }

    /// Heartbeats run on a timer, so their lag is that of all timers of this thread, which also enforce the
    /// time limits of requests already read. Callers still waiting in the listen backlog are not covered.
    void recordTimerLag(utils::duration lag)
    {
        m_timerLag = lag;
        m_context.loopDelay.record(lag);
        if (lag < timerLagLogThreshold)
            return;
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(lag).count();
        utils::logEvent(utils::event::WorkLate,
            { { "late_ms", std::to_string(milliseconds) },
                { "in_progress", std::to_string(m_context.requestsInProgress) } });
    }

    void tick(utils::time_point present)
    {
        if (m_context.servers.expire(present) > 0)
            m_context.updateServers();
        m_context.pool.expire(present);
        m_forwarder.expire(present);
        m_prober.tick(present);
        m_context.failures.expire(present);
        m_context.pace.expire(present);
        m_peers.expire(present);
        std::erase_if(m_sessions, [](const auto& weak) { return weak.expired(); });
        m_context.fleetSize.observe(static_cast<unsigned>(m_peers.knownNodes()), present);
        m_peerRequests = m_peers.meanRequestsInProgress(present);
        updateLimiters(present);
        m_viewUpdater.tick(present);
        m_versionKeeper.tick(m_viewUpdater.followsStore(), present);
        m_partKeeper.tick(m_viewUpdater.followsStore(), present);
        m_streams.tick(m_viewUpdater.followsStore(), present);
        m_originJournal.tick(present);
        m_crashes.tick(present);
        m_notices.tick(present);
        m_work.tick(present);
        m_crowds.tick(present);
        sendHeartbeats();
        advanceStop(present);
    }

    void updateLimiters(utils::time_point present)
    {
        if (m_context.fleetSize.nodes() > 0) {
            m_context.coldStarts.setNodes(m_peers.ownAddress(), m_peers.knownAddresses());
            m_context.rejections.setFleet(m_peers.ownAddress(), m_peers.knownNodes());
        }
        m_context.coldStarts.expire(present);
        m_context.rejections.expire(present);
    }

    void advanceStop(utils::time_point present)
    {
        using decisions::stop_phase;
        const auto isReading = [](const std::weak_ptr<session>& weak) {
            const auto open = weak.lock();
            return open && open->isReading();
        };
        const auto reading = static_cast<std::uint64_t>(std::ranges::count_if(m_sessions, isReading));
        const stop_phase phase = m_context.window.phase(m_context.requestsInProgress + reading, present);
        if (phase == stop_phase::Closing) {
            for (const auto& weak : m_sessions) {
                if (const auto open = weak.lock())
                    open->closeIfIdle();
            }
        }
        if (phase != stop_phase::Done || m_isDone)
            return;
        if (m_endsAt == utils::time_point()) {
            m_endsAt = present + lastAnswersTime;
            for (const auto& weak : m_sessions) {
                if (const auto open = weak.lock())
                    open->endRequest();
            }
        }
        if (m_context.requestsInProgress > 0 && present < m_endsAt)
            return;
        m_isDone = true;
        for (const auto& weak : m_sessions) {
            if (const auto open = weak.lock())
                open->reportUnfinished(present);
        }
        m_onDone();
    }

    void sendHeartbeats()
    {
        const utils::time_point present = now();
        peer_heartbeat heartbeat;
        heartbeat.node = m_context.options.name;
        heartbeat.address = wire::toText(m_context.options.peerAddress);
        heartbeat.bootId = m_bootId;
        heartbeat.sequence = ++m_sequence;
        m_viewUpdater.fillHeartbeat(heartbeat, present);
        heartbeat.isLeaving = m_context.window.isStopping();
        heartbeat.dataCentre = m_context.options.dataCentre;
        heartbeat.forwardPort = m_context.options.forwardPort;
        heartbeat.requestsInProgress = static_cast<std::uint32_t>(m_context.requestsInProgress);
        // Where all nodes have lost a service, those that hear nothing of it must not be asked to help before
        // their own connections fail.
        std::set<std::string> unreachable;
        for (std::string& service : m_context.reachability.cutOffServices())
            unreachable.insert(std::move(service));
        for (std::string& service : m_context.quietServices(present))
            unreachable.insert(std::move(service));
        for (const std::string& service : unreachable) {
            if (heartbeat.cutOffServices.size() < peer_heartbeat::maxEntries)
                heartbeat.cutOffServices.push_back({ service });
        }
        for (const auto& [server, share] : m_context.loads.ownShares()) {
            if (heartbeat.shares.size() < peer_heartbeat::maxEntries)
                heartbeat.shares.push_back({ server.str(), share });
        }
        std::vector<reported_placement> unexpected;
        for (decisions::placement_update& note : m_context.choice.takeUpdates()) {
            if (note.isUnexpected)
                unexpected.push_back({ note });
            heartbeat.placements.push_back({ std::move(note) });
        }
        for (decisions::failure_update& note : m_context.failures.takeUpdates()) {
            if (heartbeat.failures.size() < peer_heartbeat::maxEntries)
                heartbeat.failures.push_back({ std::move(note) });
        }
        for (std::string& address : m_peers.sampleAddresses(present))
            heartbeat.peerAddresses.push_back({ std::move(address) });
        const std::vector<std::string> targets = m_peers.targets();
        sendTo(targets, heartbeat);
        // Over a slow link, full heartbeats to a large fleet would displace the callers' traffic.
        peer_heartbeat brief = heartbeat.withoutLists();
        // All nodes look for a part at the first engine of its ranking; only where it is not has to be told
        // to all.
        brief.placements = std::move(unexpected);
        if (brief.followsStore || !brief.placements.empty())
            sendTo(m_peers.addressesExcept(targets), brief);
    }

    void sendTo(const std::vector<std::string>& addresses, const peer_heartbeat& heartbeat)
    {
        const std::string bytes = encodeHeartbeat(heartbeat);
        for (const std::string& address : addresses) {
            m_link->sendDatagram(address, bytes);
            m_context.metrics.countHeartbeat(true);
        }
    }

    void applyHeartbeat(const peer_heartbeat& heartbeat)
    {
        const utils::time_point present = now();
        m_context.metrics.countHeartbeat(false);
        const peer_state* known = m_peers.find(heartbeat.node);
        const bool isStart = known != nullptr && known->bootId != heartbeat.bootId;
        if (!m_peers.applyHeartbeat(heartbeat, present))
            return;
        if (isStart)
            m_streams.onPeerStart(heartbeat.address);
        if (isStart || known == nullptr)
            m_crashes.onPeerStart(heartbeat.address);
        if (!heartbeat.omitsLists)
            applyLists(heartbeat, present);
        for (const reported_placement& reported : heartbeat.placements)
            m_context.learnPlacement(reported.note);
        m_viewUpdater.onHeartbeat(heartbeat, present);
    }

    void applyLists(const peer_heartbeat& heartbeat, utils::time_point present)
    {
        std::map<utils::server_id, decisions::load_share> shares;
        std::set<std::string> servicesInUse;
        for (const reported_share& reported : heartbeat.shares) {
            const utils::server_id id(reported.server);
            shares[id] = reported.share;
            if (const catalogue::backend_server* server = m_context.servers.find(id))
                servicesInUse.insert(server->service);
        }
        m_peers.setServicesInUse(heartbeat.node, std::move(servicesInUse), present);
        m_context.loads.updatePeer(utils::node_id(heartbeat.node), shares, present);
        for (const reported_failures& reported : heartbeat.failures)
            m_context.failures.applyUpdate(reported.note, present);
    }

    // Four per second: peers' loads are as old as one long step of an engine, at 1% of the CPU time.
    static constexpr utils::duration heartbeatInterval = std::chrono::milliseconds(250);
    static constexpr utils::duration minHeartbeatInterval = std::chrono::milliseconds(60);
    static constexpr std::int64_t requestsPerHeartbeat = 8;
    // For the answers to the requests that are in progress at the end of the grace period, within the margin
    // that is left for the exit.
    static constexpr utils::duration lastAnswersTime = std::chrono::milliseconds(200);
    static constexpr utils::duration endCheckInterval = std::chrono::milliseconds(20);
    // A process under a CPU quota often stalls for a tenth of a second; the shortest latency target of
    // callers is 0.3 s.
    static constexpr utils::duration timerLagLogThreshold = std::chrono::milliseconds(150);
    // An explanation takes the time of some requests.
    static constexpr utils::duration explainInterval = std::chrono::milliseconds(100);

    node_context m_context;
    std::uint64_t m_bootId;
    std::uint64_t m_sequence = 0;
    utils::time_point m_explainedAt {};
    utils::duration m_timerLag {}; ///< of the last heartbeat
    utils::duration m_interval = heartbeatInterval; ///< between the last heartbeat and the next
    std::uint64_t m_sentAtLastHeartbeat = 0; ///< value of `sentRequests` at the last heartbeat
    peer_table m_peers;
    view_updater<Codec, Store> m_viewUpdater;
    std::shared_ptr<peer_link> m_link;
    std::shared_ptr<text_server> m_readiness;
    std::shared_ptr<text_server> m_metricsServer;
    peer_forwarder m_forwarder;
    path_prober m_prober;
    stream_directory m_streams;
    crash_directory m_crashes;
    server_notices m_notices;
    work_directory m_work;
    crowd_directory m_crowds;
    record_keeper<Store, version_record> m_versionKeeper;
    record_keeper<Store, part_record> m_partKeeper;
    origin_journal<Store> m_originJournal;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::acceptor m_forwardAcceptor;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_openTimer;
    std::list<std::weak_ptr<session>> m_sessions;
    std::optional<double> m_peerRequests; ///< in progress at a peer, in the mean; nothing: no peer is heard
    decisions::accept_rounds m_acceptRounds; ///< of callers' connections
    std::uint64_t m_acceptedConnections = 0; ///< from callers
    /// The last answers are written by then; not set before the end of the grace period.
    utils::time_point m_endsAt {};
    bool m_isDone = false;
    std::function<void()> m_onDone;
};

} // namespace gateway
