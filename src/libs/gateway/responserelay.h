#pragma once

#include "attempt.h"
#include "attempttracker.h"
#include "clock.h"
#include "eventscanner.h"
#include "flowresult.h"
#include "responsewriter.h"
#include "stopscope.h"
#include "wireprotocol.h"

#include <boost/asio/use_awaitable.hpp>

namespace gateway {

/// Reads the responses of the backend servers that a request was sent to, and passes on to its caller what is
/// a response to it: short ones whole, streams event by event, and what is too long to be held as it comes.
/// Not thread safe.
template <wire_protocol Wire> class response_relay {
public:
    /// What a relay works on. Precondition: all outlive it.
    struct dependencies {
        node_context& context;
        const client_request& request;
        const request_plan& plan;
        const std::shared_ptr<stop_scope>& scope;
        response_writer& writer;
        const attempt_record& record;
        attempt_tracker& tracker;
        flow_result& result;
    };

    explicit response_relay(const dependencies& dependencies)
        : m_context(dependencies.context)
        , m_request(dependencies.request)
        , m_plan(dependencies.plan)
        , m_scope(dependencies.scope)
        , m_writer(dependencies.writer)
        , m_record(dependencies.record)
        , m_tracker(dependencies.tracker)
        , m_result(dependencies.result)
        , m_scanner(dependencies.request.lastEventId)
    {
    }

    /// Ends the attempt when it falls silent, where the request can go on elsewhere.
    void startTimeout(utils::duration limit)
    {
        if (!mayRetryElsewhere(m_plan))
            return;
        m_tracker.restartTimeout(now());
        m_scope->setTimeoutCheck(
            [this, limit](utils::time_point present) { return m_tracker.timeoutAt(limit, present); }, now());
    }

    /// Reads the response to what was just sent and hands it on.
    boost::asio::awaitable<attempt_outcome> exchange(utils::server_id server, http_connection_ptr connection)
    {
        m_scanner.restart();
        server_response response;
        for (unsigned skipped = 0;; ++skipped) {
            const error_code error = co_await connection->readHead();
            if (error)
                co_return endOf(error);
            response = Wire::decodeResponse(connection->head());
            // A second response to an earlier request may come first.
            if (response.requestId.empty() || response.requestId == m_request.requestId)
                break;
            if (skipped == maxSkipped)
                co_return attempt_outcome::Garbled;
            const error_code skipError = co_await connection->skipResponse();
            if (skipError)
                co_return endOf(skipError);
        }
        m_tracker.dataReceived(now());
        connection->idleLimit = response.idleLimit;
        if (response.load)
            m_context.loads.recordReport(server, response.load->running, response.load->waiting, now());
        if (response.isNotExecuted) {
            if (response.status == misdirected)
                m_context.servers.markIdentityMismatch(server);
            std::string unused;
            co_await readShort(*connection, unused);
            co_return attempt_outcome::NotRun;
        }
        if (response.status >= 200 && response.status < 300 && (!response.isSigned || response.isEncoded))
            co_return attempt_outcome::Garbled;
        const bool isStream = m_plan.route->kind == catalogue::request_kind::Stream && response.status < 300;
        if (isStream)
            co_return co_await relayStream(std::move(response), std::move(connection));
        co_return co_await relayShort(std::move(response), std::move(connection));
    }

    /// Whether a failure is kept that may be passed on if nothing better comes.
    bool hasFallback() const { return m_fallback.has_value(); }
    /// Passes it on. Precondition: hasFallback().
    boost::asio::awaitable<attempt_outcome> sendFallback()
    {
        co_return co_await deliver(std::move(*m_fallback), std::move(m_fallbackBody));
    }

    /// The last event that went on.
    std::optional<std::uint64_t> lastEventId() const { return m_scanner.lastId(); }
    std::uint64_t eventCount() const { return m_scanner.count(); }

private:
    using error_code = boost::system::error_code;

    boost::asio::awaitable<attempt_outcome> relayShort(
        server_response response, http_connection_ptr connection)
    {
        std::string body;
        const error_code error = co_await readShort(*connection, body);
        if (error)
            co_return endOf(error);
        m_tracker.prefillDone();
        // A server that says no without the mark has perhaps run the request; the caller must not be told
        // that it has not.
        const bool promisesNotRun = response.status == 429 || response.status == 503 || response.status == 408
            || response.status == misdirected;
        if (!response.isSigned || promisesNotRun)
            co_return attempt_outcome::Garbled;
        m_result.status = response.status;
        if (!connection->isDone())
            co_return co_await relayLong(std::move(response), std::move(body), std::move(connection));
        const bool isFailure = response.status >= 500;
        if (isFailure && canRepeat() && !m_writer.hasBegun()) {
            m_fallback = std::move(response);
            m_fallbackBody = std::move(body);
            co_return attempt_outcome::Failed;
        }
        co_return co_await deliver(std::move(response), std::move(body));
    }

    /// Passes on a response that is too long to be held, from what was read of it. Cut on the way it cannot
    /// be asked elsewhere any more; without its last chunk the caller sees that it is not whole.
    boost::asio::awaitable<attempt_outcome> relayLong(
        server_response response, std::string bytes, http_connection_ptr connection)
    {
        if (m_writer.hasBegun())
            co_return attempt_outcome::Garbled; // a stream cannot go on with a short response
        while (true) {
            m_tracker.dataReceived(now());
            if (!co_await m_writer.writePart(response, bytes))
                co_return attempt_outcome::Stopped;
            if (connection->isDone())
                break;
            bytes.clear();
            const error_code error = co_await connection->readBody(bytes);
            m_result.isTruncated = m_result.isTruncated || error;
            if (error)
                co_return endOf(error);
        }
        co_return co_await endParts();
    }

    boost::asio::awaitable<attempt_outcome> deliver(server_response response, std::string body)
    {
        if (m_writer.hasBegun())
            co_return attempt_outcome::Garbled; // a stream cannot go on with a short response
        const bool hasBody = m_request.method != "HEAD" && response.status != 204 && response.status != 304;
        const bool isWritten = co_await m_writer.writeWhole(response, std::move(body), hasBody);
        co_return isWritten ? attempt_outcome::Answered : attempt_outcome::Stopped;
    }

    boost::asio::awaitable<attempt_outcome> relayStream(
        server_response response, http_connection_ptr connection)
    {
        if (!m_streamHead)
            m_streamHead = std::move(response);
        m_result.status = m_streamHead->status;
        std::string bytes;
        bool isFirst = true;
        while (true) {
            bytes.clear();
            const error_code error = co_await connection->readBody(bytes);
            const std::string events = m_scanner.take(bytes);
            if (!events.empty()) {
                m_tracker.dataReceived(now());
                noteEvents(now());
                if (isFirst) {
                    isFirst = false;
                    m_tracker.firstEventReceived(now());
                    m_context.metrics.countFirstEvent(m_plan.service, now() - m_request.arrivedAt);
                    startTimeout(eventGapTimeout(m_plan));
                }
                if (!co_await m_writer.writePart(*m_streamHead, events))
                    co_return attempt_outcome::Stopped;
            }
            if (error)
                co_return endOf(error);
            if (m_scanner.fault() != stream_fault::None)
                co_return attempt_outcome::Garbled;
            if (connection->isDone())
                break;
        }
        if (!m_scanner.isAtBoundary())
            co_return attempt_outcome::Cut;
        if (!m_writer.hasBegun() && !co_await m_writer.writePart(*m_streamHead, {}))
            co_return attempt_outcome::Stopped;
        co_return co_await endParts();
    }

    boost::asio::awaitable<attempt_outcome> endParts()
    {
        const bool isWritten = co_await m_writer.writeEnd();
        co_return isWritten ? attempt_outcome::Answered : attempt_outcome::Stopped;
    }

    /// Reads a response to its end, or until it is too long to be held.
    boost::asio::awaitable<error_code> readShort(http_connection& connection, std::string& body)
    {
        while (true) {
            const error_code error = co_await connection.readBody(body);
            if (error || connection.isDone() || body.size() > largestHeld)
                co_return error;
        }
    }

    attempt_outcome endOf(const error_code& error) const
    {
        if (m_scope->reason() != stop_reason::None)
            return attempt_outcome::Stopped;
        if (m_scope->hasTimedOut())
            return attempt_outcome::Silent;
        return isFramingFault(error) ? attempt_outcome::Garbled : attempt_outcome::Cut;
    }

    /// Whether the bytes are no response; a response that ends early is none of these.
    static bool isFramingFault(const error_code& error)
    {
        using http_error = boost::beast::http::error;
        const bool isAboutHttp
            = error.category() == boost::beast::http::make_error_code(http_error::end_of_stream).category();
        return isAboutHttp && error != http_error::partial_message && error != http_error::end_of_stream;
    }

    bool canRepeat() const
    {
        return m_plan.route->mayRepeat() && m_record.attempts() + 1 < m_plan.route->maxAttempts
            && m_context.repeats.contains(m_plan.service)
            && m_context.repeats.at(m_plan.service).left(now()) >= 1;
    }

    void noteEvents(utils::time_point at)
    {
        if (m_eventsAt == utils::time_point())
            m_result.timeToFirstEvent = at - m_request.arrivedAt;
        else
            m_result.longestGap = std::max(m_result.longestGap, at - m_eventsAt);
        m_eventsAt = at;
    }

    // Answers to earlier requests that are skipped; a server sends one at most.
    static constexpr unsigned maxSkipped = 2;
    static constexpr int misdirected = 421;
    // Bytes of a response that are held until it is whole. Usual ones have one or some KB; 600 of this length
    // at once fit into the memory of the smallest VM seen, 160 MB.
    static constexpr std::size_t largestHeld = 262144;

    node_context& m_context;
    const client_request& m_request;
    const request_plan& m_plan;
    const std::shared_ptr<stop_scope>& m_scope;
    response_writer& m_writer;
    const attempt_record& m_record;
    attempt_tracker& m_tracker;
    flow_result& m_result;
    event_scanner m_scanner;
    std::optional<server_response> m_streamHead; ///< of the first run; later runs only add events
    std::optional<server_response> m_fallback; ///< a failure to pass on if nothing better comes
    std::string m_fallbackBody;
    utils::time_point m_eventsAt {}; ///< when the last events were passed on
};

} // namespace gateway
