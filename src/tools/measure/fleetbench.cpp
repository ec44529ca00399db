#include "fleetbench.h"

#include "virtualfleet/virtualfleet.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <atomic>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <malloc.h>

namespace measure {

namespace {

using namespace std::chrono_literals;
using virtualfleet::virtual_fleet;

struct fleet_size {
    std::size_t nodes;
    std::size_t dataCentres;
    std::size_t servers;
    std::size_t pools;
};

constexpr fleet_size sizes[] { { 7, 3, 12, 2 }, { 50, 3, 75, 4 }, { 200, 4, 300, 8 }, { 400, 4, 600, 14 } };

/// What one size costs and takes.
struct fleet_figures {
    fleet_size size {};
    double sentMean = 0; ///< bytes a second of one node, IP and UDP headers included
    double bothMean = 0; ///< sent and received
    double sentLargest = 0; ///< of the node that sends most
    double worstSecond = 0; ///< of any node, sent and received
    double packetsMean = 0;
    double packetsLargest = 0;
    double inForceSeconds = 0; ///< slowest of the changes, until all nodes have it in force
    double bothInForceSeconds = 0; ///< longest time with two revisions in force
    double majorityAckSeconds = 0; ///< until the asking node knows of a majority of the witnesses
    double detectionSeconds = 0; ///< until all know that a killed node is dead
    double sealedBothSeconds = 0; ///< the same when the documents are staged on all nodes first
    double sealedTotalSeconds = 0; ///< staging, readiness of all known to one node, then the seal
    double poolShare = 0; ///< part of the fleet's load facts that a node knows
    double poolAge = 0; ///< mean age of the load facts that a node knows, seconds
    double coreShare = 0; ///< processor time a node, per second of virtual time
    std::uint64_t platformCalls = 0; ///< of the whole fleet for all changes
    std::size_t watches = 0;
    unsigned falseDeaths = 0;
};

constexpr utils::duration settleTime = 40s;
constexpr utils::duration measuredTime = 20s;
constexpr unsigned changes = 5;
constexpr utils::duration changeEvery = 3s;

virtualfleet::fleet_options optionsFor(const fleet_size& size)
{
    virtualfleet::fleet_options options;
    options.nodes = size.nodes;
    options.dataCentres = size.dataCentres;
    for (std::size_t i = 0; i < size.servers; ++i) {
        options.servers.push_back({ utils::server_id("engine-" + std::to_string(i)),
            utils::data_centre_id("dc-" + std::to_string(i % size.dataCentres)) });
    }
    return options;
}

/// Each home publishes what it knows of its servers, summed per pool.
void publishLoads(virtual_fleet& fleet, const fleet_size& size)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (!fleet.isAtWork(i))
            continue;
        std::vector<unsigned> homes(size.pools);
        for (std::size_t s = 0; s < size.servers; ++s) {
            const utils::server_id server("engine-" + std::to_string(s));
            if (fleet.node(i).handover().state(server) == fleet::home_state::Active)
                ++homes[s % size.pools];
        }
        for (std::size_t pool = 0; pool < size.pools; ++pool) {
            if (homes[pool] == 0)
                continue;
            // Two numbers of two bytes each, as the daemon writes them.
            fleet.node(i).publish(wire::digest_kind::PoolLoad, std::to_string(pool), "abcd", fleet.now());
        }
    }
}

void runWithLoads(virtual_fleet& fleet, const fleet_size& size, utils::duration time)
{
    constexpr utils::duration publishEvery = 2s;
    for (utils::duration passed {}; passed < time; passed += publishEvery) {
        publishLoads(fleet, size);
        fleet.run(publishEvery);
    }
}

double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double nanosecond = 1e-9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * nanosecond;
}

unsigned countFalseDeaths(const virtual_fleet& fleet)
{
    unsigned deaths = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (const auto& [id, m] : fleet.node(i).members().members().all())
            deaths += m.state == fleet::member_state::Dead ? 1 : 0;
    }
    return deaths;
}

void measureTraffic(virtual_fleet& fleet, fleet_figures& figures)
{
    fleet.resetTraffic();
    const double began = threadSeconds();
    runWithLoads(fleet, figures.size, measuredTime);
    const double processor = threadSeconds() - began;
    const double seconds = utils::toSeconds(measuredTime);
    const auto nodes = static_cast<double>(fleet.size());
    figures.coreShare = processor / seconds / nodes;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const virtualfleet::node_traffic& traffic = fleet.traffic(i);
        const double sent = static_cast<double>(traffic.bytesSent) / seconds;
        const double packets = static_cast<double>(traffic.packetsSent + traffic.packetsReceived) / seconds;
        figures.sentMean += sent / nodes;
        figures.bothMean += static_cast<double>(traffic.bytesSent + traffic.bytesReceived) / seconds / nodes;
        figures.sentLargest = std::max(figures.sentLargest, sent);
        figures.worstSecond = std::max(figures.worstSecond, static_cast<double>(traffic.largestSecond));
        figures.packetsMean += packets / nodes;
        figures.packetsLargest = std::max(figures.packetsLargest, packets);
    }
    figures.falseDeaths = countFalseDeaths(fleet);
}

void measureDigests(const virtual_fleet& fleet, fleet_figures& figures)
{
    std::size_t published = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (const auto& fact : fleet.node(i).digests().facts(wire::digest_kind::PoolLoad, fleet.now()))
            published += fact.origin == wire::tagOf(virtual_fleet::name(i)) ? 1 : 0;
    }
    double age = 0;
    double known = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (const auto& fact : fleet.node(i).digests().facts(wire::digest_kind::PoolLoad, fleet.now())) {
            age += utils::toSeconds(fact.age);
            ++known;
        }
    }
    figures.poolShare = known / static_cast<double>(published * fleet.size());
    figures.poolAge = age / known;
}

std::size_t countInForce(const virtual_fleet& fleet, utils::config_revision revision)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        count += fleet.node(i).spread().inForce() >= revision ? 1 : 0;
    return count;
}

/// How one change went, in seconds since the head moved.
struct change_times {
    double first = 0; ///< the first node has it in force
    double all = 0;
    double majorityKnown = 0; ///< node 0 knows that a majority of the witnesses has it
    double allKnown = 0; ///< node 0 knows that all have it
};

change_times playChange(virtual_fleet& fleet, utils::config_revision revision, bool awaitsAllKnown)
{
    constexpr utils::duration step = 2ms;
    constexpr utils::duration limit = 60s;
    change_times times;
    const utils::time_point began = fleet.now();
    bool isAsked = false;
    const auto note = [&](double& time, bool isReached) {
        if (isReached && time == 0)
            time = utils::toSeconds(fleet.now() - began);
    };
    fleet.moveHead(revision);
    fleet.runUntil(
        [&] {
            if (!isAsked && fleet.node(0).spread().inForce() >= revision) {
                isAsked = true;
                fleet.with(
                    0, [&](fleet::fleet_node& node, utils::time_point now) { node.confirm(revision, now); });
            }
            const std::size_t count = countInForce(fleet, revision);
            note(times.first, count > 0);
            note(times.all, count == fleet.size());
            const fleet::acknowledgement known = fleet.node(0).acknowledged(revision, fleet.now());
            note(times.majorityKnown, known.isMajority());
            note(times.allKnown, known.isEverywhere());
            return times.all > 0 && times.majorityKnown > 0 && (!awaitsAllKnown || times.allKnown > 0);
        },
        limit, step);
    return times;
}

void measureChanges(virtual_fleet& fleet, fleet_figures& figures)
{
    const virtualfleet::platform_calls before = fleet.calls();
    utils::config_revision revision = 1;
    for (unsigned change = 0; change < changes; ++change) {
        const change_times times = playChange(fleet, ++revision, false);
        figures.inForceSeconds = std::max(figures.inForceSeconds, times.all);
        figures.bothInForceSeconds = std::max(figures.bothInForceSeconds, times.all - times.first);
        figures.majorityAckSeconds = std::max(figures.majorityAckSeconds, times.majorityKnown);
        fleet.run(changeEvery);
    }
    figures.platformCalls
        = fleet.calls().headReads + fleet.calls().documentReads - before.headReads - before.documentReads;
    figures.watches = fleet.calls().watches;
}

/// Staging and sealing: the document goes to all nodes as a revision that is not yet in force; once one
/// node knows that all have it, a seal goes round like a revision whose document is there already.
void measureSealing(virtual_fleet& fleet, fleet_figures& figures)
{
    constexpr unsigned sealedChanges = 2;
    utils::config_revision revision = 100;
    for (unsigned change = 0; change < sealedChanges; ++change) {
        const change_times staged = playChange(fleet, ++revision, true);
        fleet.setDocumentDelay(0ms);
        const change_times sealed = playChange(fleet, ++revision, false);
        fleet.setDocumentDelay(virtual_fleet::usualDocumentDelay);
        figures.sealedBothSeconds = std::max(figures.sealedBothSeconds, sealed.all - sealed.first);
        figures.sealedTotalSeconds = std::max(figures.sealedTotalSeconds, staged.allKnown + sealed.all);
        fleet.run(changeEvery);
    }
}

void measureDetection(virtual_fleet& fleet, fleet_figures& figures)
{
    constexpr std::size_t victim = 1;
    fleet.kill(victim);
    const auto isKnownDead = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const fleet::member* m = fleet.node(i).members().members().find(virtual_fleet::name(victim));
            if (i != victim && m != nullptr && m->isLive())
                return false;
        }
        return true;
    };
    figures.detectionSeconds = utils::toSeconds(fleet.runUntil(isKnownDead, 60s, 50ms).value_or(60s));
}

fleet_figures measureSize(const fleet_size& size)
{
    fleet_figures figures;
    figures.size = size;
    virtual_fleet fleet(optionsFor(size));
    fleet.moveHead(1);
    runWithLoads(fleet, size, settleTime);
    measureTraffic(fleet, figures);
    measureDigests(fleet, figures);
    measureChanges(fleet, figures);
    measureSealing(fleet, figures);
    measureDetection(fleet, figures);
    return figures;
}

struct column {
    const char* name;
    double (*value)(const fleet_figures&);
};

constexpr column columns[] {
    { "nodes", [](const fleet_figures& f) { return static_cast<double>(f.size.nodes); } },
    { "sent B/s mean", [](const fleet_figures& f) { return f.sentMean; } },
    { "sent B/s largest", [](const fleet_figures& f) { return f.sentLargest; } },
    { "sent+received B/s mean", [](const fleet_figures& f) { return f.bothMean; } },
    { "sent+received B in worst second", [](const fleet_figures& f) { return f.worstSecond; } },
    { "packets/s mean", [](const fleet_figures& f) { return f.packetsMean; } },
    { "packets/s largest", [](const fleet_figures& f) { return f.packetsLargest; } },
    { "in force on all, s, slowest of 5", [](const fleet_figures& f) { return f.inForceSeconds; } },
    { "two revisions in force, s", [](const fleet_figures& f) { return f.bothInForceSeconds; } },
    { "the same, staged and sealed, s", [](const fleet_figures& f) { return f.sealedBothSeconds; } },
    { "staged and sealed on all, s", [](const fleet_figures& f) { return f.sealedTotalSeconds; } },
    { "majority acknowledged, s", [](const fleet_figures& f) { return f.majorityAckSeconds; } },
    { "death known to all, s", [](const fleet_figures& f) { return f.detectionSeconds; } },
    { "load facts known, share", [](const fleet_figures& f) { return f.poolShare; } },
    { "load facts' mean age, s", [](const fleet_figures& f) { return f.poolAge; } },
    { "platform calls for 5 changes",
        [](const fleet_figures& f) { return static_cast<double>(f.platformCalls); } },
    { "watches waiting", [](const fleet_figures& f) { return static_cast<double>(f.watches); } },
    { "false deaths", [](const fleet_figures& f) { return static_cast<double>(f.falseDeaths); } },
};

void printTable(const std::vector<fleet_figures>& all)
{
    constexpr int nameWidth = 36;
    constexpr int valueWidth = 10;
    for (const column& c : columns) {
        std::cout << std::left << std::setw(nameWidth) << c.name << std::right;
        for (const fleet_figures& f : all)
            std::cout << std::setw(valueWidth) << std::setprecision(4) << c.value(f);
        std::cout << "\n";
    }
}

void printJson(const std::vector<fleet_figures>& all)
{
    boost::json::array rows;
    for (const fleet_figures& f : all) {
        boost::json::object row;
        for (const column& c : columns)
            row[c.name] = c.value(f);
        rows.push_back(row);
    }
    std::cout << boost::json::serialize(rows) << "\n";
}

/// Bytes of heap that a node needs per member that its list names.
double bytesPerMember(std::size_t members)
{
    const auto before = mallinfo2().uordblks;
    fleet::member_table table;
    fleet::currency currency(virtual_fleet::name(0), {});
    std::vector<fleet::listed_vm> list;
    list.reserve(members);
    for (std::size_t i = 0; i < members; ++i) {
        list.push_back({ virtual_fleet::name(i), "10.0.0.1:" + std::to_string(i),
            utils::data_centre_id("dc-" + std::to_string(i % 4)), false });
    }
    table.setListed(list, {});
    currency.setListed(list, {});
    list = {};
    return static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(members);
}

/// Measured by the processor's clock and the heap, so apart from the figures that every run repeats.
void printMachineFigures(const std::vector<fleet_figures>& all)
{
    std::cerr << "processor time, share of a core a node, the virtual network included:";
    for (const fleet_figures& f : all)
        std::cerr << "  " << f.size.nodes << ": " << std::setprecision(3) << f.coreShare;
    std::cerr << "\nheap a member, bytes:  50: " << bytesPerMember(50) << "  400: " << bytesPerMember(400)
              << "\n";
}

} // namespace

int runFleet(const measure_options& options)
{
    const std::size_t count = options.quick ? 1 : std::size(sizes);
    std::vector<fleet_figures> all(count);
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> workers;
    // The largest size first: it takes longest. Each has a fleet of its own, so no figure depends on threads.
    for (unsigned worker = 0; worker < std::max(1U, options.threads); ++worker) {
        workers.emplace_back([&] {
            for (std::size_t done = next++; done < count; done = next++)
                all[count - 1 - done] = measureSize(sizes[count - 1 - done]);
        });
    }
    for (std::thread& worker : workers)
        worker.join();
    if (options.json)
        printJson(all);
    else
        printTable(all);
    printMachineFigures(all);
    return 0;
}

} // namespace measure
