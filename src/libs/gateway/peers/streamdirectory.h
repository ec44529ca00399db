#pragma once

#include "gateway/nodecontext.h"
#include "gateway/requests/requestplan.h"
#include "peertable.h"
#include "streammessages.h"

#include "decisions/originsearch.h"
#include "decisions/standstilldetector.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gateway {

/// Tells peers which software version began each stream of this node, and finds the version of the streams
/// that callers resume, at any node. One of the nodes that follow the store gets all origins of streams that
/// may be resumed, and writes them there. While a service has a single version nothing is told. Not thread
/// safe.
class stream_directory {
public:
    using send_function = std::function<void(const std::string& address, const std::string& datagram)>;
    using deposit_function = std::function<void(const std::vector<decisions::stream_origin>&)>;

    /// Precondition: context and peers outlive this object.
    stream_directory(node_context& context, const peer_table& peers);

    /// Sets how datagrams are sent, and what writes origins to the store. To be called before anything else.
    void start(send_function send, deposit_function deposit)
    {
        m_send = std::move(send);
        m_deposit = std::move(deposit);
    }
    /// Records that the first events of a request's stream, or of the rest of one, are about to be forwarded,
    /// from a server of that version.
    void forwarded(const request_plan& plan, const client_request& request, decisions::version_key version);
    /// Finds the version that began the stream that the caller resumes. Asks peers where this node does not
    /// know it; takes at most `questionTimeout`.
    boost::asio::awaitable<decisions::found_origin> find(
        const request_plan& plan, const client_request& request);
    /// Handles a peer's datagram.
    void onMessage(const stream_message& message);
    /// The process at that address has just started: it gets the origins that it should hold.
    void onPeerStart(const std::string& address);
    /// Takes origins that were read from the store.
    void takeStored(const std::vector<decisions::stream_origin>& origins);
    /// To be called at each heartbeat of this node. `followsStore`: this node is one of those that may write
    /// origins.
    void tick(bool followsStore, utils::time_point now);

    std::size_t size() const { return m_origins.size(); }
    std::uint64_t dropped() const { return m_origins.dropped(); }

private:
    /// A question that waits for answers.
    struct question {
        explicit question(const boost::asio::any_io_executor& executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer; ///< cancelled once nothing more is waited for
        std::size_t asked = 0; ///< peers
        decisions::origin_answers answers;
    };

    static decisions::stream_key keyOf(const request_plan& plan, std::string_view requestId);
    bool isViewCurrent() const;
    /// Addresses of the peers that rank first for a stream.
    std::vector<std::string> peersFor(decisions::stream_key stream, std::size_t limit) const;
    boost::asio::awaitable<decisions::origin_answers> ask(decisions::stream_key stream);
    void answer(const stream_message& asked);
    void takeAnswer(const stream_message& message);
    /// Sends origins to those of their holders that `isWanted` accepts.
    void report(const std::vector<decisions::stream_origin>& origins,
        const std::function<bool(const std::string&)>& isWanted);
    /// Has origins written to the store, by the node that all agree on.
    void deposit(const std::vector<decisions::stream_origin>& origins);
    /// Address of that node; empty if none is known.
    std::string depositary(utils::time_point now) const;
    /// Sends origins in as many messages as they need.
    void sendOrigins(const std::string& address, stream_message_kind kind,
        const std::vector<decisions::stream_origin>& origins) const;
    void send(const std::string& address, stream_message message) const;

    // Two trips between data centres and a node that stands still for a tenth of a second.
    static constexpr utils::duration questionTimeout = std::chrono::milliseconds(150);
    // Two heartbeats of the nodes that follow the store.
    static constexpr utils::duration currentViewAge = std::chrono::milliseconds(500);
    // Most streams end within this time.
    static constexpr utils::duration reportedAge = std::chrono::seconds(20);

    node_context& m_context;
    const peer_table& m_peers;
    send_function m_send;
    deposit_function m_deposit;
    bool m_followsStore = false;
    decisions::standstill_detector m_standstill { currentViewAge };
    decisions::stream_origins m_origins;
    std::set<std::string> m_severalVersions; ///< services whose streams are reported to peers
    std::map<std::uint64_t, std::shared_ptr<question>> m_questions;
    std::uint64_t m_nextQuestion = 1;
};

} // namespace gateway
