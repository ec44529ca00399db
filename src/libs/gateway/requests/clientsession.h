#pragma once

#include "callerconnection.h"
#include "cutanswer.h"
#include "gateway/nodecontext.h"
#include "requestflow.h"
#include "requestlog.h"
#include "responsewriter.h"

#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace gateway {

/// Serves the requests of one caller's connection, one after the other. Not thread safe.
template <wire_protocol Wire>
class client_session : public std::enable_shared_from_this<client_session<Wire>> {
public:
    /// `receiver`: this process's boot id if the connection comes from a peer that forwards requests, else 0.
    /// Precondition: the context and the services outlive the session.
    client_session(node_context& context, const flow_services& services, boost::asio::ip::tcp::socket socket,
        std::uint64_t receiver)
        : m_context(context)
        , m_services(services)
        , m_receiver(receiver)
        , m_connection(std::make_shared<caller_connection>(std::move(socket)))
    {
    }

    boost::asio::awaitable<void> run()
    {
        const auto self = this->shared_from_this();
        bool goesOn = true;
        while (goesOn) {
            catalogue::caller_limits limits
                = m_context.configuration ? m_context.configuration->limits : catalogue::caller_limits();
            if (m_receiver != 0)
                limits.headerBytes += hopHeaderBytes;
            read_outcome outcome = co_await m_connection->readRequest(limits);
            if (outcome.status == read_status::Closed)
                break;
            if (outcome.status == read_status::Request)
                goesOn = co_await serve(outcome);
            else
                goesOn = co_await reject(outcome);
        }
        m_connection->close();
    }

    /// Closes the connection if no request is in progress on it.
    void closeIfIdle() { m_connection->endIfIdle(); }
    /// Whether a request has begun to arrive and is not complete.
    bool isReading() const { return m_connection->isReading(); }
    /// Ends the request in progress, if there is one, with an answer that tells whether it may have run.
    void endRequest()
    {
        if (const auto scope = m_scope.lock())
            scope->stop(stop_reason::NodeEnds);
    }
    /// Logs the request in progress, if there is one, because the process ends.
    void reportUnfinished(utils::time_point now) { reportCut(cut_cause::ProcessEnd, {}, now); }

private:
    boost::asio::awaitable<bool> reject(const read_outcome& outcome)
    {
        const utils::error_kind kind = kindOf(outcome.status);
        response_writer writer(*m_connection, Wire::requestIdHeader(), std::string(), false);
        utils::failure failure = utils::makeFailure(kind, outcome.detail);
        m_context.metrics.countRequest(noService, utils::answerFor(kind).name, now() - outcome.arrivedAt);
        logRejected(failure);
        co_await writer.writeFailure(failure);
        co_await m_connection->closeGracefully();
        co_return false;
    }

    /// Counts a request as in progress while it exists.
    class progress_guard {
    public:
        progress_guard(client_session& session, const client_request& request, const response_writer& writer)
            : m_session(session)
        {
            ++m_session.m_context.requestsInProgress;
            m_session.m_request = &request;
            m_session.m_writer = &writer;
        }
        ~progress_guard()
        {
            m_session.m_request = nullptr;
            m_session.m_writer = nullptr;
            --m_session.m_context.requestsInProgress;
        }
        progress_guard(const progress_guard&) = delete;
        progress_guard& operator=(const progress_guard&) = delete;

    private:
        client_session& m_session;
    };

    /// Ends what a request has started on its connection, also when an exception leaves its flow.
    class watch_guard {
    public:
        watch_guard(std::shared_ptr<stop_scope> scope, caller_connection& connection)
            : m_scope(std::move(scope))
            , m_connection(connection)
        {
        }
        ~watch_guard()
        {
            m_scope->finish();
            m_connection.stopWatching();
        }
        watch_guard(const watch_guard&) = delete;
        watch_guard& operator=(const watch_guard&) = delete;

    private:
        std::shared_ptr<stop_scope> m_scope;
        caller_connection& m_connection;
    };

    void reportCut(cut_cause cause, const std::string& detail, utils::time_point present)
    {
        if (m_request == nullptr)
            return;
        m_context.metrics.countCutAnswer(noService, cause);
        logCutAnswer({ m_request->requestId, m_request->target, m_request->arrivedAt, m_writer->hasBegun() },
            cause, detail, present);
    }

    boost::asio::awaitable<bool> serve(read_outcome& outcome)
    {
        client_request request = Wire::decodeRequest(outcome.request->base());
        if (!takeHop(outcome.request->base(), request))
            co_return false;
        if (!outcome.request->body().empty())
            request.body = std::make_shared<const std::string>(std::move(outcome.request->body()));
        // The bytes waited for this iteration of the event loop before they were read.
        request.arrivedAt = outcome.arrivedAt - m_context.loopDelay.standing();
        const bool keepsAlive = outcome.request->keep_alive() && !m_context.window.isStopping();
        response_writer writer(*m_connection, Wire::requestIdHeader(), request.requestId, keepsAlive);
        const flow_result result = co_await dispatchSafely(request, writer);
        if (m_context.window.isStopping())
            writer.closeAfterResponse();
        if (result.isTruncated || result.stopReason == stop_reason::CallerGone) {
            m_connection->abort();
            co_return false;
        }
        if (!writer.keepsAlive())
            co_await m_connection->closeGracefully();
        co_return writer.keepsAlive();
    }

    /// Reads what a peer says about a request that it forwards. Returns false if the request does not come
    /// from a peer that knows this process.
    bool takeHop(const boost::beast::http::request_header<>& head, client_request& request) const
    {
        std::erase_if(request.forwardedHeaders,
            [](const header_line& line) { return boost::beast::iequals(line.name, forwardHopHeader); });
        if (m_receiver == 0)
            return true;
        request.hop = decodeHop(head[forwardHopHeader]);
        if (request.hop && request.hop->receiver == m_receiver)
            return true;
        logRejected(utils::makeFailure(utils::error_kind::MalformedRequest, "not forwarded by a peer"));
        return false;
    }

    /// Serves a request. An unexpected error ends this connection and nothing else.
    boost::asio::awaitable<flow_result> dispatchSafely(const client_request& request, response_writer& writer)
    {
        const progress_guard progress(*this, request, writer);
        try {
            co_return co_await dispatch(request, writer);
        } catch (const std::exception& error) {
            reportCut(cut_cause::TaskFailed, error.what(), now());
        }
        flow_result failed;
        failed.isTruncated = true;
        co_return failed;
    }

    boost::asio::awaitable<flow_result> dispatch(const client_request& request, response_writer& writer)
    {
        std::optional<utils::failure> refused;
        request_plan plan = utils::valueOr([&] { return planRequest(m_context, request, now()); },
            [&](const utils::failure& failure) {
                refused = failure;
                return request_plan();
            });
        if (refused) {
            if (utils::answerFor(refused->kind).hasRetryAfter)
                refused->retryAfter = retryAfterFor(refused->kind, m_context.nextRequestNumber++);
            flow_result result;
            result.failure = refused;
            report(request, plan, result);
            co_await writer.writeFailure(*refused);
            co_return result;
        }
        const auto scope = std::make_shared<stop_scope>(m_context.executor);
        m_scope = scope;
        scope->setDeadline(plan.deadline, now());
        m_connection->watch([scope] { scope->stop(stop_reason::CallerGone); });
        // A caller that does not read blocks the stream, so at the deadline its connection is reset.
        scope->onDeadline([connection = m_connection, &writer] {
            if (writer.isStream())
                connection->abort();
        });
        request_flow<Wire> flow(m_context, m_services, request, plan, scope, writer);
        flow_result result;
        {
            const watch_guard guard(scope, *m_connection);
            result = co_await flow.run();
        }
        result.endOfCaller = m_connection->endOfCaller();
        report(request, plan, result);
        co_return result;
    }

    void report(const client_request& request, const request_plan& plan, const flow_result& result)
    {
        const utils::time_point finishedAt = now();
        const std::string_view kind
            = result.failure ? utils::answerFor(result.failure->kind).name : std::string_view();
        m_context.metrics.countRequest(plan.route == nullptr ? noService : std::string_view(plan.service),
            kind, finishedAt - request.arrivedAt);
        logRequest(m_context, request, plan, result, finishedAt);
        const bool hasCallerLeft = result.stopReason == stop_reason::CallerGone && result.events > 0;
        if (!result.isTruncated && !hasCallerLeft)
            return;
        m_context.metrics.countCutAnswer(plan.service, cutCauseOf(result.lastSent, result.stopReason));
        logCutAnswer(m_context, request, plan, result, finishedAt);
    }

    static utils::error_kind kindOf(read_status status)
    {
        switch (status) {
        case read_status::HeadTooLarge:
            return utils::error_kind::HeaderTooLarge;
        case read_status::BodyTooLarge:
            return utils::error_kind::BodyTooLarge;
        case read_status::TooSlow:
            return utils::error_kind::RequestTimeout;
        default:
            return utils::error_kind::MalformedRequest;
        }
    }

    static constexpr std::string_view noService = "none"; ///< label of requests that reach no service

    static constexpr std::size_t hopHeaderBytes = 512; ///< room for the headers that a peer adds

    node_context& m_context;
    flow_services m_services;
    std::uint64_t m_receiver;
    std::shared_ptr<caller_connection> m_connection;
    std::weak_ptr<stop_scope> m_scope; ///< of the request in progress
    const client_request* m_request = nullptr; ///< in progress; null: none
    const response_writer* m_writer = nullptr; ///< of that request
};

} // namespace gateway
