#include "livefleet.h"

#include "wire/connect.h"

#include "clock.h"

#include "utils/crypto.h"
#include "utils/eventlog.h"
#include "utils/hashing.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>

namespace serving {

namespace {

/// Loads ride on probes of half a second; publishing more often would only make versions.
constexpr std::chrono::milliseconds publishInterval { 500 };
/// Strikes that one node renews at a time; a node with more has a fleet-wide problem, and the rest follow.
constexpr std::size_t strikesPublished = 8;
/// A share of the slots as a ratio of whole numbers.
constexpr unsigned shareUnits = 1000;

/// Stands for all earlier homes at once: fleet::home_handover has already settled with each of them.
const utils::node_id earlierHomes { "(earlier homes)" };

struct home_load {
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;

    template <class Archive> void serialize(Archive& archive) { archive(inFlight, slots); }
};

std::uint64_t bootIdNow()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
}

fleet::fleet_settings fleetSettings(const config::settings& settings, const std::vector<std::string>& keys)
{
    fleet::fleet_settings result;
    result.id = settings.node;
    result.address = settings.peers.address;
    result.dataCentre = settings.dataCentre;
    result.currentKey = keys.front();
    if (keys.size() > 1)
        result.previousKey = keys[1];
    result.bootId = bootIdNow();
    result.leaveTime = settings.shutdownGrace;
    return result;
}

std::vector<fleet::listed_vm> listOf(const config::settings& settings)
{
    std::vector<fleet::listed_vm> list;
    for (const config::seed_settings& seed : settings.peers.seeds)
        list.push_back({ seed.id, seed.address, seed.dataCentre, false });
    const bool isListed = std::ranges::any_of(list, [&](const auto& vm) { return vm.id == settings.node; });
    if (!isListed)
        list.push_back({ settings.node, settings.peers.address, settings.dataCentre, false });
    return list;
}

boost::asio::ip::udp::endpoint udpEndpoint(const std::string& address)
{
    const auto endpoint = wire::parseEndpoint(address);
    if (!endpoint)
        throw std::runtime_error(address + " is not ip:port");
    return { endpoint->address(), endpoint->port() };
}

std::string strikeKey(const decisions::poison_strike& strike)
{
    const std::string bytes = wire::encode(strike.digest) + wire::encode(strike.crash);
    return std::to_string(utils::hash64(bytes));
}

} // namespace

live_fleet::live_fleet(node_context& context, const utils::state_chart& chart,
    const std::vector<std::string>& keys, action_handler onAction)
    : m_context(context)
    , m_onAction(std::move(onAction))
    , m_node(std::make_unique<fleet::fleet_node>(
          fleetSettings(context.settings, keys), chart, utils::hash64(utils::randomBytes(8))))
    , m_endpoint(
          std::make_unique<fleet::udp_endpoint>(context.executor, udpEndpoint(context.settings.peers.address),
              *m_node, [this](const fleet::fleet_action& action) { this->onAction(action); }))
{
}

void live_fleet::start()
{
    with([this](fleet::fleet_node& node, utils::time_point now) {
        node.setListed(listOf(m_context.settings), now);
    });
    m_endpoint->start();
}

void live_fleet::stop()
{
    m_endpoint->stop();
}

void live_fleet::with(const std::function<void(fleet::fleet_node&, utils::time_point)>& event)
{
    m_endpoint->with(event);
}

void live_fleet::onAction(const fleet::fleet_action& action)
{
    if (std::holds_alternative<fleet::has_left>(action))
        m_isLeft = true;
    m_onAction(action);
}

void live_fleet::applyDocument(const config::document& document)
{
    std::vector<fleet::homed_server> servers;
    m_poolOf.clear();
    for (const auto& [poolId, pool] : document.pools) {
        double slots = 0;
        for (const config::backend_server& server : pool.servers)
            slots += server.isLeaving ? 0 : server.slots;
        m_context.loads[poolId].setPoolSlots(slots);
        for (const config::backend_server& server : pool.servers) {
            servers.push_back({ server.id, server.dataCentre });
            m_poolOf[server.id] = poolId;
        }
    }
    with([&](fleet::fleet_node& node, utils::time_point now) {
        node.setServers(servers, now);
        node.onDocumentInForce(document.revision, now);
    });
}

void live_fleet::leave()
{
    with([](fleet::fleet_node& node, utils::time_point now) { node.leave(now); });
}

void live_fleet::tick(home_service& home, utils::time_point now)
{
    for (const auto& [server, pool] : m_poolOf) {
        const bool isHere = m_node->handover().state(server) == fleet::home_state::Active;
        home_slot* slot = isHere ? home.slotFor(pool, server) : home.existingSlot(server);
        if (slot != nullptr)
            followHandover(server, *slot, now);
    }
    wakeDeathWatches();
    readDigests(now);
    if (now - m_publishedAt >= publishInterval) {
        m_publishedAt = now;
        publish(home, now);
        updateSkew(now);
    }
    const fleet::fleet_counters& counters = m_node->counters();
    m_context.metrics.countControl(
        "sent", counters.bytesSent - m_counted.bytesSent, counters.datagramsSent - m_counted.datagramsSent);
    m_context.metrics.countControl("received", counters.bytesReceived - m_counted.bytesReceived,
        counters.datagramsReceived - m_counted.datagramsReceived);
    m_counted = counters;
    reportDrops();
    m_context.metrics.closeControlWindow(now);
}

void live_fleet::reportDrops()
{
    std::uint64_t dropped = 0;
    for (int i = 0; i < static_cast<int>(wire::drop_reason::Count_); ++i)
        dropped += m_node->codec().dropped(static_cast<wire::drop_reason>(i));
    if (dropped == m_dropsReported)
        return;
    utils::logEvent(
        utils::event::PeerKeyRejected, { { "datagrams", std::to_string(dropped - m_dropsReported) } });
    m_dropsReported = dropped;
}

void live_fleet::followHandover(const utils::server_id& server, home_slot& slot, utils::time_point now)
{
    const fleet::home_handover& handover = m_node->handover();
    const bool isActive = handover.state(server) == fleet::home_state::Active;
    if (isActive && slot.ledger.state() != decisions::home_state::Holding) {
        const decisions::claim_answer granted { decisions::claim_verdict::Released,
            handover.inherited(server), {} };
        slot.ledger.claim(std::span(&earlierHomes, 1), now);
        slot.ledger.onClaimAnswer(earlierHomes, granted, now);
    }
    if (isActive)
        slot.ledger.onRemainingInFlight(handover.inherited(server));
    else
        slot.ledger.onViewStale();
    with([&](fleet::fleet_node& node, utils::time_point at) {
        node.setInFlight(server, slot.ledger.ownInFlight(), at);
    });
}

void live_fleet::publish(const home_service& home, utils::time_point now)
{
    for (const auto& entry : home.slots()) {
        const utils::server_id& server = entry.first;
        const decisions::home_ledger& ledger = entry.second->ledger;
        if (ledger.state() != decisions::home_state::Holding)
            continue;
        const home_load load { ledger.ownInFlight(), ledger.slots() };
        with([&](fleet::fleet_node& node, utils::time_point at) {
            node.publish(wire::digest_kind::HomeLoad, server.str(), wire::encode(load), at);
        });
        if (const auto pool = m_poolOf.find(server); pool != m_poolOf.end())
            m_context.loads[pool->second].merge(
                { server, load.inFlight, static_cast<double>(load.slots), now });
    }
    for (const decisions::poison_strike& strike : m_context.poison.strikes(now, strikesPublished)) {
        with([&](fleet::fleet_node& node, utils::time_point at) {
            node.publish(wire::digest_kind::PoisonStrike, strikeKey(strike), wire::encode(strike), at);
        });
    }
}

void live_fleet::readDigests(utils::time_point now)
{
    const wire::node_tag own = wire::tagOf(self());
    for (const fleet::digest_fact& fact : m_node->digests().facts(wire::digest_kind::HomeLoad, now)) {
        const utils::server_id server(fact.key);
        const auto pool = m_poolOf.find(server);
        const auto load = wire::decode<home_load>(fact.value);
        if (fact.origin == own || pool == m_poolOf.end() || !load)
            continue;
        m_context.loads[pool->second].merge(
            { server, load->inFlight, static_cast<double>(load->slots), now - fact.age });
    }
    std::vector<decisions::poison_strike> strikes;
    for (const fleet::digest_fact& fact : m_node->digests().facts(wire::digest_kind::PoisonStrike, now)) {
        auto strike = wire::decode<decisions::poison_strike>(fact.value);
        if (fact.origin == own || !strike || strike->remaining <= fact.age)
            continue;
        strike->remaining -= fact.age;
        strikes.push_back(*strike);
    }
    m_context.poison.merge(strikes, now);
}

void live_fleet::updateSkew(utils::time_point now)
{
    for (const auto& [pool, view] : m_context.loads) {
        const double mean = view.mean(now).perSlot;
        double most = 0;
        for (const auto& [server, owner] : m_poolOf) {
            const decisions::load_entry* entry = owner == pool ? view.find(server) : nullptr;
            if (entry != nullptr && entry->slots > 0)
                most = std::max(most, entry->inFlight / static_cast<double>(entry->slots));
        }
        m_context.metrics.setLoadSkew(pool.str(), mean > 0 ? most / mean : 1.0);
    }
}

std::vector<utils::node_id> live_fleet::liveNodes() const
{
    std::vector<utils::node_id> nodes { self() };
    for (const auto& [id, member] : m_node->members().members().all()) {
        if (member.isLive())
            nodes.push_back(id);
    }
    return nodes;
}

const utils::node_id& live_fleet::self() const
{
    return m_context.settings.node;
}

std::optional<utils::node_id> live_fleet::homeOf(
    const utils::server_id& server, const utils::data_centre_id& dataCentre) const
{
    return m_node->homes().homeOf(server, dataCentre);
}

std::string live_fleet::addressOf(const utils::node_id& node) const
{
    const fleet::member* entry = m_node->members().members().find(node);
    return entry == nullptr ? std::string() : entry->address;
}

bool live_fleet::isDead(const utils::node_id& node) const
{
    const fleet::member* entry = m_node->members().members().find(node);
    return entry == nullptr || !entry->isLive();
}

boost::asio::awaitable<void> live_fleet::untilDead(utils::node_id node)
{
    death_watch watch { std::move(node),
        boost::asio::steady_timer(m_context.executor, boost::asio::steady_timer::time_point::max()) };
    m_deathWatches.insert(&watch);
    struct removal {
        std::set<death_watch*>& watches;
        death_watch* watch;
        ~removal() { watches.erase(watch); }
    } const guard { m_deathWatches, &watch };
    while (!isDead(watch.node))
        co_await watch.wake.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

void live_fleet::wakeDeathWatches()
{
    for (death_watch* watch : m_deathWatches) {
        if (isDead(watch->node))
            watch->wake.cancel();
    }
}

bool live_fleet::isCurrent(utils::time_point now) const
{
    return m_node->isCurrent(now);
}

decisions::fleet_state live_fleet::stateFor(
    const utils::pool_id& pool, const utils::server_id& server, utils::time_point now) const
{
    decisions::fleet_state state;
    const auto loads = m_context.loads.find(pool);
    if (loads != m_context.loads.end())
        state.mean = loads->second.observe(now);
    state.isCurrent = m_node->isCurrent(now);
    state.nodesListed = shareUnits;
    state.nodesHeard = static_cast<unsigned>(m_node->shareOf(server, now) * shareUnits);
    return state;
}

} // namespace serving
