#include "loadrun.h"

#include "httpcall.h"
#include "requestmix.h"

#include "utils/crypto.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdlib>

namespace load {

namespace {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

constexpr unsigned mostCalls = 4;
constexpr double shortestReturn = 0.2;
constexpr double longestReturn = 5;
constexpr std::size_t runNameBytes = 4;

double secondsBetween(clock::time_point from, clock::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

clock::duration toDuration(double seconds)
{
    return std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(seconds));
}

std::string newRunName()
{
    const std::string bytes = utils::randomBytes(runNameBytes);
    return utils::toHex({ reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size() });
}

class driver {
public:
    explicit driver(const load_options& options)
        : m_options(options)
        , m_mix(m_options, newRunName())
    {
    }

    load_result run()
    {
        asio::co_spawn(m_context, arrivals(), asio::detached);
        m_context.run();
        m_context.restart();
        asio::co_spawn(m_context, readLedgers(), asio::detached);
        m_context.run();
        m_result.broken = brokenPromises(m_result.records, m_result.counts);
        return std::move(m_result);
    }

private:
    asio::awaitable<void> arrivals()
    {
        const clock::time_point end = m_start + toDuration(m_options.seconds);
        asio::steady_timer timer(m_context);
        for (clock::time_point at = m_start; at < end; at += toDuration(m_mix.nextGap())) {
            timer.expires_at(at);
            co_await timer.async_wait(asio::use_awaitable);
            if (m_inFlight >= m_options.maxInFlight) {
                ++m_result.notSent;
                continue;
            }
            const planned_request request = m_mix.next();
            if (request.isAsync)
                asio::co_spawn(m_context, followDraft(request, at), asio::detached);
            else
                asio::co_spawn(m_context, follow(request, at), asio::detached);
        }
    }

    /// One request to its end: keyed ones are sent again, some though they were answered, all when they
    /// were not, each time to another node.
    asio::awaitable<void> follow(planned_request request, clock::time_point at)
    {
        ++m_inFlight;
        std::size_t node = m_mix.nextNode();
        const bool isRepeated = !request.key.empty() && m_mix.nextIsRepeated();
        for (unsigned call = 1; call <= mostCalls; ++call) {
            const call_outcome last = co_await callOnce(request, node, at);
            node = (node + 1) % m_options.nodes.size();
            const bool isAnswered = last.end == call_end::Whole || last.end == call_end::Broken;
            if (request.key.empty() || (isAnswered && !(isRepeated && call == 1)))
                break;
            asio::steady_timer pause(m_context, toDuration(isAnswered ? 0 : last.comeBack));
            co_await pause.async_wait(asio::use_awaitable);
            at = clock::now();
        }
        --m_inFlight;
    }

    /// A draft: submitted once, then polled for, each time at another node, until its answer is there.
    asio::awaitable<void> followDraft(planned_request request, clock::time_point at)
    {
        ++m_inFlight;
        std::size_t node = m_mix.nextNode();
        call_record record = recordFor(request, node, at);
        timed_answer timed
            = co_await callNode(m_options.nodes[node], request, m_options.apiKey, callTimeout());
        const std::string id = judgeSubmission(record, timed.answer);
        planned_request poll;
        poll.method = "GET";
        poll.target = "/v1/drafts/" + id;
        const clock::time_point end = clock::now() + toDuration(m_options.draftTimeout);
        bool isFinal = id.empty();
        while (!isFinal && clock::now() < end) {
            asio::steady_timer pause(m_context, toDuration(shortestReturn));
            co_await pause.async_wait(asio::use_awaitable);
            node = (node + 1) % m_options.nodes.size();
            timed = co_await callNode(m_options.nodes[node], poll, m_options.apiKey, callTimeout());
            isFinal = judgePoll(record, timed.answer, request.prompt, m_options.tokens);
        }
        if (!isFinal) {
            record.end = call_end::Broken;
            record.problem = "an accepted draft has no answer after the draft timeout";
        }
        record.latency = secondsBetween(at, timed.endedAt);
        record.firstByte = secondsBetween(at, timed.firstByteAt);
        m_result.records.push_back(std::move(record));
        --m_inFlight;
    }

    call_record recordFor(const planned_request& request, std::size_t node, clock::time_point at) const
    {
        call_record record;
        record.kind = request.kind;
        record.key = request.key;
        record.body = request.body;
        record.node = m_options.nodes[node];
        record.plannedAt = secondsBetween(m_start, at);
        return record;
    }

    std::chrono::milliseconds callTimeout() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(toDuration(m_options.timeout));
    }

    struct call_outcome {
        call_end end = call_end::Failed;
        double comeBack = 0; ///< seconds
    };

    /// Sends it once and records how that ended.
    asio::awaitable<call_outcome> callOnce(
        const planned_request& request, std::size_t node, clock::time_point at)
    {
        const timed_answer timed
            = co_await callNode(m_options.nodes[node], request, m_options.apiKey, callTimeout());
        call_record record = recordFor(request, node, at);
        if (request.kind == request_kind::Chat)
            judgeChat(record, timed.answer, request.prompt, m_options.tokens);
        else
            judgeService(record, timed.answer, request.target);
        record.latency = secondsBetween(at, timed.endedAt);
        record.firstByte = secondsBetween(at, timed.firstByteAt);
        const double retryAfter = std::strtod(timed.answer.retryAfter.c_str(), nullptr);
        const call_outcome outcome { record.end, std::clamp(retryAfter, shortestReturn, longestReturn) };
        m_result.records.push_back(std::move(record));
        co_return outcome;
    }

    asio::awaitable<void> readLedgers()
    {
        if (m_options.ledgers.empty())
            co_return;
        run_counts counts;
        for (const std::string& ledger : m_options.ledgers) {
            planned_request request;
            request.method = "GET";
            request.target = "/ledger";
            const timed_answer timed = co_await callNode(ledger, request, {}, std::chrono::seconds(10));
            if (!timed.answer.isComplete || !addLedger(counts, timed.answer.body))
                co_return;
        }
        m_result.counts = std::move(counts);
    }

    load_options m_options;
    request_mix m_mix;
    asio::io_context m_context { 1 };
    clock::time_point m_start = clock::now();
    std::size_t m_inFlight = 0;
    load_result m_result;
};

} // namespace

load_result runLoad(const load_options& options)
{
    return driver(options).run();
}

} // namespace load
