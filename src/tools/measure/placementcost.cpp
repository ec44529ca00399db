#include "measureoptions.h"

#include "decisions/homeledger.h"
#include "decisions/loadview.h"
#include "decisions/ranking.h"
#include "decisions/spilltable.h"

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace measure {

namespace {

constexpr int repeats = 2000;

/// Nanoseconds that one call takes, over many.
template <class Function> double nanosecondsOf(Function&& function)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < repeats; ++i)
        function(i);
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count()
        / repeats;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

/// What one size costs.
struct cost_row {
    double rank = 0;
    double observe = 0;
    double admit = 0;
    std::size_t viewBytes = 0;
};

cost_row costFor(unsigned engines)
{
    constexpr unsigned slots = 32;
    constexpr std::size_t candidates = 10;
    const utils::time_point now { std::chrono::hours(1) };
    std::vector<decisions::placement_server> servers(engines);
    const auto before = heapBytes();
    decisions::load_view view;
    for (unsigned i = 0; i < engines; ++i) {
        servers[i].id = utils::server_id("engine-" + std::to_string(i));
        servers[i].slots = slots;
        view.merge({ servers[i].id, slots / 2, slots, now });
    }
    cost_row row;
    row.viewBytes = heapBytes() - before;
    std::size_t sink = 0;
    row.rank = nanosecondsOf([&](int i) {
        sink += decisions::rankServers(static_cast<std::uint64_t>(i), servers, candidates).front();
    });
    row.observe = nanosecondsOf([&](int) { sink += view.observe(now).totalSlots > 0 ? 1 : 0; });
    decisions::home_ledger ledger(utils::node_id("node-1"), slots);
    ledger.claim({}, now - std::chrono::minutes(1));
    const decisions::fleet_state fleet { view.observe(now), 1, 1, true };
    row.admit = nanosecondsOf([&](int i) {
        ledger.admit(static_cast<std::uint64_t>(i), true, {}, fleet, now);
        ledger.finish(static_cast<std::uint64_t>(i), now);
    });
    if (sink == 0)
        std::printf("no server ranked\n");
    return row;
}

std::size_t memoryBytes(std::size_t chats)
{
    const auto before = heapBytes();
    decisions::spill_table memory;
    for (std::size_t i = 0; i < chats; ++i)
        memory.remember(i, { utils::server_id("engine-1"), 1000 }, utils::time_point {});
    return heapBytes() - before;
}

} // namespace

int runPlacementCost(const measure_options&)
{
    std::printf(
        "%-8s %12s %14s %18s %12s\n", "engines", "rank ns", "mean ns", "admit+finish ns", "view bytes");
    for (const unsigned engines : { 12U, 40U, 200U, 600U }) {
        const auto row = costFor(engines);
        std::printf(
            "%-8u %12.0f %14.0f %18.0f %12zu\n", engines, row.rank, row.observe, row.admit, row.viewBytes);
    }
    for (const std::size_t chats : { 1000U, 10'000U, 50'000U })
        std::printf("spill memory, %zu chats: %zu bytes\n", chats, memoryBytes(chats));
    return 0;
}

} // namespace measure
