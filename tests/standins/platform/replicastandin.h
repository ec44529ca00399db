#pragma once

#include "standinthread.h"

#include "standins_common/httplistener.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
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
    Unframed, ///< 200 whose body ends with the connection
    Endless, ///< 200 whose body never ends
};

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
    std::chrono::steady_clock::time_point arrivedAt {};
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
    /// A text that each event names beside its piece, as its type: the software version that wrote it.
    void setEventType(std::string type);
    /// Events of a stream, and the one in which StreamCut breaks off.
    void setEvents(unsigned events, unsigned cutAt);
    /// All requests that reached it.
    std::vector<replica_request> requests() const;
    std::size_t requestCount() const { return requests().size(); }
    /// Requests whose connection was closed by the other side while they hung.
    unsigned abandoned() const;

private:
    boost::asio::awaitable<bool> answer(
        standins_common::http_request& request, standins_common::tcp_socket& socket);
    std::string head(int status, const std::string& requestId, const std::string& more) const;
    boost::asio::awaitable<bool> stream(
        standins_common::tcp_socket& socket, const replica_request& request, bool isCut);
    boost::asio::awaitable<bool> sendForever(
        standins_common::tcp_socket& socket, const replica_request& request);
    boost::asio::awaitable<bool> hang(standins_common::tcp_socket& socket);

    standin_thread& m_thread;
    std::string m_id;
    unsigned short m_port = 0;
    mutable std::mutex m_mutex;
    replica_act m_act = replica_act::Answer;
    unsigned m_events = 5;
    unsigned m_cutAt = 3;
    std::string m_eventType;
    std::optional<unsigned> m_rejectionLimit;
    unsigned m_abandoned = 0;
    std::vector<replica_request> m_requests;
};

} // namespace platform_standin
