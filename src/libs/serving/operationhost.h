#pragma once

#include "batchedkv.h"
#include "homeservice.h"

#include "operations/operation.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace serving {

/// Carries out what one operations::operation asks for: the platform's calls, the connection, the single
/// send. Keeps itself alive until the machine has finished, also when its caller has gone, so that a
/// request that was sent gets its outcome recorded. On the node's one thread.
class operation_host : public std::enable_shared_from_this<operation_host> {
public:
    struct parts {
        node_context& context;
        home_service& home;
        batched_kv& kv;
        const utils::state_chart& chart;
    };

    /// Precondition: the parts outlive this. `held` is the slot the request was admitted to.
    operation_host(parts with, operations::operation_request operation, wire::forward_request request,
        home_service::ticket held, utils::time_point deadline);

    void start();
    /// The caller's connection is gone.
    void callerGone();
    /// Completes with the caller's final answer or failure.
    boost::asio::awaitable<void> wait();

    const std::optional<operations::answer_caller>& answer() const { return m_answer; }
    const std::optional<utils::failure>& refusal() const { return m_refusal; }

private:
    void apply(operations::operation_actions actions);
    void run(const operations::kv_transact& action);
    void run(const operations::reach_server& action);
    void run(const operations::send_request& action);
    void run(operations::answer_caller action);
    void run(operations::refuse_caller action);
    void run(const operations::set_timer& action);
    boost::asio::awaitable<void> transact(operations::kv_transact action);
    boost::asio::awaitable<void> reach();
    boost::asio::awaitable<void> send();
    std::string serverAddress() const;

    parts m_parts;
    wire::forward_request m_request;
    home_service::ticket m_held;
    utils::time_point m_deadline;
    operations::operation m_machine;
    std::unique_ptr<backend_connection> m_connection;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_done;
    std::optional<operations::answer_caller> m_answer;
    std::optional<utils::failure> m_refusal;
};

} // namespace serving
