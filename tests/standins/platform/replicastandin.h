#pragma once

#include "standinthread.h"

#include "standins_common/httplistener.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace platform_standin {

/// What a replica does with a request.
enum class replica_act {
    Answer, ///< 200 with its id as body
    Fail, ///< runs it, answers 500
    Shed, ///< says that it has not run it
    ShedUnmarked, ///< 503 without saying whether it ran
    Cut, ///< runs it and closes without an answer
    Hang, ///< runs it and never answers
    Stream, ///< `events` events
    StreamCut, ///< a stream that breaks off in the middle of event `cutAt`
    StreamCutOnce, ///< the same, but a stream that is resumed goes on to its end
    Unsigned, ///< 200 without the mark of a replica
    ExtraAnswer, ///< first the answer to another request, then its own
    ExtraShed, ///< first an answer that turns another request away, then its own
    Unframed, ///< 200 whose body ends with the connection
    StreamUnframed, ///< a stream without length or chunks that ends with the connection
    StreamUnframedCut, ///< the same, but it ends in the middle of event `cutAt`
    HeadOnly, ///< 200 without length or chunks, and the connection ends before the body
    HeadCut, ///< runs it and closes after the first `headCutAt` bytes of an answer's head
    Endless, ///< 200 whose body never ends
    ShedEndless, ///< says that it has not run it, in an answer whose body never ends, piece by piece
    HeadEndless, ///< runs it; the head of its answer never ends, line by line
    ForeignEndless, ///< runs it; an answer to another request comes first, whose body never ends
    Large, ///< 200 with `largeSize` bytes; its first half comes at once, the rest after the event interval
};

inline constexpr std::size_t largeSize = 16'000'000; ///< bytes that Large sends

/// One event of a stream, of that type if it has one.
std::string eventText(unsigned id, const std::string& type = {});
/// The body of a stream from its first event to that one.
std::string eventsUpTo(unsigned last);

/// One request as a replica got it.
struct replica_request {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers; ///< by name in lower case
    bool isRun = true; ///< false: it said that it has not run it
    replica_act act = replica_act::Answer; ///< what the replica did with it
    std::string restAsked; ///< the seconds for which its answer asked for rest; empty: it did not
    bool isLeavingSaid = false; ///< its answer said that it leaves
    std::chrono::steady_clock::time_point arrivedAt {};
    std::chrono::steady_clock::time_point answeredAt {}; ///< with `restAsked`
};

/// One replica: says what it got, and answers by a script. Thread safe.
class replica_standin {
public:
    replica_standin(standin_thread& thread, std::string id);

    const std::string& id() const { return m_id; }
    unsigned short port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// What it does from now on.
    void act(replica_act act);
    /// Says in all answers that it fails if it has to reject more requests in a second; nothing: says
    /// nothing.
    void announceRejectionLimit(std::optional<unsigned> perSecond);
    /// Says in each answer with which it turns a request away that it wants none for that time; empty: says
    /// nothing.
    void askForRest(std::string retryAfter);
    /// Says in all answers that it leaves.
    void announceLeaving(bool isLeaving);
    /// A text that each event names beside its piece, as its type: the software version that wrote it.
    void setEventType(std::string type);
    /// Events of a stream, and the one in which StreamCut breaks off.
    void setEvents(unsigned events, unsigned cutAt);
    /// Bytes of its head that HeadCut sends. The head has a length for plain answers, chunks for streams and,
    /// if `isInterim`, an interim one before it.
    void setHeadCut(std::size_t cutAt, bool isInterim);
    /// Time from one event of a stream to the next.
    void setEventInterval(std::chrono::milliseconds interval);
    /// From now on it accepts connections and requests, and sends nothing until resume().
    void stall();
    void resume();
    /// How a replica answers a request that crashes it.
    enum class crash_answer {
        None,
        Head, ///< a head of 200 without length or chunks
        HeadWithLength ///< a head of 200 with the length of a body that does not come
    };
    /// From now on, each request with one of these parts in its prompt, as the first or a middle one, crashes
    /// the replica as its answer begins: it ends with all connections, and is back after a while.
    void crashOn(std::set<std::string> parts, crash_answer answer = crash_answer::None);
    /// The same for each request with one of these targets, whatever else it holds.
    void crashOnTargets(std::set<std::string> targets, crash_answer answer = crash_answer::None);
    /// Time from the arrival of a request to what Answer does.
    void setAnswerDelay(std::chrono::milliseconds delay);
    /// Ends with all connections as in a crash, and is back after a while.
    void crash();
    /// How long it is down after a crash, 1.5 s unless set.
    void setDownTime(std::chrono::milliseconds time);
    /// When it has crashed.
    std::vector<std::chrono::steady_clock::time_point> crashTimes() const;
    std::size_t crashes() const { return crashTimes().size(); }
    /// All requests that reached it.
    std::vector<replica_request> requests() const;
    std::size_t requestCount() const { return requests().size(); }
    /// Requests whose connection was closed by the other side while they hung.
    unsigned abandoned() const;

private:
    boost::asio::awaitable<bool> answer(
        standins_common::http_request& request, standins_common::tcp_socket& socket);
    std::string head(int status, const std::string& requestId, const std::string& more) const;
    /// The bytes that HeadCut sends.
    std::string cutHead(const replica_request& request, const std::string& mark) const;
    boost::asio::awaitable<bool> stream(
        standins_common::tcp_socket& socket, const replica_request& request, bool isCut);
    boost::asio::awaitable<bool> sendForever(
        standins_common::tcp_socket& socket, const replica_request& request);
    /// Sends these bytes, and then the piece again and again until the other side closes.
    static boost::asio::awaitable<bool> sendPieces(
        standins_common::tcp_socket& socket, std::string first, std::string piece);
    /// Records that it turns that request away and asks for rest now.
    void recordRest(std::size_t index);
    /// The headers of an answer with which it turns a request away.
    std::string shedHeaders() const;
    boost::asio::awaitable<bool> sendLarge(
        standins_common::tcp_socket& socket, const replica_request& request);
    boost::asio::awaitable<bool> hang(standins_common::tcp_socket& socket);
    boost::asio::awaitable<void> whileStalled() const;
    boost::asio::awaitable<bool> streamUnframed(
        standins_common::tcp_socket& socket, const replica_request& request, bool isCut);
    /// Whether the prompt has one of the crashing parts before its last one, or the target is one of those
    /// that crash it.
    bool isCrashing(const replica_request& request) const;
    crash_answer crashAnswer() const;
    std::chrono::milliseconds answerDelay() const;
    void restart();
    boost::asio::awaitable<void> comeBack();
    /// Listens at its port again; false if the port is taken.
    bool tryOpen();

    standin_thread& m_thread;
    std::string m_id;
    std::shared_ptr<standins_common::http_listener> m_listener;
    unsigned short m_port = 0;
    mutable std::mutex m_mutex;
    replica_act m_act = replica_act::Answer;
    unsigned m_events = 5;
    unsigned m_cutAt = 3;
    std::size_t m_headCutAt = 0;
    bool m_isHeadInterim = false;
    std::string m_eventType;
    std::chrono::milliseconds m_eventInterval { 2 };
    bool m_isStalled = false;
    std::optional<unsigned> m_rejectionLimit;
    std::string m_retryAfter;
    bool m_isLeaving = false;
    unsigned m_abandoned = 0;
    std::set<std::string> m_crashingParts;
    std::set<std::string> m_crashingTargets;
    std::chrono::milliseconds m_answerDelay {};
    std::chrono::milliseconds m_downTime { 1500 };
    crash_answer m_crashAnswer = crash_answer::None;
    std::vector<std::chrono::steady_clock::time_point> m_crashTimes;
    std::vector<replica_request> m_requests;
};

} // namespace platform_standin
