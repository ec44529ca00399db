#pragma once

#include "nodecontext.h"
#include "peerlink.h"
#include "peertable.h"
#include "storeview.h"
#include "storewatcher.h"

#include "decisions/fetchgate.h"
#include "decisions/followrule.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <functional>

namespace gateway {

/// Keeps this node's view of the store up to date: from the store itself, or from peers that follow it.
///
/// A node that rests hears of changes with the peers' beats. It fetches entries of backend servers from the
/// peer, and a new configuration from the store, which is near and has the bandwidth; whatever the store
/// does not tell in time comes from the peer too. Not thread safe.
template <catalogue_codec Codec, watched_store Store> class view_updater {
public:
    /// `onViewChange`: a new configuration is in force, and peers should hear of it.
    /// Precondition: all that is passed outlives this.
    view_updater(node_context& context, peer_table& peers, std::function<void()> onViewChange)
        : m_context(context)
        , m_peers(peers)
        , m_onViewChange(std::move(onViewChange))
        , m_view(context)
        , m_store(context.executor, context.options.storeAddress)
        , m_watch(context.executor, m_store, std::string(Codec::watchedPrefix()), timing(context.options),
              watchEvents())
    {
    }

    /// Begins to follow. Precondition: the link outlives this.
    void start(peer_link& link)
    {
        m_link = &link;
        boost::asio::co_spawn(m_context.executor, m_watch.run(), boost::asio::detached);
    }

    /// A peer has told what it knows; the peer table has taken it.
    void onHeartbeat(const peer_heartbeat& beat, utils::time_point present)
    {
        recordEvidence(beat, present);
        if (beat.isSettled)
            m_view.confirmRemovals(beat.serversRevision, present);
        const bool countsServers
            = decisions::isTrustedSource(beat.followsStore, m_peers.followersHeard(present));
        if (countsServers)
            m_context.viewLag.observeRevision(beat.serversRevision, present);
        if (countsServers && m_view.isBehind(view_part::Servers, 0, beat.serversRevision))
            startFetch(view_part::Servers, beat.node, present);
        m_configurationLag.advance(m_view.configurationRevision());
        m_configurationLag.observeRevision(beat.configurationRevision, present);
        if (m_view.isBehind(view_part::Configuration, beat.configurationRevision, 0))
            startFetch(view_part::Configuration, beat.node, present);
    }

    /// Decides anew whether to follow the store. To be called with each beat of this node.
    void tick(utils::time_point present)
    {
        const std::vector<std::string> live = m_peers.livePeers(present);
        m_liveNodes = live.size() + 1;
        const bool follows
            = decisions::shouldFollowStore({ m_context.options.name, live, m_peers.followersHeard(present) });
        if (follows != m_follows)
            utils::logEvent(utils::event::StoreFollowing,
                { { "follows", follows ? "yes" : "no" }, { "peers", std::to_string(live.size()) } });
        m_follows = follows;
        if (follows)
            m_watch.wake();
        else
            setReachable(true, "told_by_peers", present);
    }

    /// What to tell peers of this.
    void fillHeartbeat(peer_heartbeat& beat, utils::time_point present) const
    {
        beat.configurationRevision = m_view.configurationRevision();
        beat.serversRevision = m_view.serversRevision();
        const auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(present - m_context.evidenceAt);
        beat.evidenceAgeMs
            = static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), maxEvidenceAgeMs));
        beat.followsStore = m_follows && m_isStoreReachable && m_view.isComplete();
        beat.isSettled = beat.followsStore && !m_context.servers.isSettling(present);
    }

    view_copy copy(const view_request& request, utils::time_point present) const
    {
        return m_view.copy(request, present);
    }
    /// Whether requests can be served.
    bool isComplete() const { return m_view.isComplete(); }
    bool isStoreReachable() const { return m_isStoreReachable; }

private:
    using fetch_start = decisions::fetch_start;
    /// What came of asking a peer.
    enum class fetch_outcome {
        Done, ///< nothing is left to be asked of it
        NeedsFull, ///< it can tell of the backend servers only all there are
        Failed, ///< another peer is to be asked
    };

    /// As usual, or sooner where changes must be in force sooner.
    static watch_timing timing(const node_options& options)
    {
        constexpr int groupingPart = 10;
        watch_timing timing;
        timing.watchTimeout = std::min(timing.watchTimeout, options.applyTime);
        timing.batchDelay = std::min(timing.batchDelay, options.applyTime / groupingPart);
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
        events.onCallEnd = [this](store_status status, utils::time_point startedAt) {
            recordStoreCall(status);
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

    static bool isServer(const store_item& item) { return item.key.starts_with(Codec::serverPrefix()); }

    void applyRange(const store_range& range)
    {
        std::vector<store_item> servers;
        for (const store_item& item : range.items) {
            if (isServer(item))
                servers.push_back(item);
            else
                applyConfiguration(item);
        }
        m_view.applyServers(servers, range.asOf, now());
        m_onViewChange();
    }

    void applyChange(const store_change& change)
    {
        if (isServer(change.item))
            m_view.applyServerChange(change, now());
        else if (!change.isRemoved)
            applyConfiguration(change.item);
    }

    void applyConfiguration(const store_item& item)
    {
        if (m_view.applyConfiguration(item, "store"))
            m_onViewChange();
    }

    void recordStoreCall(store_status status)
    {
        m_context.metrics.countStoreCall(status);
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

    /// A peer with an older configuration that knows it to be the newest of some moment proves for that
    /// moment that there was none newer than this node's.
    void recordEvidence(const peer_heartbeat& beat, utils::time_point present)
    {
        if (beat.configurationRevision > m_view.configurationRevision()
            || beat.evidenceAgeMs >= maxEvidenceAgeMs)
            return;
        const utils::time_point evidence = present - std::chrono::milliseconds(beat.evidenceAgeMs);
        m_context.evidenceAt = std::max(m_context.evidenceAt, evidence);
    }

    decisions::fetch_gate& gateOf(view_part part)
    {
        return part == view_part::Configuration ? m_configurationFetches : m_serverFetches;
    }

    /// A peer knows more of that part.
    void startFetch(view_part part, const std::string& peer, utils::time_point present)
    {
        const utils::duration lead = remainingHeadStart(part, present);
        const fetch_start start = gateOf(part).tryBegin(peer, present, present + lead);
        if (start == fetch_start::No)
            return;
        // Not with each beat that tells of it: ten come before the store has answered, and each call is paid
        // for.
        if (part == view_part::Configuration)
            m_watch.callNow();
        const utils::duration wait = start == fetch_start::First ? lead : utils::duration::zero();
        boost::asio::co_spawn(m_context.executor, fetchFrom(peer, part, wait), boost::asio::detached);
    }

    /// How long the store may yet take to tell this node itself, before a peer is asked.
    utils::duration remainingHeadStart(view_part part, utils::time_point present) const
    {
        const bool isConfiguration = part == view_part::Configuration;
        const bool storeTells = m_follows || isConfiguration;
        if (!storeTells || !m_view.isComplete())
            return utils::duration::zero();
        const decisions::view_lag& lag = isConfiguration ? m_configurationLag : m_context.viewLag;
        const utils::duration lead = m_isStoreReachable ? storeHeadStart : lostStoreHeadStart;
        return std::max(utils::duration::zero(), lead - lag.behindFor(present));
    }

    /// Asks a peer, after the wait, for what this node has not heard from the store by then.
    boost::asio::awaitable<void> fetchFrom(std::string peerName, view_part part, utils::duration wait)
    {
        if (wait > utils::duration::zero())
            co_await pause(wait);
        // What arrives from the store is there sooner than a second copy over the same link.
        while (part == view_part::Configuration && m_store.isReceiving(now()))
            co_await pause(receivingCheckInterval);
        // Everything is large: a node that rests has the store tell it, and takes it from a peer only if
        // the store does not. Eight followers on slow links would need seconds for the whole fleet.
        const bool triesStore = part == view_part::Servers && !m_follows && m_view.isComplete();
        fetch_outcome outcome = co_await fetchOnce(peerName, part, !triesStore);
        if (outcome == fetch_outcome::NeedsFull && triesStore) {
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
        // While this node waited the peer may have lost the store.
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
        const std::string& peer, view_part part, const fetched_copy& copy, utils::duration took)
    {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
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

    // The store answers a watch within some ms of a change, but a configuration of 400 KB takes a third of a
    // second over 10 Mbit/s. Asked sooner, peers sent it a second time, and the first to know it sent it to
    // all: its link was full for three seconds.
    static constexpr utils::duration storeHeadStart = std::chrono::milliseconds(500);
    // The store's last call failed: it most likely does not tell this node.
    static constexpr utils::duration lostStoreHeadStart = std::chrono::milliseconds(100);
    // Two calls at 4 ms, and 50 KB of entries over a link of 10 Mbit/s, with room for what else is under way.
    static constexpr utils::duration rangeReadWait = std::chrono::milliseconds(300);
    static constexpr std::int64_t maxEvidenceAgeMs = 60000; // older is none
    static constexpr utils::duration receivingCheckInterval = std::chrono::milliseconds(100);
    // A second copy of something large over the same link makes both slower.
    static constexpr utils::duration slowConfigurationFetch = std::chrono::seconds(2);

    node_context& m_context;
    peer_table& m_peers;
    std::function<void()> m_onViewChange;
    store_view<Codec> m_view;
    Store m_store;
    store_watcher<Store> m_watch;
    decisions::fetch_gate m_serverFetches;
    decisions::fetch_gate m_configurationFetches { slowConfigurationFetch };
    decisions::view_lag m_configurationLag;
    peer_link* m_link = nullptr;
    std::size_t m_liveNodes = 1; ///< live ones, this one with them
    unsigned m_failuresInRow = 0; ///< calls to the store
    bool m_follows = true;
    bool m_isStoreReachable = true;
};

} // namespace gateway
