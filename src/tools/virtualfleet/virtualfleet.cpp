#include "virtualfleet.h"

#include <algorithm>
#include <stdexcept>
#include <type_traits>
#include <utility>

namespace virtualfleet {

namespace {

constexpr std::size_t headerBytes = 28; // IPv4 and UDP
constexpr utils::duration platformDelay = std::chrono::milliseconds(3);
constexpr utils::duration fetchTimeout = std::chrono::milliseconds(250);
constexpr std::size_t socketDatagrams = 200; // about what a default receive buffer holds
constexpr std::uint64_t bootBase = 1'800'000'000'000'000; // microseconds of a wall clock

utils::state_chart loadChart()
{
    return utils::valueOr([] { return utils::state_chart::load(LYCHEEFRONT_CHART_DIR "/node.yaml"); },
        [](const utils::failure& f) -> utils::state_chart { throw std::runtime_error(f.detail); });
}

} // namespace

virtual_fleet::virtual_fleet(fleet_options options)
    : m_options(std::move(options))
    , m_network(m_options.network, m_options.seed)
    , m_chart(loadChart())
{
    const std::vector<fleet::listed_vm> list = rows(0, m_options.nodes);
    for (std::size_t i = 0; i < m_options.nodes; ++i)
        start(list);
}

std::optional<utils::duration> virtual_fleet::runUntil(
    const std::function<bool()>& condition, utils::duration limit, utils::duration step)
{
    const utils::time_point began = now();
    while (!condition()) {
        if (now() - began >= limit)
            return {};
        run(step);
    }
    return now() - began;
}

utils::node_id virtual_fleet::name(std::size_t index)
{
    return utils::node_id("n" + std::to_string(index));
}

std::size_t virtual_fleet::start(const std::vector<fleet::listed_vm>& list)
{
    const std::size_t index = m_nodes.size();
    const fleet::listed_vm row = rowOf(index);
    fleet::fleet_settings settings = m_options.settings;
    settings.id = row.id;
    settings.address = row.address;
    settings.dataCentre = row.dataCentre;
    settings.currentKey = "a key of the virtual fleet";
    settings.bootId = bootBase + static_cast<std::uint64_t>(now().time_since_epoch().count());
    const std::uint64_t seed = m_options.seed * 1'000'003 + index;
    running_node& started = m_nodes.emplace_back();
    started.node = std::make_unique<fleet::fleet_node>(settings, m_chart, seed);
    with(index, [&](fleet::fleet_node& node, utils::time_point at) {
        node.setListed(list, at);
        node.setServers(m_options.servers, at);
    });
    return index;
}

void virtual_fleet::kill(std::size_t index)
{
    running_node& node = m_nodes.at(index);
    node.isRunning = false;
    m_calls.watches -= node.isWatching ? 1 : 0;
    node.isWatching = false;
}

void virtual_fleet::stop(std::size_t index)
{
    m_nodes.at(index).isStopped = true;
}

void virtual_fleet::resume(std::size_t index, bool isTimerFirst)
{
    const auto tick = [](fleet::fleet_node& node, utils::time_point at) { node.onTick(at); };
    running_node& node = m_nodes.at(index);
    node.isStopped = false;
    if (isTimerFirst)
        with(index, tick);
    for (const auto& [bytes, from] : std::exchange(node.inbox, {}))
        deliver(index, bytes, from);
    with(index, tick);
}

void virtual_fleet::leave(std::size_t index)
{
    with(index, [](fleet::fleet_node& node, utils::time_point at) { node.leave(at); });
}

void virtual_fleet::setListed(std::size_t index, const std::vector<fleet::listed_vm>& list)
{
    with(index, [&](fleet::fleet_node& node, utils::time_point at) { node.setListed(list, at); });
}

void virtual_fleet::setListedEverywhere(const std::vector<fleet::listed_vm>& list)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (isAtWork(i))
            setListed(i, list);
    }
}

fleet::listed_vm virtual_fleet::rowOf(std::size_t index) const
{
    return { name(index), "10.0.0.1:" + std::to_string(index),
        utils::data_centre_id("dc-" + std::to_string(index % m_options.dataCentres)), false };
}

std::vector<fleet::listed_vm> virtual_fleet::rows(std::size_t first, std::size_t count) const
{
    std::vector<fleet::listed_vm> list;
    for (std::size_t i = first; i < first + count; ++i)
        list.push_back(rowOf(i));
    return list;
}

void virtual_fleet::with(
    std::size_t index, const std::function<void(fleet::fleet_node&, utils::time_point)>& event)
{
    event(*m_nodes.at(index).node, now());
    flush(index);
    scheduleTick(index);
}

void virtual_fleet::moveHead(utils::config_revision revision)
{
    m_head = revision;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].isWatching && m_isPlatformUp)
            m_network.at(now() + platformDelay, [this, i] { tellHead(i, now()); });
    }
}

void virtual_fleet::resetTraffic()
{
    for (running_node& node : m_nodes) {
        node.traffic = {};
        node.bytesThisSecond = 0;
    }
}

void virtual_fleet::flush(std::size_t index)
{
    running_node& sender = m_nodes[index];
    for (fleet::outgoing_datagram& out : sender.node->takeDatagrams()) {
        const std::size_t to = std::stoul(out.address.substr(out.address.find(':') + 1));
        sender.traffic.bytesSent += out.bytes.size() + headerBytes;
        ++sender.traffic.packetsSent;
        count(sender, out.bytes.size() + headerBytes);
        if (to >= m_nodes.size())
            continue;
        const bool isNear = rowOf(index).dataCentre == rowOf(to).dataCentre;
        const auto delay = m_network.delay(name(index), name(to), isNear);
        if (!delay)
            continue;
        m_network.at(now() + *delay, [this, to, bytes = std::move(out.bytes), from = rowOf(index).address] {
            deliver(to, bytes, from);
        });
    }
    for (const fleet::fleet_action& action : sender.node->takeActions())
        act(index, action);
}

void virtual_fleet::scheduleTick(std::size_t index)
{
    const utils::time_point due = m_nodes[index].node->nextTick();
    if (due == utils::time_point::max())
        return;
    const std::uint64_t order = ++m_nodes[index].tickOrder;
    m_network.at(std::max(due, now()), [this, index, order] {
        if (m_nodes[index].tickOrder != order || !isAtWork(index))
            return;
        with(index, [](fleet::fleet_node& node, utils::time_point at) { node.onTick(at); });
    });
}

void virtual_fleet::deliver(std::size_t index, const std::string& bytes, const std::string& from)
{
    running_node& receiver = m_nodes[index];
    if (!receiver.isRunning)
        return;
    if (receiver.isStopped) {
        if (receiver.inbox.size() < socketDatagrams)
            receiver.inbox.emplace_back(bytes, from);
        return;
    }
    receiver.traffic.bytesReceived += bytes.size() + headerBytes;
    ++receiver.traffic.packetsReceived;
    count(receiver, bytes.size() + headerBytes);
    with(index, [&](fleet::fleet_node& node, utils::time_point at) { node.onDatagram(bytes, from, at); });
}

void virtual_fleet::act(std::size_t index, const fleet::fleet_action& action)
{
    running_node& node = m_nodes[index];
    if (std::holds_alternative<fleet::watch_head>(action)) {
        m_calls.watches += node.isWatching ? 0 : 1;
        node.isWatching = true;
        // A watch begins with a read of what is there.
        ++m_calls.headReads;
        const utils::time_point startedAt = now();
        m_network.at(now() + platformDelay, [this, index, startedAt] { tellHead(index, startedAt); });
    } else if (std::holds_alternative<fleet::unwatch_head>(action)) {
        m_calls.watches -= node.isWatching ? 1 : 0;
        node.isWatching = false;
    } else if (std::holds_alternative<fleet::read_head>(action)) {
        ++m_calls.headReads;
        const utils::time_point startedAt = now();
        m_network.at(now() + platformDelay, [this, index, startedAt] { tellHead(index, startedAt); });
    } else if (std::holds_alternative<fleet::read_document>(action)) {
        ++m_calls.documentReads;
        m_network.at(now() + m_documentDelay, [this, index] {
            if (m_isPlatformUp)
                adopt(index, m_head);
        });
    } else if (const auto* wanted = std::get_if<fleet::fetch_from_peer>(&action)) {
        fetch(index, *wanted);
    } else if (std::holds_alternative<fleet::has_left>(action)) {
        m_network.at(now() + std::chrono::milliseconds(1), [this, index] { kill(index); });
    }
}

void virtual_fleet::fetch(std::size_t index, const fleet::fetch_from_peer& action)
{
    const std::size_t peer = indexOf(action.node);
    const bool isReachable = peer < m_nodes.size() && isAtWork(peer)
        && !m_network.isCut(name(index), name(peer)) && !m_network.isCut(name(peer), name(index));
    if (!isReachable) {
        m_network.at(now() + fetchTimeout, [this, index, node = action.node] {
            if (isAtWork(index))
                with(index, [&](fleet::fleet_node& n, utils::time_point at) { n.onFetchFailed(node, at); });
        });
        return;
    }
    const utils::config_revision revision = m_nodes[peer].node->spread().inForce();
    m_network.at(now() + m_documentDelay, [this, index, revision] { adopt(index, revision); });
}

void virtual_fleet::tellHead(std::size_t index, utils::time_point startedAt)
{
    if (!m_isPlatformUp || !isAtWork(index))
        return;
    with(index, [&](fleet::fleet_node& node, utils::time_point at) { node.onHead(m_head, startedAt, at); });
}

void virtual_fleet::adopt(std::size_t index, utils::config_revision revision)
{
    if (!isAtWork(index) || !m_nodes[index].node->mayAdopt(revision))
        return;
    m_nodes[index].history.push_back(revision);
    with(index, [&](fleet::fleet_node& node, utils::time_point at) { node.onDocumentInForce(revision, at); });
}

void virtual_fleet::count(running_node& node, std::size_t bytes)
{
    const std::int64_t second
        = std::chrono::duration_cast<std::chrono::seconds>(now().time_since_epoch()).count();
    if (second != node.second) {
        node.second = second;
        node.bytesThisSecond = 0;
    }
    node.bytesThisSecond += bytes;
    node.traffic.largestSecond = std::max(node.traffic.largestSecond, node.bytesThisSecond);
}

std::size_t virtual_fleet::indexOf(const utils::node_id& id)
{
    return std::stoul(id.str().substr(1));
}

} // namespace virtualfleet
