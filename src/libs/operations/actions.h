#pragma once

#include "keyvalue/kvtypes.h"
#include "utils/errorkind.h"
#include "utils/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Actions that the state machines of this library return to the daemon. The daemon performs the actions of
/// one call in order and passes each result to the state machine that returned the action.
namespace operations {

/// The complete answer of a backend server.
struct stored_answer {
    int status = 0;
    std::map<std::string, std::string> headers; ///< only the headers that a caller needs, e.g. Content-Type
    std::string body;

    bool operator==(const stored_answer&) const = default;
};

/// Send the transaction to the platform and pass the reply to onKvReply with the same ticket. Each ticket
/// must get a reply: Unknown when the client's timeout expires.
struct kv_transact {
    std::uint64_t ticket = 0;
    keyvalue::kv_transaction transaction;
    bool canWait = false; ///< no caller waits for the reply, so a batcher may delay it longer
};

/// Select a backend server and connect without sending any bytes; then call readyToSend or serverNotReached.
struct reach_server { };

/// Send the request immediately on the established connection. Each state machine returns it at most once.
struct send_request { };

/// The caller's final answer.
struct answer_caller {
    stored_answer answer;
    bool isReplay = false; ///< taken from the stored record of an earlier sending
};

/// The caller's final answer, as an error.
struct refuse_caller {
    utils::failure failure;
};

/// Call onTimer at `at`; replaces the previously set timer.
struct set_timer {
    utils::time_point at;
};

} // namespace operations
