#pragma once

#include "answerwriter.h"
#include "attempt.h"
#include "clock.h"
#include "eventscanner.h"
#include "flowresult.h"
#include "serveruse.h"
#include "stopscope.h"
#include "wireprotocol.h"

#include <boost/asio/use_awaitable.hpp>

namespace gateway {

/// Reads the answers of the backend servers that a request was sent to, and passes on to its caller what is
/// an answer to it: short ones whole, streams event by event, and what is too long to be held as it comes.
/// Not thread safe.
template <wire_protocol Wire> class answer_relay {
public:
    /// What a relay works on. Precondition: all outlive it.
    struct parts {
        node_context& context;
        const client_request& request;
        const request_plan& plan;
        const std::shared_ptr<stop_scope>& scope;
        answer_writer& writer;
        const attempt_record& record;
        server_use& use;
        flow_result& result;
    };

    explicit answer_relay(const parts& parts)
        : m_context(parts.context)
        , m_request(parts.request)
        , m_plan(parts.plan)
        , m_scope(parts.scope)
        , m_writer(parts.writer)
        , m_record(parts.record)
        , m_use(parts.use)
        , m_result(parts.result)
        , m_scanner(parts.request.lastEventId)
    {
    }

    /// Ends the attempt when it falls silent, where the request can go on elsewhere.
    void watchSilence(utils::duration limit)
    {
        if (!hasElsewhere(m_plan))
            return;
        m_use.restartSilence(now());
        m_scope->watchSilence(
            [this, limit](utils::time_point present) { return m_use.silentAt(limit, present); }, now());
    }

    /// Reads the answer to what was just sent and hands it on.
    boost::asio::awaitable<attempt_end> exchange(utils::server_id server, http_connection_ptr connection)
    {
        m_scanner.restart();
        server_answer answer;
        for (unsigned skipped = 0;; ++skipped) {
            const error_code error = co_await connection->readHead();
            if (error)
                co_return endOf(error);
            answer = Wire::decodeAnswer(connection->head());
            // A second answer to an earlier request may come first.
            if (answer.requestId.empty() || answer.requestId == m_request.requestId)
                break;
            if (skipped == maxSkipped)
                co_return attempt_end::Garbled;
            const error_code skipError = co_await connection->skipAnswer();
            if (skipError)
                co_return endOf(skipError);
        }
        m_use.heard(now());
        connection->idleLimit = answer.idleLimit;
        if (answer.load)
            m_context.loads.recordReport(server, answer.load->running, answer.load->waiting, now());
        if (answer.isNotExecuted) {
            if (answer.status == misdirected)
                m_context.servers.disown(server);
            std::string unused;
            co_await readShort(*connection, unused);
            co_return attempt_end::NotRun;
        }
        if (answer.status >= 200 && answer.status < 300 && (!answer.isSigned || answer.isEncoded))
            co_return attempt_end::Garbled;
        const bool isStream = m_plan.route->kind == catalogue::request_kind::Stream && answer.status < 300;
        if (isStream)
            co_return co_await relayStream(std::move(answer), std::move(connection));
        co_return co_await relayShort(std::move(answer), std::move(connection));
    }

    /// Whether a failure is kept that may be passed on if nothing better comes.
    bool hasKept() const { return m_kept.has_value(); }
    /// Passes it on. Precondition: hasKept().
    boost::asio::awaitable<attempt_end> deliverKept()
    {
        co_return co_await deliver(std::move(*m_kept), std::move(m_keptBody));
    }

    /// The last event that went on.
    std::optional<std::uint64_t> lastEventId() const { return m_scanner.lastId(); }
    std::uint64_t eventCount() const { return m_scanner.count(); }

private:
    using error_code = boost::system::error_code;

    boost::asio::awaitable<attempt_end> relayShort(server_answer answer, http_connection_ptr connection)
    {
        std::string body;
        const error_code error = co_await readShort(*connection, body);
        if (error)
            co_return endOf(error);
        m_use.promptRead();
        // A server that says no without the mark has perhaps run the request; the caller must not be told
        // that it has not.
        const bool promisesNotRun = answer.status == 429 || answer.status == 503 || answer.status == 408
            || answer.status == misdirected;
        if (!answer.isSigned || promisesNotRun)
            co_return attempt_end::Garbled;
        m_result.status = answer.status;
        if (!connection->isDone())
            co_return co_await relayLong(std::move(answer), std::move(body), std::move(connection));
        const bool isFailure = answer.status >= 500;
        if (isFailure && canRepeat() && !m_writer.hasBegun()) {
            m_kept = std::move(answer);
            m_keptBody = std::move(body);
            co_return attempt_end::Failed;
        }
        co_return co_await deliver(std::move(answer), std::move(body));
    }

    /// Passes on an answer that is too long to be held, from what was read of it. Cut on the way it cannot
    /// be asked elsewhere any more; without its last chunk the caller sees that it is not whole.
    boost::asio::awaitable<attempt_end> relayLong(
        server_answer answer, std::string bytes, http_connection_ptr connection)
    {
        if (m_writer.hasBegun())
            co_return attempt_end::Garbled; // a stream cannot go on with a short answer
        while (true) {
            m_use.heard(now());
            if (!co_await m_writer.part(answer, bytes))
                co_return attempt_end::Stopped;
            if (connection->isDone())
                break;
            bytes.clear();
            const error_code error = co_await connection->readBody(bytes);
            m_result.isCut = m_result.isCut || error;
            if (error)
                co_return endOf(error);
        }
        co_return co_await endParts();
    }

    boost::asio::awaitable<attempt_end> deliver(server_answer answer, std::string body)
    {
        if (m_writer.hasBegun())
            co_return attempt_end::Garbled; // a stream cannot go on with a short answer
        const bool hasBody = m_request.method != "HEAD" && answer.status != 204 && answer.status != 304;
        const bool isWritten = co_await m_writer.whole(answer, std::move(body), hasBody);
        co_return isWritten ? attempt_end::Answered : attempt_end::Stopped;
    }

    boost::asio::awaitable<attempt_end> relayStream(server_answer answer, http_connection_ptr connection)
    {
        if (!m_streamHead)
            m_streamHead = std::move(answer);
        m_result.status = m_streamHead->status;
        std::string bytes;
        bool isFirst = true;
        while (true) {
            bytes.clear();
            const error_code error = co_await connection->readBody(bytes);
            const std::string events = m_scanner.take(bytes);
            if (!events.empty()) {
                m_use.heard(now());
                noteEvents(now());
                if (isFirst) {
                    isFirst = false;
                    m_use.firstEvent(now());
                    m_context.metrics.countFirstEvent(m_plan.service, now() - m_request.arrivedAt);
                    watchSilence(silenceBetweenEvents(m_plan));
                }
                if (!co_await m_writer.part(*m_streamHead, events))
                    co_return attempt_end::Stopped;
            }
            if (error)
                co_return endOf(error);
            if (m_scanner.fault() != stream_fault::None)
                co_return attempt_end::Garbled;
            if (connection->isDone())
                break;
        }
        if (!m_scanner.isAtBoundary())
            co_return attempt_end::Cut;
        if (!m_writer.hasBegun() && !co_await m_writer.part(*m_streamHead, {}))
            co_return attempt_end::Stopped;
        co_return co_await endParts();
    }

    boost::asio::awaitable<attempt_end> endParts()
    {
        const bool isWritten = co_await m_writer.end();
        co_return isWritten ? attempt_end::Answered : attempt_end::Stopped;
    }

    /// Reads an answer to its end, or until it is too long to be held.
    boost::asio::awaitable<error_code> readShort(http_connection& connection, std::string& body)
    {
        while (true) {
            const error_code error = co_await connection.readBody(body);
            if (error || connection.isDone() || body.size() > largestHeld)
                co_return error;
        }
    }

    attempt_end endOf(const error_code& error) const
    {
        if (m_scope->reason() != stop_reason::None)
            return attempt_end::Stopped;
        if (m_scope->wasSilent())
            return attempt_end::Silent;
        return isFramingFault(error) ? attempt_end::Garbled : attempt_end::Cut;
    }

    /// Whether the bytes are no answer; an answer that ends early is none of these.
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
            m_result.toFirstEvent = at - m_request.arrivedAt;
        else
            m_result.longestGap = std::max(m_result.longestGap, at - m_eventsAt);
        m_eventsAt = at;
    }

    // Answers to earlier requests that are skipped; a server sends one at most.
    static constexpr unsigned maxSkipped = 2;
    static constexpr int misdirected = 421;
    // Bytes of an answer that are held until it is whole. Usual ones have one or some KB; 600 of this length
    // at once fit into the memory of the smallest VM seen, 160 MB.
    static constexpr std::size_t largestHeld = 262144;

    node_context& m_context;
    const client_request& m_request;
    const request_plan& m_plan;
    const std::shared_ptr<stop_scope>& m_scope;
    answer_writer& m_writer;
    const attempt_record& m_record;
    server_use& m_use;
    flow_result& m_result;
    event_scanner m_scanner;
    std::optional<server_answer> m_streamHead; ///< of the first run; later runs only add events
    std::optional<server_answer> m_kept; ///< a failure to pass on if nothing better comes
    std::string m_keptBody;
    utils::time_point m_eventsAt {}; ///< when the last events were passed on
};

} // namespace gateway
