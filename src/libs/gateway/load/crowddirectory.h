#pragma once

#include "crowdmessage.h"

#include "gateway/nodecontext.h"
#include "gateway/peers/peertable.h"
#include "gateway/requests/requestplan.h"

#include "decisions/crowdregister.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gateway {

/// Where a request stands among those of all nodes with the same shared part.
struct crowd_place {
    std::uint32_t place = 0; ///< see decisions::crowd_register; 0 as well where the home has not answered
    bool isAnswered = false;
    utils::duration took {};
};

/// Asks the homes of shared parts for places, and gives out the places of the parts whose home this node is.
/// Not thread safe.
class crowd_directory {
public:
    using send_function = std::function<void(const std::string& address, const std::string& datagram)>;

    /// Precondition: context and peers outlive this object.
    crowd_directory(node_context& context, const peer_table& peers)
        : m_context(context)
        , m_peers(peers)
    {
    }

    /// Sets how datagrams are sent. To be called before anything else.
    void start(send_function send) { m_send = std::move(send); }
    /// Finds the place of a request that is about to be sent; takes at most `maxAnswerTime`. Nothing if the
    /// request shares nothing with others, or if there are no other nodes.
    boost::asio::awaitable<std::optional<crowd_place>> find(const request_plan& plan);
    /// Handles a peer's datagram.
    void onMessage(const crowd_message& message, utils::time_point now);
    /// To be called at each heartbeat of this node.
    void tick(utils::time_point now);

private:
    /// A question that waits for its answer.
    struct question {
        explicit question(const boost::asio::any_io_executor& executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer; ///< cancelled by the answer
        std::optional<std::uint32_t> place;
    };

    /// Address of the part's home, the same on all nodes that know the same peers.
    std::string homeOf(std::uint64_t part, utils::time_point now) const;

    // Two trips between regions.
    static constexpr utils::duration maxAnswerTime = std::chrono::milliseconds(60);
    // Of the latency target: the wait must not make an answer late.
    static constexpr int targetDivisor = 10;
    // A home that has not answered is left out for this time. Most nodes are back sooner.
    static constexpr utils::duration silentTime = std::chrono::seconds(5);

    node_context& m_context;
    const peer_table& m_peers;
    send_function m_send;
    decisions::crowd_register m_register;
    std::map<std::uint32_t, std::shared_ptr<question>> m_questions;
    std::uint32_t m_nextQuestion = 1;
    std::map<std::string, utils::time_point> m_silentHomes; ///< when each did not answer
};

} // namespace gateway
