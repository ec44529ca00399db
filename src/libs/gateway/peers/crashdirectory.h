#pragma once

#include "crashmessages.h"
#include "gateway/nodecontext.h"
#include "gateway/requests/attempttracker.h"
#include "gateway/requests/requestplan.h"
#include "peertable.h"

#include "decisions/suspectgate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gateway {

/// What may happen to a request, by the crashes under requests like it.
enum class crash_admission {
    Send,
    SendAlone, ///< to the one server where suspect prompts go
    Wait, ///< another request finds out whether its prompt is sound
    Refuse
};

/// The decision on one request, with what it rests on.
struct admitted_request {
    crash_admission admission = crash_admission::Send;
    decisions::part_finding finding; ///< of its suspects
};

/// Finds out which servers crashed under which requests, tells peers, and decides on requests with prompts
/// that crash servers. Not thread safe.
class crash_directory {
public:
    using send_function = std::function<void(const std::string& address, const std::string& datagram)>;

    /// Precondition: context and peers outlive this object and the event loop's last turn.
    crash_directory(node_context& context, peer_table& peers)
        : m_context(context)
        , m_peers(peers)
    {
    }

    /// Sets how datagrams are sent. To be called before anything else.
    void start(send_function send);

    /// Decides on a request before each attempt, and again right before it is sent. `number` identifies it on
    /// this node; finished() ends what a decision has given it.
    admitted_request admit(const request_plan& plan, std::uint64_t number, utils::time_point now);
    /// The attempt, or the request before its attempt, has ended.
    void finished(std::uint64_t number) { m_gate.leave(number); }

    /// Records that an attempt that was sent ended without its answer: it counts against the request if the
    /// answer had not begun and the server has crashed. While this node doubts its own path to the service,
    /// it counts once the end of the server is known from elsewhere. Takes at most `checkTimeout`.
    boost::asio::awaitable<void> attemptLost(lost_attempt attempt);

    /// Handles a peer's datagram.
    void onMessage(const crash_message& message);
    /// The process at that address has just started.
    void onPeerStart(const std::string& address);
    /// To be called at each heartbeat of this node.
    void tick(utils::time_point now);

private:
    /// A server that may have crashed, and what opening a connection to it shows.
    struct server_check {
        explicit server_check(const boost::asio::any_io_executor& executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer; ///< cancelled at the result
        utils::time_point startedAt {};
        std::string connectError = "no answer"; ///< empty: the server lives
    };

    /// Whether the server was known to be down when the attempt was sent, and has said nothing since: it was
    /// no crash then that ended the attempt.
    bool wasDown(const lost_attempt& attempt) const;
    boost::asio::awaitable<std::shared_ptr<server_check>> check(utils::server_id server);
    boost::asio::awaitable<void> probe(utils::server_id server, std::shared_ptr<server_check> check);
    /// Counts the loss against the request: its server has ended. `evidence`: how this is known.
    void count(const lost_attempt& attempt, const std::string& evidence);
    /// Counts the undecided losses at a process that has ended.
    void countEnded(decisions::crash_key crash, const std::string& evidence);
    /// Counts the undecided losses at processes that have no entry any more, or whose address has another
    /// process.
    void countReplaced();
    /// Sends the news once the losses of this turn of the event loop are recorded.
    void sendNewsSoon();
    bool isFirstToTry(std::uint64_t part, utils::time_point now) const;
    void sendNews(utils::time_point now);
    void send(const std::string& address, const std::vector<decisions::part_strike>& strikes) const;

    // A connection is opened within some 10 ms where there is a server.
    static constexpr utils::duration checkTimeout = std::chrono::milliseconds(100);
    static constexpr utils::duration acceptedFor = std::chrono::milliseconds(20);
    // Connections of one crash end within milliseconds of each other; a crashed server needs seconds.
    static constexpr utils::duration checkLifetime = std::chrono::milliseconds(300);
    // The first node's request has ended by then, and its news has arrived.
    static constexpr utils::duration otherNodesTryAfter = std::chrono::seconds(5);
    static constexpr utils::duration crashLifetime = std::chrono::minutes(1);
    // Eight datagrams.
    static constexpr std::size_t newsPerTick = 8 * crash_message::maxStrikes;

    node_context& m_context;
    peer_table& m_peers;
    send_function m_send;
    decisions::suspect_gate m_gate;
    std::map<utils::server_id, std::shared_ptr<server_check>> m_checks;
    bool m_isNewsDue = false; ///< sendNewsSoon() was called in this turn of the event loop
};

} // namespace gateway
