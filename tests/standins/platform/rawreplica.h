#pragma once

#include "standinthread.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>

namespace platform_standin {

/// What a raw replica does with the connection after the bytes of an answer.
enum class raw_end {
    KeepOpen, ///< waits for the next request
    Finish, ///< ends its side and reads on until the other side closes
    Hold, ///< ends its side and reads nothing more
    Reset,
    FinishThenReset ///< ends its side, and resets the connection after another `pause`
};

/// One answer of a raw replica.
struct raw_answer {
    std::string bytes; ///< "{id}" stands for the id of the request
    bool isEarly = false; ///< sent when the head of the request is read, and no more of its body is
    raw_end end = raw_end::KeepOpen;
    std::chrono::milliseconds pause {}; ///< from the bytes to the end
};

/// A replica that answers each request with bytes that a test gives, whatever they are. Thread safe.
class raw_replica {
public:
    raw_replica(standin_thread& thread, std::string id);

    const std::string& id() const { return m_state->id; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// What it answers from now on.
    void setAnswer(raw_answer answer);
    /// Requests whose heads have reached it.
    std::size_t requestCount() const { return m_state->requests; }

private:
    /// Outlives the replica, as its connections do.
    struct state {
        std::string id;
        std::mutex mutex;
        raw_answer answer;
        std::atomic<std::size_t> requests = 0;
    };
    using state_ptr = std::shared_ptr<state>;

    static boost::asio::awaitable<void> acceptAll(
        std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor, state_ptr state);
    static boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, state_ptr state);
    /// Returns whether the connection stays open for the next request.
    static boost::asio::awaitable<bool> end(boost::asio::ip::tcp::socket& socket, const raw_answer& answer);

    state_ptr m_state;
    unsigned short m_port = 0;
};

} // namespace platform_standin
