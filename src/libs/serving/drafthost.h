#pragma once

#include "draftservice.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

namespace serving {

/// Carries out what one operations::draft asks for. Kept alive by the service until the machine has
/// finished. On the node's one thread.
class draft_host : public std::enable_shared_from_this<draft_host> {
public:
    /// Precondition: the service outlives this.
    draft_host(draft_service& owner, operations::draft_worker_identity identity);

    void submit(operations::draft_request request, bool claimNow);
    void adopt(unsigned slot);
    void claimLost();
    void leave(utils::time_point now);
    /// Completes once the draft is accepted or refused.
    boost::asio::awaitable<void> untilDecided();

    unsigned slot() const { return m_machine.slot(); }
    const std::string& id() const { return m_id; }
    const std::optional<utils::failure>& refusal() const { return m_refusal; }

private:
    void apply(operations::draft_actions actions);
    void run(operations::kv_transact action);
    void run(operations::accept_draft action);
    void run(operations::refuse_caller action);
    void run(operations::run_draft action);
    void run(const operations::stop_draft& action);
    void run(const operations::set_timer& action);
    boost::asio::awaitable<void> transact(operations::kv_transact action);
    boost::asio::awaitable<void> execute(operations::draft_record record);
    void conclude(const attempt_result& result, operations::stored_answer answer);
    std::optional<wire::forward_request> makeRequest(
        const operations::draft_record& record, utils::failure& why) const;

    draft_service& m_owner;
    operations::draft m_machine;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_decided;
    boost::asio::cancellation_signal m_stop;
    std::uint64_t m_run = 0; ///< numbers the runs, so that a stopped one's outcome is not taken for the next
    std::string m_id;
    std::optional<utils::failure> m_refusal;
};

} // namespace serving
