#include "crashprobe.h"

#include "clock.h"
#include "servingconstants.h"

#include "wire/connect.h"

#include "utils/eventlog.h"
#include "utils/hashing.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace serving {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// All requests cut by one crash break within this time of each other.
constexpr std::chrono::milliseconds crashBurst { 200 };

} // namespace

crash_probe::crash_probe(node_context& context, backend_pool& connections)
    : m_context(context)
    , m_connections(connections)
{
}

void crash_probe::note(home_slot& slot, const utils::pool_id& pool, const utils::server_id& server,
    const decisions::body_digest& digest)
{
    slot.brokenLately.push_back(digest);
    if (slot.isProbingCrash)
        return;
    slot.isProbingCrash = true;
    asio::co_spawn(m_context.executor, probe(slot, pool, server), asio::detached);
}

asio::awaitable<void> crash_probe::waitFor(home_slot& slot, attempt_result& result)
{
    asio::steady_timer wake(m_context.executor, asio::steady_timer::time_point::max());
    while (slot.isProbingCrash) {
        slot.probeWaiters.push_back(&wake);
        co_await wake.async_wait(asTuple);
        std::erase(slot.probeWaiters, &wake);
    }
    result.crash = slot.lastCrash;
    result.wasAlone = slot.wasAloneInCrash;
}

asio::awaitable<void> crash_probe::probe(home_slot& slot, utils::pool_id pool, utils::server_id server)
{
    asio::steady_timer timer(m_context.executor, crashBurst);
    co_await timer.async_wait(asTuple);
    // Copied: another document may be in force, and this one gone, when the connection is settled.
    const std::string address = addressOf(pool, server);
    bool isUp = false;
    if (!address.empty()) {
        const auto socket = co_await wire::connectTo(m_context.executor, address, connectTimeout);
        isUp = socket.has_value();
    }
    slot.isProbingCrash = false;
    slot.lastCrash = 0;
    for (asio::steady_timer* waiter : slot.probeWaiters)
        waiter->cancel();
    const std::vector<decisions::body_digest> suspects = std::exchange(slot.brokenLately, {});
    if (isUp || address.empty())
        co_return;
    noteCrash(slot, server, suspects);
    m_connections.forget(address);
}

std::string crash_probe::addressOf(const utils::pool_id& pool, const utils::server_id& server) const
{
    const config::backend_server* entry
        = m_context.document ? m_context.document->findServer(pool, server) : nullptr;
    return entry == nullptr ? std::string() : entry->address;
}

void crash_probe::noteCrash(
    home_slot& slot, const utils::server_id& server, const std::vector<decisions::body_digest>& suspects)
{
    const utils::time_point seen = now();
    slot.lastCrash = utils::hash64(server.str(), static_cast<std::uint64_t>(seen.time_since_epoch().count()));
    slot.wasAloneInCrash = suspects.size() == 1;
    m_context.poison.crashed(slot.lastCrash, suspects, seen);
    utils::logEvent(utils::event::ServerCrashed,
        { { "server", server.str() }, { "in_flight", std::to_string(suspects.size()) } });
}

} // namespace serving
