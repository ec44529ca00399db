#include "soakplan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace soak {

namespace {

constexpr std::array<std::pair<fault_kind, std::string_view>, 24> kinds { {
    { fault_kind::KillNode, "kill_node" },
    { fault_kind::PauseNode, "pause_node" },
    { fault_kind::StopNode, "stop_node" },
    { fault_kind::ReloadNode, "reload_node" },
    { fault_kind::StoreRefuses, "store_refuses" },
    { fault_kind::StoreSilent, "store_silent" },
    { fault_kind::StoreDeaf, "store_deaf" },
    { fault_kind::StoreAway, "store_away" },
    { fault_kind::StoreForgets, "store_forgets" },
    { fault_kind::StoreLink, "store_link" },
    { fault_kind::ServerLink, "server_link" },
    { fault_kind::ServerActs, "server_acts" },
    { fault_kind::ServerLeaves, "server_leaves" },
    { fault_kind::KeyRevoked, "key_revoked" },
    { fault_kind::ConfigurationChanges, "configuration_changes" },
    { fault_kind::DataCentreEvacuated, "data_centre_evacuated" },
    { fault_kind::NodeCutOff, "node_cut_off" },
    { fault_kind::ServersBrittle, "servers_brittle" },
    { fault_kind::FleetKilled, "fleet_killed" },
    { fault_kind::ServiceFails, "service_fails" },
    { fault_kind::EnginesReleased, "engines_released" },
    { fault_kind::PartCrashesEngines, "part_crashes_engines" },
    { fault_kind::ServersStall, "servers_stall" },
    { fault_kind::ServersRest, "servers_rest" },
} };

// The last kinds are drawn apart, so that a seed from before them has the faults that it had.
constexpr std::size_t drawnKinds = kinds.size() - 9;
constexpr std::uint64_t evacuationSalt = 0x9e3779b97f4a7c15;
constexpr int mostEvacuations = 2;
constexpr std::uint64_t pathSalt = 0xc2b2ae3d27d4eb4f;
constexpr int mostCuts = 3;
constexpr int mostBrittleTimes = 1;
constexpr std::uint64_t killSalt = 0x165667b19e3779f9;
constexpr int fleetKilledOneIn = 2; // seeds
constexpr int fewestKills = 3;
constexpr int mostKills = 6;
constexpr int shortestKillPause = 1200; // ms, from kill to kill: nodes know their fleet after a second
constexpr int longestKillPause = 3000; // ms
constexpr int longestDown = 600; // ms, of a killed fleet
constexpr std::uint64_t releaseSalt = 0x27d4eb2f165667c5;
constexpr int mostReleases = 2;
constexpr std::uint64_t crashSalt = 0x85ebca77c2b2ae63;
constexpr int partCrashesOneIn = 2; // seeds
constexpr std::uint64_t stallSalt = 0x904d0177726dfc80;
constexpr int stallsOneIn = 2; // seeds
constexpr int slowEventsOneIn = 2; // seeds in which servers stall
constexpr int mostStallGroups = 3;
constexpr int longestStallSeries = 3;
constexpr int shortestStall = 500; // ms
constexpr int longestStall = 6000; // ms
constexpr int longestStallPause = 1500; // ms, from the end of a stall to the next of its series
constexpr std::uint64_t restSalt = 0x3c6ef372fe94f82b;
constexpr int restsOneIn = 2; // seeds
constexpr int mostRests = 3;
constexpr auto slowEventInterval = std::chrono::milliseconds(100);
constexpr auto lowTargetLatency = std::chrono::milliseconds(500);
constexpr auto lowTargetGap = std::chrono::milliseconds(250);
constexpr auto evacuationLead = std::chrono::seconds(5); // until no request may arrive any more
// One group of faults begins each second or so: with lengths up to four seconds two or three overlap.
constexpr auto meanPause = std::chrono::milliseconds(900);
constexpr int shortest = 100; // ms
constexpr int longest = 4000; // ms
constexpr int inSeries = 3; // one group in three is a series of one kind, as of a rolling restart
constexpr int seriesLength = 3;

int drawBetween(std::mt19937_64& random, int low, int high)
{
    return low + static_cast<int>(random() % static_cast<unsigned>(high - low + 1));
}

planned_fault drawFault(std::mt19937_64& random, duration at)
{
    planned_fault fault;
    fault.kind = kinds.at(random() % drawnKinds).first;
    fault.at = at;
    fault.lasts = duration(drawBetween(random, shortest, longest));
    fault.target = random();
    fault.variant = static_cast<unsigned>(random());
    return fault;
}

void addEvacuations(std::vector<planned_fault>& plan, std::uint64_t seed, duration end)
{
    std::mt19937_64 random(seed ^ evacuationSalt);
    for (int i = drawBetween(random, 0, mostEvacuations); i > 0; --i) {
        planned_fault fault
            = drawFault(random, duration(drawBetween(random, 0, static_cast<int>(end.count()))));
        fault.kind = fault_kind::DataCentreEvacuated;
        fault.lasts += evacuationLead;
        plan.push_back(fault);
    }
}

void addLostPaths(std::vector<planned_fault>& plan, std::uint64_t seed, duration end)
{
    std::mt19937_64 random(seed ^ pathSalt);
    const auto add = [&](fault_kind kind, int most) {
        for (int i = drawBetween(random, 0, most); i > 0; --i) {
            planned_fault fault
                = drawFault(random, duration(drawBetween(random, 0, static_cast<int>(end.count()))));
            fault.kind = kind;
            plan.push_back(fault);
        }
    };
    add(fault_kind::NodeCutOff, mostCuts);
    add(fault_kind::ServersBrittle, mostBrittleTimes);
}

/// Kills of the fleet in series, while a service fails.
void addKilledFleets(std::vector<planned_fault>& plan, std::uint64_t seed, duration end)
{
    std::mt19937_64 random(seed ^ killSalt);
    if (random() % fleetKilledOneIn != 0)
        return;
    // Early enough for most of the series.
    const int latest = static_cast<int>(end.count()) / 4;
    planned_fault failing = drawFault(random, duration(drawBetween(random, 0, latest)));
    failing.kind = fault_kind::ServiceFails;
    const duration pause(drawBetween(random, shortestKillPause, longestKillPause));
    const int kills = drawBetween(random, fewestKills, mostKills);
    failing.lasts = (kills + 1) * pause;
    plan.push_back(failing);
    for (int i = 0; i < kills; ++i) {
        planned_fault kill = drawFault(random, failing.at + i * pause + pause / 2);
        kill.kind = fault_kind::FleetKilled;
        kill.lasts = duration(drawBetween(random, shortest, longestDown));
        if (kill.at < end)
            plan.push_back(kill);
    }
}

void addReleases(std::vector<planned_fault>& plan, std::uint64_t seed, duration end)
{
    std::mt19937_64 random(seed ^ releaseSalt);
    // Early enough for callers to have streams of both versions.
    const int latest = static_cast<int>(end.count()) / 2;
    for (int i = drawBetween(random, 0, mostReleases); i > 0; --i) {
        planned_fault fault = drawFault(random, duration(drawBetween(random, 0, latest)));
        fault.kind = fault_kind::EnginesReleased;
        plan.push_back(fault);
    }
}

/// Engines crash under a part of prompts from early on to the end.
void addCrashingPart(std::vector<planned_fault>& plan, std::uint64_t seed, duration end)
{
    std::mt19937_64 random(seed ^ crashSalt);
    if (random() % partCrashesOneIn != 0)
        return;
    const int latest = static_cast<int>(end.count()) / 4;
    planned_fault fault = drawFault(random, duration(drawBetween(random, 0, latest)));
    fault.kind = fault_kind::PartCrashesEngines;
    fault.lasts = end;
    plan.push_back(fault);
}

/// The numbers for the stalls of a seed. `hasStalls` and `hasSlowEvents` are drawn first.
struct stall_numbers {
    explicit stall_numbers(std::uint64_t seed)
        : random(seed ^ stallSalt)
        , hasStalls(random() % stallsOneIn == 0)
        , hasSlowEvents(hasStalls && random() % slowEventsOneIn == 0)
    {
    }

    std::mt19937_64 random;
    bool hasStalls;
    bool hasSlowEvents;
};

/// Stalls alone and in series, of the same servers or of others each time.
void addStalls(std::vector<planned_fault>& plan, std::uint64_t seed, duration end)
{
    stall_numbers numbers(seed);
    std::mt19937_64& random = numbers.random;
    if (!numbers.hasStalls)
        return;
    for (int i = drawBetween(random, 1, mostStallGroups); i > 0; --i) {
        duration at(drawBetween(random, 0, static_cast<int>(end.count())));
        for (int left = drawBetween(random, 1, longestStallSeries); left > 0 && at < end; --left) {
            planned_fault fault = drawFault(random, at);
            fault.kind = fault_kind::ServersStall;
            fault.lasts = duration(drawBetween(random, shortestStall, longestStall));
            plan.push_back(fault);
            at += fault.lasts + duration(drawBetween(random, 0, longestStallPause));
        }
    }
}

void addRests(std::vector<planned_fault>& plan, std::uint64_t seed, duration end)
{
    std::mt19937_64 random(seed ^ restSalt);
    if (random() % restsOneIn != 0)
        return;
    for (int i = drawBetween(random, 1, mostRests); i > 0; --i) {
        planned_fault fault
            = drawFault(random, duration(drawBetween(random, 0, static_cast<int>(end.count()))));
        fault.kind = fault_kind::ServersRest;
        plan.push_back(fault);
    }
}

} // namespace

std::string_view toString(fault_kind kind)
{
    const auto found = std::ranges::find(kinds, kind, &std::pair<fault_kind, std::string_view>::first);
    return found == kinds.end() ? "unknown" : found->second;
}

std::vector<planned_fault> drawPlan(std::uint64_t seed, const soak_size& size)
{
    std::mt19937_64 random(seed);
    std::vector<planned_fault> plan;
    const duration end = size.length * 4 / 5;
    const int widest = static_cast<int>(2 * meanPause.count());
    for (duration at {}; at < end; at += duration(drawBetween(random, 0, widest))) {
        const planned_fault first = drawFault(random, at);
        const int count = random() % inSeries == 0 ? seriesLength : 1;
        for (int i = 0; i < count; ++i) {
            planned_fault fault = first;
            fault.at += i * meanPause / 2;
            fault.target += static_cast<std::size_t>(i);
            plan.push_back(fault);
        }
    }
    addEvacuations(plan, seed, end);
    addLostPaths(plan, seed, end);
    addKilledFleets(plan, seed, end);
    addReleases(plan, seed, end);
    addCrashingPart(plan, seed, end);
    addStalls(plan, seed, end);
    addRests(plan, seed, end);
    std::ranges::stable_sort(plan, {}, &planned_fault::at);
    return plan;
}

server_share serversHit(const planned_fault& fault, std::size_t serversOfEach)
{
    enum {
        Press,
        Engines,
        Both,
        Services
    };
    enum {
        One,
        Third,
        All,
        Shares
    };
    const unsigned service = fault.variant % Services;
    server_share share { service != Engines, service != Press, serversOfEach };
    switch (fault.variant / Services % Shares) {
    case One:
        share.ofEach = 1;
        break;
    case Third:
        share.ofEach = (serversOfEach + 2) / 3;
        break;
    default:
        break;
    }
    return share;
}

soak_pace drawPace(std::uint64_t seed)
{
    const stall_numbers numbers(seed);
    soak_pace pace;
    if (numbers.hasStalls) {
        pace.targetLatency = lowTargetLatency;
        pace.targetGap = lowTargetGap;
    }
    if (numbers.hasSlowEvents)
        pace.eventInterval = slowEventInterval;
    return pace;
}

} // namespace soak
