#include "peerserver.h"

#include "wire/acceptloop.h"
#include "wire/task.h"

#include "framewriter.h"

#include "utils/eventlog.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;
using wire::frame_type;

wire::forward_failure toMessage(const attempt_result& result)
{
    wire::forward_failure message;
    message.kind = static_cast<std::int32_t>(result.failure->kind);
    message.run = static_cast<std::int32_t>(runStateOf(*result.failure));
    if (result.failure->retryAfter)
        message.retryAfterUs = result.failure->retryAfter->count();
    message.detail = result.failure->detail;
    message.tryInstead = result.tryInstead;
    message.tryInsteadTokens = result.tryInsteadTokens;
    message.load = result.load;
    message.crash = result.crash;
    message.wasAlone = result.wasAlone;
    message.slots = result.slots;
    return message;
}

} // namespace

peer_server::peer_server(node_context& context, home_service& home, operation_service& operations,
    wire::fleet_keys keys, call_handler onCall)
    : m_context(context)
    , m_home(home)
    , m_operations(operations)
    , m_keys(std::move(keys))
    , m_onCall(std::move(onCall))
    , m_acceptor(context.executor)
{
}

void peer_server::start(const asio::ip::tcp::endpoint& endpoint)
{
    m_acceptor = wire::listenOn(m_context.executor, endpoint);
    wire::startTask(m_context.executor, "accept_peers",
        wire::acceptLoop(
            m_acceptor, [this](asio::ip::tcp::socket socket) { return session(std::move(socket)); }));
}

void peer_server::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> peer_server::session(asio::ip::tcp::socket socket)
{
    boost::system::error_code ignored;
    const auto peer = socket.remote_endpoint(ignored);
    wire::frame_stream stream(std::move(socket));
    bool goesOn = co_await stream.accept(m_keys);
    while (goesOn) {
        auto frame = co_await stream.read();
        if (!frame)
            break;
        goesOn = co_await handle(stream, std::move(*frame));
    }
    if (stream.hasFailedAuthentication())
        utils::logEvent(utils::event::PeerKeyRejected, { { "peer", peer.address().to_string() } });
}

asio::awaitable<bool> peer_server::handle(wire::frame_stream& stream, wire::frame frame)
{
    using namespace asio::experimental::awaitable_operators;
    if (frame.type == frame_type::Call) {
        auto question = wire::decode<wire::peer_call>(frame.payload);
        if (!question)
            co_return false;
        const wire::peer_reply reply = co_await m_onCall(std::move(*question));
        co_return co_await stream.write(frame_type::Reply, wire::encode(reply));
    }
    if (frame.type != frame_type::ForwardRequest)
        co_return false;
    auto request = wire::decode<wire::forward_request>(frame.payload);
    if (!request)
        co_return false;
    frame.payload = {};
    // The entry node closes the stream when its caller has gone; then the work is cancelled here.
    auto outcome = co_await (serveRequest(stream, std::move(*request)) || stream.untilClosed());
    co_return outcome.index() == 0 && std::get<0>(outcome);
}

asio::awaitable<bool> peer_server::serveRequest(wire::frame_stream& stream, wire::forward_request request)
{
    frame_writer writer(stream);
    attempt_result result;
    if (request.isIdempotent)
        result = co_await m_home.serve(std::move(request), writer);
    else
        result = co_await m_operations.serve(std::move(request), writer);
    if (result.isWhole())
        co_return true;
    if (result.failure->kind == utils::error_kind::CallerGone)
        co_return false;
    co_return co_await stream.write(frame_type::ForwardFailure, wire::encode(toMessage(result)));
}

} // namespace serving
