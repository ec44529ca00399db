#include "operationservice.h"

#include "callerwriter.h"
#include "clock.h"
#include "collectedanswer.h"
#include "framewriter.h"
#include "headers.h"
#include "operationhost.h"

#include "utils/crypto.h"
#include "utils/hashing.h"

namespace serving {

namespace {

namespace asio = boost::asio;
using utils::error_kind;
using utils::failure;
using utils::run_state;

constexpr std::size_t nonceBytes = 16;

std::string randomHex()
{
    const std::string bytes = utils::randomBytes(nonceBytes);
    return utils::toHex({ reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size() });
}

answer_head headOf(const operations::answer_caller& answered)
{
    answer_head head;
    head.status = answered.answer.status;
    for (const auto& [name, value] : answered.answer.headers)
        head.headers.push_back({ name, value });
    head.headers.push_back({ "Content-Length", std::to_string(answered.answer.body.size()) });
    if (answered.isReplay)
        head.headers.push_back({ "Idempotent-Replayed", "true" });
    return head;
}

template <answer_sink Sink>
asio::awaitable<attempt_result> deliver(const operations::answer_caller& answered, Sink& sink)
{
    attempt_result result;
    result.hasHead = true;
    result.status = answered.answer.status;
    const answer_head head = headOf(answered);
    bool isDelivered = co_await sink.head(head);
    if (isDelivered)
        isDelivered = co_await sink.body(answered.answer.body);
    if (isDelivered)
        isDelivered = co_await sink.end();
    if (!isDelivered)
        result.failure = utils::makeFailure(error_kind::CallerGone);
    co_return result;
}

/// Tells the operation when the coroutine that waits for it is cancelled.
class caller_watch {
public:
    explicit caller_watch(operation_host& host)
        : m_host(&host)
    {
    }
    ~caller_watch()
    {
        if (m_host != nullptr)
            m_host->callerGone();
    }
    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;
    void dismiss() { m_host = nullptr; }

private:
    operation_host* m_host;
};

} // namespace

operation_service::operation_service(node_context& context, home_service& home, keyvalue::kv_client& kv,
    batched_kv& writes, const utils::state_chart& chart)
    : m_context(context)
    , m_home(home)
    , m_writes(writes)
    , m_chart(chart)
    , m_lease(kv)
    , m_boot(utils::hash64(randomHex()))
{
}

operations::operation_request operation_service::makeOperation(
    const wire::forward_request& request, std::int64_t lease) const
{
    operations::operation_request operation;
    operation.team = request.team;
    operation.idempotencyKey = request.idempotencyKey;
    operation.bodyDigest = utils::sha256Hex(request.method + ' ' + request.target + '\n' + request.body);
    operation.nonce = randomHex();
    operation.node = m_context.settings.node;
    operation.boot = m_boot;
    operation.wallSeconds = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::system_clock::now().time_since_epoch())
                                .count();
    operation.runTimeout = utils::duration(request.remainingUs);
    operation.lease = lease;
    return operation;
}

template <answer_sink Sink>
asio::awaitable<attempt_result> operation_service::serve(wire::forward_request request, Sink& sink)
{
    const utils::time_point deadline = now() + utils::duration(request.remainingUs);
    trace_span span(m_context.traces, "home", parseTraceparent(request.traceparent));
    span.setAttribute("server", request.server.str());
    request.traceparent = formatTraceparent(span.context());
    attempt_result result;
    home_service::ticket held;
    result.failure = co_await m_home.admit(request, digestOf(request), deadline, held);
    if (result.failure)
        co_return result;
    const std::int64_t lease = co_await m_lease.current(now());
    if (lease == 0) {
        result.failure = utils::makeFailure(error_kind::PlatformUnavailable, {}, run_state::NotRun);
        co_return result;
    }
    auto operation = makeOperation(request, lease);
    const auto host
        = std::make_shared<operation_host>(operation_host::parts { m_context, m_home, m_writes, m_chart },
            std::move(operation), std::move(request), std::move(held), deadline);
    caller_watch watch(*host);
    host->start();
    co_await host->wait();
    watch.dismiss();
    if (host->answer())
        co_return co_await deliver(*host->answer(), sink);
    result.failure = host->refusal();
    co_return result;
}

template asio::awaitable<attempt_result> operation_service::serve(wire::forward_request, caller_writer&);
template asio::awaitable<attempt_result> operation_service::serve(wire::forward_request, frame_writer&);
template asio::awaitable<attempt_result> operation_service::serve(wire::forward_request, collected_answer&);

} // namespace serving
