#pragma once

#include "messages.h"
#include "nodecontext.h"

#include <string>

namespace gateway {

/// The answer of a backend server whose head has just been read.
struct heard_answer {
    std::string requestId; ///< of the request that was sent
    std::string service;
    decisions::server_process server;
    utils::time_point sentAt {};
    bool isRetry = false;
};

/// Hears what backend servers say of themselves in the heads of their answers, whichever request these belong
/// to. Not thread safe.
class server_notices {
public:
    /// Precondition: the context outlives this object.
    explicit server_notices(node_context& context)
        : m_context(context)
    {
    }

    /// Takes the head of an answer.
    void heard(const heard_answer& answer, const server_response& response, utils::time_point now);

private:
    void heardRest(const heard_answer& answer, utils::duration rest, utils::time_point now);

    node_context& m_context;
};

} // namespace gateway
