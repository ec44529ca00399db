#include "queuecost.h"

#include "decisions/fairqueue.h"
#include "decisions/poisonregister.h"
#include "decisions/quotalender.h"
#include "report/htmlreport.h"

#include <boost/json.hpp>

#include <malloc.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace measure {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t operations = 2000;
const utils::time_point start = utils::time_point {} + std::chrono::hours(1);

struct cost_row {
    std::string part;
    std::size_t size = 0;
    double micros = 0; ///< an operation
    double bytes = 0; ///< an item
};

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

double microsEach(const std::function<void(std::size_t)>& operation)
{
    const clock::time_point from = clock::now();
    for (std::size_t i = 0; i < operations; ++i)
        operation(i);
    return std::chrono::duration<double, std::micro>(clock::now() - from).count() / operations;
}

decisions::queue_entry entryOf(std::size_t id, std::size_t teams)
{
    decisions::queue_entry entry;
    entry.id = id;
    entry.team = utils::team_id("team-with-a-longer-name-" + std::to_string(id % teams));
    entry.expectedWork = std::chrono::milliseconds(100);
    return entry;
}

/// One request through a queue that holds `size` entries: push, take, finish, expire.
cost_row queueCost(std::size_t size)
{
    decisions::fair_queue_limits limits;
    limits.maxEntries = size * 2;
    limits.slots = 32;
    limits.admission.maxWait.fill(std::chrono::hours(1));
    const double before = heapBytes();
    decisions::fair_queue queue(limits);
    const std::size_t teams = size / 4;
    std::size_t id = 0;
    while (id < size)
        queue.push(entryOf(++id, teams), start);
    const double bytes = (heapBytes() - before) / static_cast<double>(size);
    const double micros = microsEach([&](std::size_t) {
        queue.push(entryOf(++id, teams), start);
        const auto next = queue.takeNext(start);
        if (next)
            queue.finished(next->id, start + next->expectedWork);
        queue.expire(start);
    });
    return { "queue: one request", size, micros, bytes };
}

/// One answer of a home that lends to so many nodes.
cost_row lenderCost(std::size_t nodes)
{
    const double before = heapBytes();
    decisions::quota_lender lender;
    const utils::team_id team("team");
    lender.setLimit(team, { 1000, 1000 }, start);
    lender.becomeHome(team, start, true);
    std::uint64_t sequence = 0;
    const auto ask = [&](std::size_t i) {
        decisions::quota_lease_request request;
        request.team = team;
        request.borrower = utils::node_id("node-" + std::to_string(i % nodes));
        request.sequence = ++sequence;
        request.wantedRequests = 1;
        request.wantedConcurrent = 1;
        lender.answer(request, start + std::chrono::milliseconds(i));
    };
    for (std::size_t i = 0; i < nodes; ++i)
        ask(i);
    const double bytes = (heapBytes() - before) / static_cast<double>(nodes);
    return { "team limit: one answer, by borrowers", nodes, microsEach(ask), bytes };
}

/// One check of a suspect against so many strikes.
cost_row poisonCost(std::size_t strikes)
{
    const double before = heapBytes();
    decisions::poison_register known;
    for (std::size_t i = 0; i < strikes; ++i)
        known.crashed(i, { { i, 0 }, { i, 1 } }, start + std::chrono::seconds(i));
    const double bytes = (heapBytes() - before) / static_cast<double>(known.size());
    const utils::time_point now = start + std::chrono::seconds(strikes);
    const double micros = microsEach([&](std::size_t i) { known.check({ i % strikes, 0 }, now); });
    return { "poison register: check of a suspect, by strikes", known.size(), micros, bytes };
}

report::table_rows tableOf(const std::vector<cost_row>& rows)
{
    report::table_rows table { { "part", "size", "us/operation", "bytes/item" } };
    for (const cost_row& row : rows) {
        table.push_back({ row.part, std::to_string(row.size), report::formatNumber(row.micros, 2),
            report::formatNumber(row.bytes, 0) });
    }
    return table;
}

} // namespace

int runQueueCost(const measure_options& options)
{
    std::vector<cost_row> rows;
    for (const std::size_t size : { 64, 128, 256, 512 })
        rows.push_back(queueCost(size));
    for (const std::size_t nodes : { 7, 50, 400 })
        rows.push_back(lenderCost(nodes));
    for (const std::size_t strikes : { 50, 500, 2000 })
        rows.push_back(poisonCost(strikes));
    if (!options.json) {
        report::printTable(std::cout, tableOf(rows));
        return 0;
    }
    boost::json::array list;
    for (const cost_row& row : rows) {
        list.push_back(
            { { "part", row.part }, { "size", row.size }, { "micros", row.micros }, { "bytes", row.bytes } });
    }
    std::cout << boost::json::serialize(list) << "\n";
    return 0;
}

} // namespace measure
