#include "replicastandin.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <future>

namespace platform_standin {

namespace {

namespace asio = boost::asio;
using standins_common::http_request;
using standins_common::tcp_socket;

constexpr auto stallCheckInterval = std::chrono::milliseconds(5);
// From the arrival of a request that crashes the replica to the crash.
constexpr auto crashDelay = std::chrono::milliseconds(20);
constexpr auto pieceInterval = std::chrono::milliseconds(50); // of an answer without end
constexpr auto portPause = std::chrono::milliseconds(50);

replica_request decode(const http_request& request)
{
    replica_request decoded;
    decoded.method = request.method_string();
    decoded.target = request.target();
    decoded.body = request.body();
    for (const auto& line : request) {
        std::string name(line.name_string());
        boost::algorithm::to_lower(name);
        decoded.headers[name] = std::string(line.value());
    }
    decoded.id = decoded.headers["lycheefront-attempt-id"];
    decoded.arrivedAt = std::chrono::steady_clock::now();
    return decoded;
}

std::string chunk(const std::string& bytes)
{
    char size[16] = {};
    std::snprintf(size, sizeof size, "%zx", bytes.size());
    return std::string(size) + "\r\n" + bytes + "\r\n";
}

std::string sized(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

std::string eventText(unsigned id, const std::string& type)
{
    const std::string typeLine = type.empty() ? "" : "event: " + type + "\n";
    return "id: " + std::to_string(id) + "\n" + typeLine + "data: piece " + std::to_string(id) + "\n\n";
}

std::string eventsUpTo(unsigned last)
{
    std::string events;
    for (unsigned id = 1; id <= last; ++id)
        events += eventText(id);
    return events;
}

replica_standin::replica_standin(standin_thread& thread, std::string id)
    : m_thread(thread)
    , m_id(std::move(id))
{
    m_listener = std::make_shared<standins_common::http_listener>(
        m_thread.io(), [this](http_request& request, tcp_socket& socket) { return answer(request, socket); });
    std::promise<unsigned short> bound;
    boost::asio::post(m_thread.io(), [&] { bound.set_value(m_listener->open(0)); });
    m_port = bound.get_future().get();
}

void replica_standin::act(replica_act act)
{
    const std::lock_guard lock(m_mutex);
    m_act = act;
}

void replica_standin::announceRejectionLimit(std::optional<unsigned> perSecond)
{
    const std::lock_guard lock(m_mutex);
    m_rejectionLimit = perSecond;
}

void replica_standin::askForRest(std::string retryAfter)
{
    const std::lock_guard lock(m_mutex);
    m_retryAfter = std::move(retryAfter);
}

void replica_standin::announceLeaving(bool isLeaving)
{
    const std::lock_guard lock(m_mutex);
    m_isLeaving = isLeaving;
}

void replica_standin::setEventType(std::string type)
{
    const std::lock_guard lock(m_mutex);
    m_eventType = std::move(type);
}

void replica_standin::setEvents(unsigned events, unsigned cutAt)
{
    const std::lock_guard lock(m_mutex);
    m_events = events;
    m_cutAt = cutAt;
}

void replica_standin::setHeadCut(std::size_t cutAt, bool isInterim)
{
    const std::lock_guard lock(m_mutex);
    m_headCutAt = cutAt;
    m_isHeadInterim = isInterim;
}

std::string replica_standin::cutHead(const replica_request& request, const std::string& mark) const
{
    const bool isStream = request.target.starts_with("/chat/") || request.target.starts_with("/draft/");
    std::string bytes = head(
        200, request.id, mark + (isStream ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 7\r\n"));
    const std::lock_guard lock(m_mutex);
    if (m_isHeadInterim)
        bytes = "HTTP/1.1 103 X\r\n" + mark + "\r\n" + bytes;
    return bytes.substr(0, m_headCutAt);
}

void replica_standin::setEventInterval(std::chrono::milliseconds interval)
{
    const std::lock_guard lock(m_mutex);
    m_eventInterval = interval;
}

void replica_standin::stall()
{
    const std::lock_guard lock(m_mutex);
    m_isStalled = true;
}

void replica_standin::resume()
{
    const std::lock_guard lock(m_mutex);
    m_isStalled = false;
}

boost::asio::awaitable<void> replica_standin::whileStalled() const
{
    const auto isStalled = [this] {
        const std::lock_guard lock(m_mutex);
        return m_isStalled;
    };
    while (isStalled())
        co_await standins_common::pauseFor(stallCheckInterval);
}

void replica_standin::crashOn(std::set<std::string> parts, crash_answer answer)
{
    const std::lock_guard lock(m_mutex);
    m_crashingParts = std::move(parts);
    m_crashAnswer = answer;
}

void replica_standin::crashOnTargets(std::set<std::string> targets, crash_answer answer)
{
    const std::lock_guard lock(m_mutex);
    m_crashingTargets = std::move(targets);
    m_crashAnswer = answer;
}

void replica_standin::setAnswerDelay(std::chrono::milliseconds delay)
{
    const std::lock_guard lock(m_mutex);
    m_answerDelay = delay;
}

void replica_standin::setDownTime(std::chrono::milliseconds time)
{
    const std::lock_guard lock(m_mutex);
    m_downTime = time;
}

std::chrono::milliseconds replica_standin::answerDelay() const
{
    const std::lock_guard lock(m_mutex);
    return m_answerDelay;
}

void replica_standin::crash()
{
    boost::asio::post(m_thread.io(), [this] { restart(); });
}

std::vector<std::chrono::steady_clock::time_point> replica_standin::crashTimes() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashTimes;
}

bool replica_standin::isCrashing(const replica_request& request) const
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_crashingTargets.contains(request.target))
            return true;
    }
    const auto prompt = request.headers.find("lycheefront-prompt-prefix");
    if (prompt == request.headers.end())
        return false;
    std::vector<std::string> parts;
    boost::algorithm::split(parts, prompt->second, boost::algorithm::is_any_of(","));
    parts.pop_back();
    const std::lock_guard lock(m_mutex);
    return std::ranges::any_of(parts,
        [&](const std::string& part) { return m_crashingParts.contains(part.substr(0, part.find(':'))); });
}

replica_standin::crash_answer replica_standin::crashAnswer() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashAnswer;
}

void replica_standin::restart()
{
    {
        const std::lock_guard lock(m_mutex);
        m_crashTimes.push_back(std::chrono::steady_clock::now());
    }
    m_listener->close();
    boost::asio::co_spawn(m_thread.io(), comeBack(), boost::asio::detached);
}

boost::asio::awaitable<void> replica_standin::comeBack()
{
    std::chrono::milliseconds time {};
    {
        const std::lock_guard lock(m_mutex);
        time = m_downTime;
    }
    co_await standins_common::pauseFor(time);
    // An outgoing connection may have the port for a moment.
    while (!tryOpen())
        co_await standins_common::pauseFor(portPause);
}

bool replica_standin::tryOpen()
{
    m_listener->close(); // it may have crashed again in between
    try {
        m_listener->open(m_port);
        return true;
    } catch (const boost::system::system_error&) {
        return false;
    }
}

std::vector<replica_request> replica_standin::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

unsigned replica_standin::abandoned() const
{
    const std::lock_guard lock(m_mutex);
    return m_abandoned;
}

std::string replica_standin::head(int status, const std::string& requestId, const std::string& more) const
{
    std::string announced;
    {
        const std::lock_guard lock(m_mutex);
        if (m_rejectionLimit)
            announced += "Server-Brittle: " + std::to_string(*m_rejectionLimit) + "\r\n";
        if (m_isLeaving)
            announced += "Server-Leaving: 1\r\n";
    }
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nLycheefront-Attempt-Id: " + requestId + "\r\n"
        + announced + more;
}

boost::asio::awaitable<bool> replica_standin::answer(http_request& request, tcp_socket& socket)
{
    replica_request decoded = decode(request);
    replica_act act = replica_act::Answer;
    std::size_t index = 0;
    {
        const std::lock_guard lock(m_mutex);
        act = m_act;
        decoded.act = act;
        decoded.isRun = act != replica_act::Shed && act != replica_act::ShedEndless;
        decoded.isLeavingSaid = m_isLeaving;
        m_requests.push_back(decoded);
        index = m_requests.size() - 1;
    }
    co_await whileStalled();
    const std::string mark = "Lycheefront-Response-Signature: " + m_id + ".1\r\n";
    std::string bytes;
    if (isCrashing(decoded)) {
        co_await standins_common::pauseFor(crashDelay);
        if (crashAnswer() == crash_answer::Head)
            co_await standins_common::sendBytes(socket, head(200, decoded.id, mark) + "\r\n");
        else if (crashAnswer() == crash_answer::HeadWithLength)
            co_await standins_common::sendBytes(
                socket, head(200, decoded.id, mark) + "Content-Length: 100\r\n\r\n");
        restart();
        co_return false;
    }
    if (!decoded.isRun)
        recordRest(index);
    switch (act) {
    case replica_act::Answer:
        co_await standins_common::pauseFor(answerDelay());
        bytes = head(200, decoded.id, mark) + sized(m_id);
        break;
    case replica_act::Fail:
        bytes = head(500, decoded.id, mark) + sized("failed at " + m_id);
        break;
    case replica_act::Shed:
        bytes = head(503, decoded.id, shedHeaders()) + sized("");
        break;
    case replica_act::ShedEndless:
        bytes = head(503, decoded.id, shedHeaders()) + "Transfer-Encoding: chunked\r\n\r\n";
        co_return co_await sendPieces(socket, std::move(bytes), chunk("x"));
    case replica_act::HeadEndless:
        co_return co_await sendPieces(socket, head(200, decoded.id, mark), "X-More: x\r\n");
    case replica_act::ForeignEndless:
        bytes = head(200, "somebody-elses", mark) + "Transfer-Encoding: chunked\r\n\r\n";
        co_return co_await sendPieces(socket, std::move(bytes), chunk("x"));
    case replica_act::ShedUnmarked:
        bytes = head(503, decoded.id, mark) + sized("");
        break;
    case replica_act::Unsigned:
        bytes = head(200, decoded.id, "") + sized(m_id);
        break;
    case replica_act::ExtraAnswer:
        bytes = head(200, "somebody-elses", mark) + sized("not yours");
        bytes += head(200, decoded.id, mark) + sized(m_id);
        break;
    case replica_act::ExtraShed:
        bytes = head(503, "somebody-elses", shedHeaders()) + sized("");
        bytes += head(200, decoded.id, mark) + sized(m_id);
        break;
    case replica_act::Unframed:
        bytes = head(200, decoded.id, mark) + "Connection: close\r\n\r\n" + m_id;
        break;
    case replica_act::HeadOnly:
        bytes = head(200, decoded.id, mark) + "\r\n";
        break;
    case replica_act::HeadCut:
        bytes = cutHead(decoded, mark);
        break;
    case replica_act::StreamUnframed:
        co_return co_await streamUnframed(socket, decoded, false);
    case replica_act::StreamUnframedCut:
        co_return co_await streamUnframed(socket, decoded, true);
    case replica_act::Cut:
        co_return false;
    case replica_act::Endless:
        co_return co_await sendForever(socket, decoded);
    case replica_act::Large:
        co_return co_await sendLarge(socket, decoded);
    case replica_act::Hang:
        co_return co_await hang(socket);
    case replica_act::Stream:
        co_return co_await stream(socket, decoded, false);
    case replica_act::StreamCut:
        co_return co_await stream(socket, decoded, true);
    case replica_act::StreamCutOnce: {
        const bool isResumed = decoded.headers.contains("last-event-id");
        co_return co_await stream(socket, decoded, !isResumed);
    }
    }
    const bool isSent = co_await standins_common::sendBytes(socket, std::move(bytes));
    co_return isSent&& act != replica_act::Unframed&& act != replica_act::HeadOnly&& act
        != replica_act::HeadCut;
}

boost::asio::awaitable<bool> replica_standin::stream(
    tcp_socket& socket, const replica_request& request, bool isCut)
{
    unsigned events = 0;
    unsigned cutAt = 0;
    std::string type;
    std::chrono::milliseconds interval {};
    {
        const std::lock_guard lock(m_mutex);
        events = m_events;
        cutAt = m_cutAt;
        type = m_eventType;
        interval = m_eventInterval;
    }
    const std::string mark = "Lycheefront-Response-Signature: " + m_id
        + ".1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string bytes = head(200, request.id, mark);
    if (!co_await standins_common::sendBytes(socket, std::move(bytes)))
        co_return false;
    const auto last = request.headers.find("last-event-id");
    const unsigned first = last == request.headers.end() ? 1 : std::stoul(last->second) + 1;
    for (unsigned id = first; id <= events; ++id) {
        co_await whileStalled();
        std::string event = eventText(id, type);
        if (isCut && id == cutAt) {
            std::string half = chunk(event.substr(0, event.size() / 2));
            co_await standins_common::sendBytes(socket, std::move(half));
            co_return false;
        }
        std::string whole = chunk(event);
        if (!co_await standins_common::sendBytes(socket, std::move(whole)))
            co_return false;
        co_await standins_common::pauseFor(interval);
    }
    std::string end = "0\r\n\r\n";
    co_return co_await standins_common::sendBytes(socket, std::move(end));
}

boost::asio::awaitable<bool> replica_standin::streamUnframed(
    tcp_socket& socket, const replica_request& request, bool isCut)
{
    unsigned events = 0;
    unsigned cutAt = 0;
    {
        const std::lock_guard lock(m_mutex);
        events = m_events;
        cutAt = m_cutAt;
    }
    const std::string mark
        = "Lycheefront-Response-Signature: " + m_id + ".1\r\nContent-Type: text/event-stream\r\n\r\n";
    std::string bytes = head(200, request.id, mark);
    const auto last = request.headers.find("last-event-id");
    const unsigned first = last == request.headers.end() ? 1 : std::stoul(last->second) + 1;
    for (unsigned id = first; id <= events; ++id) {
        const std::string event = eventText(id);
        const bool isLast = isCut && id == cutAt;
        bytes += isLast ? event.substr(0, event.size() / 2) : event;
        if (isLast)
            break;
    }
    co_await standins_common::sendBytes(socket, std::move(bytes));
    co_return false;
}

boost::asio::awaitable<bool> replica_standin::sendForever(tcp_socket& socket, const replica_request& request)
{
    constexpr std::size_t pieceSize = 65536;
    const std::string mark
        = "Lycheefront-Response-Signature: " + m_id + ".1\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string bytes = head(200, request.id, mark);
    while (co_await standins_common::sendBytes(socket, std::move(bytes)))
        bytes = chunk(std::string(pieceSize, 'x'));
    co_return false;
}

boost::asio::awaitable<bool> replica_standin::sendPieces(
    tcp_socket& socket, std::string first, std::string piece)
{
    std::string bytes = std::move(first);
    while (co_await standins_common::sendBytes(socket, std::move(bytes))) {
        co_await standins_common::pauseFor(pieceInterval);
        bytes = piece;
    }
    co_return false;
}

void replica_standin::recordRest(std::size_t index)
{
    const std::lock_guard lock(m_mutex);
    m_requests.at(index).restAsked = m_retryAfter;
    m_requests.at(index).answeredAt = std::chrono::steady_clock::now();
}

std::string replica_standin::shedHeaders() const
{
    const std::lock_guard lock(m_mutex);
    return "Lycheefront-Not-Executed: 1\r\n"
        + (m_retryAfter.empty() ? "" : "Retry-After: " + m_retryAfter + "\r\n");
}

boost::asio::awaitable<bool> replica_standin::sendLarge(tcp_socket& socket, const replica_request& request)
{
    std::chrono::milliseconds pause {};
    {
        const std::lock_guard lock(m_mutex);
        pause = m_eventInterval;
    }
    const std::string mark = "Lycheefront-Response-Signature: " + m_id
        + ".1\r\nContent-Length: " + std::to_string(largeSize) + "\r\n\r\n";
    std::string bytes = head(200, request.id, mark) + std::string(largeSize / 2, 'x');
    if (!co_await standins_common::sendBytes(socket, std::move(bytes)))
        co_return false;
    co_await standins_common::pauseFor(pause);
    co_return co_await standins_common::sendBytes(socket, std::string(largeSize - largeSize / 2, 'x'));
}

boost::asio::awaitable<bool> replica_standin::hang(tcp_socket& socket)
{
    char byte = 0;
    const auto [error, count]
        = co_await socket.async_read_some(asio::buffer(&byte, 1), asio::as_tuple(asio::use_awaitable));
    const std::lock_guard lock(m_mutex);
    if (error)
        ++m_abandoned;
    co_return false;
}

} // namespace platform_standin
