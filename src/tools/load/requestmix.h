#pragma once

#include "callrecord.h"
#include "loadoptions.h"

#include <random>
#include <string>
#include <vector>

namespace load {

/// One request to send.
struct planned_request {
    request_kind kind = request_kind::Chat;
    std::string method;
    std::string target;
    std::string body;
    std::string key; ///< idempotency key; empty: none
    std::string prompt; ///< of a chat: its last message
    bool isAsync = false; ///< a draft: asks for an answer later
};

/// Makes requests by the shares of the options from one seed. Chats return: each turn repeats the chat's
/// history, so that an engine with its prefix in cache has less to do; few chats return often.
/// Not thread safe.
class request_mix {
public:
    /// `run` makes keys of different runs differ.
    request_mix(const load_options& options, const std::string& run);

    planned_request next();
    /// Seconds until the next arrival.
    double nextGap();
    /// True with the chance that a keyed request is sent again.
    bool nextIsRepeated();
    std::size_t nextNode();

private:
    planned_request makeChat();
    planned_request makeDraft();
    std::string chatBody(const std::string& messages, bool isStreamed) const;
    planned_request makeService(request_kind kind);

    const load_options* m_options;
    std::string m_run;
    std::mt19937 m_random;
    std::discrete_distribution<int> m_kinds;
    std::discrete_distribution<std::size_t> m_chats;
    std::vector<std::string> m_histories; ///< JSON objects of the messages, joined by commas
    std::size_t m_number = 0;
};

} // namespace load
