#include "batchedkv.h"

#include "clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

batched_kv::batched_kv(asio::any_io_executor executor, keyvalue::kv_client& kv)
    : m_executor(std::move(executor))
    , m_kv(kv)
    , m_timer(m_executor)
{
}

asio::awaitable<keyvalue::kv_reply> batched_kv::transact(keyvalue::kv_transaction transaction, bool canWait)
{
    const std::uint64_t id = ++m_lastCall;
    call waiting(m_executor);
    m_calls[id] = &waiting;
    operations::batch_item item;
    item.owner = id;
    item.transaction = std::move(transaction);
    item.canWait = canWait;
    apply(m_batcher.submit(std::move(item), now()));
    while (!waiting.reply)
        co_await waiting.wake.async_wait(asTuple);
    m_calls.erase(id);
    co_return std::move(*waiting.reply);
}

void batched_kv::apply(operations::batch_actions actions)
{
    for (operations::batch_action& action : actions)
        std::visit([this](auto& a) { run(std::move(a)); }, action);
}

void batched_kv::run(operations::send_batch action)
{
    ++m_sentBatches;
    asio::co_spawn(m_executor, send(std::move(action)), asio::detached);
}

void batched_kv::run(operations::deliver_reply action)
{
    const auto found = m_calls.find(action.owner);
    if (found == m_calls.end())
        return;
    found->second->reply = std::move(action.reply);
    found->second->wake.cancel();
}

void batched_kv::run(const operations::set_batch_timer& action)
{
    m_timer.expires_at(toSteady(action.at));
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            apply(m_batcher.onTimer(now()));
    });
}

asio::awaitable<void> batched_kv::send(operations::send_batch action)
{
    const keyvalue::kv_reply reply = co_await m_kv.transact(action.transaction);
    apply(m_batcher.onKvReply(action.batch, reply, now()));
}

} // namespace serving
