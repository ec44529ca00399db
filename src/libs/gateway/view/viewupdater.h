#pragma once

#include "gateway/nodecontext.h"
#include "gateway/peers/peerlink.h"
#include "gateway/peers/peertable.h"
#include "originitems.h"
#include "storeview.h"
#include "storewatcher.h"

#include "decisions/fetchgate.h"
#include "decisions/followrule.h"

#include "wire/connect.h"
#include "wire/task.h"

#include <functional>

namespace gateway {

/// Keeps this node's view of the store up to date, from the store itself or from peers that follow it.
///
/// A node that does not follow the store learns of new revisions from its peers' heartbeats. It then fetches
/// entries of backend servers from the peer, and a new configuration from the store, which is close and has
/// the bandwidth. Whatever the store does not deliver in time is fetched from the peer too. Not thread safe.
template <catalogue_codec Codec, watched_store Store> class view_updater {
public:
    /// `onViewChange` is called when a new configuration is in force or all backend servers were read, so
    /// that peers are notified. Precondition: all arguments outlive this object.
    view_updater(node_context& context, peer_table& peers, std::function<void()> onViewChange)
        : m_context(context)
        , m_peers(peers)
        , m_onViewChange(std::move(onViewChange))
        , m_view(context)
        , m_store(context.executor, context.options.storeAddress)
        , m_reads(context.executor, context.options.storeAddress)
        , m_seeds(seedAddresses(context.options))
        , m_watch(context.executor, m_store, std::string(Codec::watchedPrefix()), timing(context.options),
              watchEvents())
    {
    }

    /// Starts to follow the store. Precondition: the link, and what the callbacks refer to, outlive this
    /// object.
    void start(peer_link& link, origin_item_events originItems)
    {
        m_originItems = std::move(originItems);
        m_link = &link;
        wire::startTask(m_context.executor, "watch_store", m_watch.run());
    }

    /// Handles a peer's heartbeat. Precondition: the peer table has accepted it.
    void onHeartbeat(const peer_heartbeat& heartbeat, utils::time_point present)
    {
        recordEvidence(heartbeat, present);
        if (heartbeat.isSettled)
            m_view.confirmRemovals(heartbeat.serversRevision, present);
        const bool usesServersRevision
            = decisions::isTrustedSource(heartbeat.followsStore, m_peers.followersHeard(present));
        if (usesServersRevision)
            m_context.viewLag.observeRevision(heartbeat.serversRevision, present);
        if (usesServersRevision && m_view.isBehind(view_part::Servers, 0, heartbeat.serversRevision))
            startFetch(view_part::Servers, heartbeat.node, present);
        m_configurationLag.advance(m_view.configurationRevision());
        m_configurationLag.observeRevision(heartbeat.configurationRevision, present);
        if (m_view.isBehind(view_part::Configuration, heartbeat.configurationRevision, 0)) {
            requestConfiguration(heartbeat.configurationRevision, present);
            startFetch(view_part::Configuration, heartbeat.node, present);
        }
    }

    /// Decides again whether to follow the store. To be called at each heartbeat of this node.
    void tick(utils::time_point present)
    {
        const std::vector<std::string> live = m_peers.presumedLive(present);
        m_liveNodes = live.size() + 1;
        const bool follows = decisions::shouldFollowStore(
            { m_peers.ownAddress(), live, m_seeds, m_peers.followersHeard(present) });
        if (follows != m_follows)
            utils::logEvent(utils::event::StoreFollowing,
                { { "follows", follows ? "yes" : "no" }, { "peers", std::to_string(live.size()) } });
        m_follows = follows;
        if (follows)
            m_watch.wake();
        else
            setReachable(true, "told_by_peers", present);
    }

    /// Fills in the fields of a heartbeat that describe this node's view.
    void fillHeartbeat(peer_heartbeat& heartbeat, utils::time_point present) const
    {
        heartbeat.configurationRevision = m_view.configurationRevision();
        heartbeat.serversRevision = m_view.serversRevision();
        const auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(present - m_context.evidenceAt);
        heartbeat.evidenceAgeMs
            = static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), maxEvidenceAgeMs));
        heartbeat.followsStore = followsStore();
        heartbeat.isSettled = heartbeat.followsStore && !m_context.servers.isSettling(present);
    }

    /// The copy that answers a peer's request.
    view_copy copy(const view_request& request, utils::time_point present) const
    {
        return m_view.copy(request, present);
    }
    /// Whether the view suffices to serve requests.
    bool isComplete() const { return m_view.isComplete(); }
    /// Whether the view comes from the store itself, as far as this node knows.
    bool followsStore() const { return m_follows && m_isStoreReachable && m_view.isComplete(); }
    /// False after a failed call to the store, until a call succeeds or tick() finds that this node need not
    /// follow the store.
    bool isStoreReachable() const { return m_isStoreReachable; }

private:
    using fetch_start = decisions::fetch_start;
    /// Result of a fetch from a peer.
    enum class fetch_outcome {
        Done, ///< nothing more is needed from this peer
        NeedsFull, ///< the peer can send the backend servers only as a full copy
        Failed, ///< another peer has to be asked
    };

    static std::vector<std::string> seedAddresses(const node_options& options)
    {
        std::vector<std::string> addresses;
        for (const auto& seed : options.seeds)
            addresses.push_back(wire::toText(seed));
        return addresses;
    }

    /// The default timing, shortened where changes must be in force sooner.
    static watch_timing timing(const node_options& options)
    {
        constexpr int batchDelayDivisor = 10;
        watch_timing timing;
        timing.watchTimeout = std::min(timing.watchTimeout, options.applyTime);
        timing.batchDelay = std::min(timing.batchDelay, options.applyTime / batchDelayDivisor);
        return timing;
    }

    watch_events watchEvents()
    {
        watch_events events;
        events.onRange = [this](const store_range& range) { applyRange(range); };
        events.onChanges = [this](const store_changes& changes) {
            for (const store_change& change : changes.changes)
                applyChange(change);
            m_view.advanceServers(changes.asOf);
        };
        events.onCallEnd = [this](store_call call, store_status status, utils::time_point startedAt) {
            recordStoreCall(call, status);
            if (status != store_status::Done)
                return;
            m_context.evidenceAt = std::max(m_context.evidenceAt, startedAt);
            m_context.viewLag.observeRevision(m_view.serversAsOf(), now());
        };
        events.mayCall = [this] { return m_follows; };
        events.backoffAfterFailure
            = [this] { return decisions::storeRetryDelay(m_liveNodes, m_failuresInRow); };
        return events;
    }

    void applyRange(const store_range& range)
    {
        // Without a configuration nothing can have been served. A second full read may omit servers that have
        // come and left.
        const auto isConfiguration
            = [](const store_item& item) { return item.key == Codec::configurationKey(); };
        m_context.versions.setFirstObserver(
            m_view.serversAsOf() == 0 && std::ranges::none_of(range.items, isConfiguration));
        std::vector<store_item> servers;
        std::vector<store_item> origins;
        for (const store_item& item : range.items) {
            if (isOriginItem(item.key))
                origins.push_back(item);
            else if (store_view<Codec>::isServerItem(item))
                servers.push_back(item);
            else
                applyConfiguration(item);
        }
        m_originItems.onRead(origins);
        m_view.applyServers(servers, range.asOf, now());
        m_onViewChange();
    }

    void applyChange(const store_change& change)
    {
        if (isOriginItem(change.item.key))
            m_originItems.onChange(change.item);
        else if (store_view<Codec>::isServerItem(change.item))
            m_view.applyServerChange(change, now());
        else if (!change.isRemoved)
            applyConfiguration(change.item);
    }

    void applyConfiguration(const store_item& item)
    {
        if (m_view.applyConfiguration(item, "store"))
            m_onViewChange();
    }

    void recordStoreCall(store_call call, store_status status)
    {
        m_context.metrics.countStoreCall(call, status);
        m_failuresInRow = status == store_status::Done ? 0 : m_failuresInRow + 1;
        const bool isReachable = status == store_status::Done || status == store_status::HistoryGone;
        setReachable(isReachable, toString(status), now());
    }

    void setReachable(bool isReachable, std::string_view status, utils::time_point present)
    {
        m_context.servers.setStoreReachable(isReachable, present);
        if (isReachable == m_isStoreReachable)
            return;
        m_isStoreReachable = isReachable;
        utils::logEvent(isReachable ? utils::event::StoreRegained : utils::event::StoreLost,
            { { "status", std::string(status) } });
    }

    /// A peer whose configuration is not newer than this node's, and which knows it to be the newest as of
    /// some moment, proves that this node's was the newest at that moment too.
    void recordEvidence(const peer_heartbeat& heartbeat, utils::time_point present)
    {
        if (heartbeat.configurationRevision > m_view.configurationRevision()
            || heartbeat.evidenceAgeMs >= maxEvidenceAgeMs)
            return;
        const utils::time_point evidence = present - std::chrono::milliseconds(heartbeat.evidenceAgeMs);
        m_context.evidenceAt = std::max(m_context.evidenceAt, evidence);
    }

    decisions::fetch_gate& gateOf(view_part part)
    {
        return part == view_part::Configuration ? m_configurationFetches : m_serverFetches;
    }

    /// Starts a fetch from a peer that has a newer revision of this part.
    void startFetch(view_part part, const std::string& peer, utils::time_point present)
    {
        const utils::duration headStart = remainingHeadStart(part, present);
        const fetch_start start = gateOf(part).tryBegin(peer, present, present + headStart);
        if (start == fetch_start::No)
            return;
        const utils::duration wait = start == fetch_start::First ? headStart : utils::duration::zero();
        wire::startTask(m_context.executor, "fetch_view", fetchFrom(peer, part, wait));
    }

    /// Reads a new configuration from the store, once for each revision that peers report, and again after
    /// `configurationRetryInterval` while it is missing: each call has a cost. A node that follows the store
    /// is told by its watch. Another one reads the item itself: its watch would begin after the changes of
    /// servers that it has from peers, and these may be newer than the configuration.
    void requestConfiguration(std::uint64_t revision, utils::time_point present)
    {
        if (revision <= m_requestedRevision && present - m_requestedAt < configurationRetryInterval)
            return;
        m_requestedRevision = std::max(m_requestedRevision, revision);
        m_requestedAt = present;
        if (m_follows || !m_view.isComplete())
            m_watch.callNow();
        else if (!m_isReadingConfiguration)
            wire::startTask(m_context.executor, "read_configuration", readConfiguration());
    }

    /// All nodes read the same item at the same time, so the cheap read comes first. It proves nothing about
    /// the newest configuration; where it is older than what was reported, the exact one follows.
    boost::asio::awaitable<void> readConfiguration()
    {
        m_isReadingConfiguration = true;
        std::uint64_t revision = 0;
        while (revision < m_requestedRevision) {
            revision = m_requestedRevision;
            co_await readConfigurationOnce(read_freshness::MayBeStale);
            if (m_view.configurationRevision() < revision)
                co_await readConfigurationOnce(read_freshness::Newest);
        }
        m_isReadingConfiguration = false;
    }

    boost::asio::awaitable<void> readConfigurationOnce(read_freshness freshness)
    {
        const utils::time_point startedAt = now();
        std::string key(Codec::configurationKey());
        const store_read read = co_await m_reads.item(std::move(key), freshness);
        const bool isNewest = freshness == read_freshness::Newest;
        m_context.metrics.countStoreCall(
            isNewest ? store_call::ReadNewest : store_call::ReadStale, read.status);
        if (read.status != store_status::Done)
            co_return;
        applyConfiguration(read.item);
        if (isNewest)
            m_context.evidenceAt = std::max(m_context.evidenceAt, startedAt);
    }

    /// The time left for the store to deliver the change itself before a peer is asked.
    utils::duration remainingHeadStart(view_part part, utils::time_point present) const
    {
        const bool isConfiguration = part == view_part::Configuration;
        const bool storeTells = m_follows || isConfiguration;
        if (!storeTells || !m_view.isComplete())
            return utils::duration::zero();
        const decisions::view_lag& lag = isConfiguration ? m_configurationLag : m_context.viewLag;
        const utils::duration headStart = m_isStoreReachable ? storeHeadStart : lostStoreHeadStart;
        return std::max(utils::duration::zero(), headStart - lag.behindFor(present));
    }

    /// Asks a peer, after the wait, for whatever the store has not delivered by then.
    boost::asio::awaitable<void> fetchFrom(std::string peerName, view_part part, utils::duration wait)
    {
        if (wait > utils::duration::zero())
            co_await pause(wait);
        // A transfer from the store in progress completes sooner than a second copy over the same link.
        while (part == view_part::Configuration && (m_store.isReceiving(now()) || m_reads.isReceiving(now())))
            co_await pause(receivingCheckInterval);
        // A full copy is large: a node that does not follow the store reads it from the store, and takes it
        // from a peer only if the store does not answer. Eight followers on slow links would need seconds to
        // send it to the whole fleet.
        const bool readsStoreFirst = part == view_part::Servers && !m_follows && m_view.isComplete();
        fetch_outcome outcome = co_await fetchOnce(peerName, part, !readsStoreFirst);
        if (outcome == fetch_outcome::NeedsFull && readsStoreFirst) {
            m_watch.callNow();
            co_await pause(rangeReadWait);
            outcome = co_await fetchOnce(peerName, part, true);
        }
        if (outcome == fetch_outcome::Failed)
            gateOf(part).fail(peerName, now());
        else
            gateOf(part).end(peerName);
    }

    boost::asio::awaitable<fetch_outcome> fetchOnce(std::string peerName, view_part part, bool acceptsFull)
    {
        const peer_state* peer = m_peers.find(peerName);
        if (peer == nullptr || !m_view.isBehind(part, peer->configurationRevision, peer->serversRevision))
            co_return fetch_outcome::Done;
        // The peer may have lost the store while this node waited.
        if (part == view_part::Servers
            && !decisions::isTrustedSource(peer->followsStore, m_peers.followersHeard(now())))
            co_return fetch_outcome::Failed;
        std::string address = peer->address;
        const view_request request = m_view.request(part, acceptsFull);
        const utils::time_point startedAt = now();
        const fetched_copy copy = co_await m_link->fetchView(std::move(address), request);
        m_context.metrics.countViewFetch(toString(copy.outcome));
        logFetch(peerName, part, copy, now() - startedAt);
        if (copy.outcome != copy_outcome::Done)
            co_return fetch_outcome::Failed;
        const bool wasComplete = m_view.isComplete();
        const bool isNew = m_view.applyCopy(copy.view, now());
        if (isNew || wasComplete != m_view.isComplete())
            m_onViewChange();
        m_watch.advance(m_view.serversAsOf());
        const bool needsFull = part == view_part::Servers && copy.view.serversAsOf == 0;
        co_return needsFull ? fetch_outcome::NeedsFull : fetch_outcome::Done;
    }

    static void logFetch(
        const std::string& peer, view_part part, const fetched_copy& copy, utils::duration elapsed)
    {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
        utils::logEvent(utils::event::ViewCopyTaken,
            { { "peer", peer }, { "part", std::string(toString(part)) },
                { "end", std::string(toString(copy.outcome)) }, { "bytes", std::to_string(copy.bytes) },
                { "ms", std::to_string(milliseconds) }, { "as_of", std::to_string(copy.view.serversAsOf) } });
    }

    boost::asio::awaitable<void> pause(utils::duration length)
    {
        boost::asio::steady_timer timer(m_context.executor, length);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    // The store answers a watch within milliseconds of a change, but a configuration of 400 KB takes a third
    // of a second over 10 Mbit/s. With a shorter head start, peers sent it a second time, and the first node
    // to have it sent it to all others: its link was saturated for three seconds.
    static constexpr utils::duration storeHeadStart = std::chrono::milliseconds(500);
    // The last call to the store failed, so the store is unlikely to deliver the change.
    static constexpr utils::duration lostStoreHeadStart = std::chrono::milliseconds(100);
    // Two calls at 4 ms each, and 50 KB of entries over a link of 10 Mbit/s, with room for other traffic.
    static constexpr utils::duration rangeReadWait = std::chrono::milliseconds(300);
    static constexpr std::int64_t maxEvidenceAgeMs = 60000; // evidence older than this is ignored
    static constexpr utils::duration configurationRetryInterval = std::chrono::seconds(1);
    static constexpr utils::duration receivingCheckInterval = std::chrono::milliseconds(100);
    // A second large copy over the same link slows both down.
    static constexpr utils::duration slowConfigurationFetch = std::chrono::seconds(2);

    node_context& m_context;
    peer_table& m_peers;
    std::function<void()> m_onViewChange;
    store_view<Codec> m_view;
    Store m_store;
    Store m_reads; ///< of single items, while a watch may be waiting on the other connection
    std::vector<std::string> m_seeds; ///< addresses
    store_watcher<Store> m_watch;
    origin_item_events m_originItems;
    decisions::fetch_gate m_serverFetches;
    decisions::fetch_gate m_configurationFetches { slowConfigurationFetch };
    decisions::view_lag m_configurationLag;
    peer_link* m_link = nullptr;
    std::size_t m_liveNodes = 1; ///< including this node
    unsigned m_failuresInRow = 0; ///< failed calls to the store
    std::uint64_t m_requestedRevision = 0; ///< of the configuration, asked of the store
    utils::time_point m_requestedAt {};
    bool m_isReadingConfiguration = false;
    bool m_follows = true;
    bool m_isStoreReachable = true;
};

} // namespace gateway
