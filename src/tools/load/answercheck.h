#pragma once

#include "callrecord.h"

#include <string>
#include <string_view>

namespace load {

/// An answer as it came over the wire.
struct raw_answer {
    int status = 0;
    std::string contentType;
    std::string retryAfter;
    std::string body;
    bool isComplete = false; ///< the transfer ended as its framing says
    std::string error; ///< of the connection, when it is not complete
};

/// Judges a chat's answer: each token names the prompt that it answers and its place, so an answer that is
/// mixed with another's, lacks a token or stops early without a sign of it is Broken. Fills in end, problem
/// and run. Thread safe.
void judgeChat(call_record& record, const raw_answer& answer, std::string_view prompt, std::size_t tokens);
/// Judges a plain service's answer, which must echo the request's target and body. Thread safe.
void judgeService(call_record& record, const raw_answer& answer, std::string_view target);

/// Judges the answer to a draft's submission: its id, or empty when it was not accepted, which fills in end,
/// problem and run. Thread safe.
std::string judgeSubmission(call_record& record, const raw_answer& answer);
/// Judges an answer to polling for a draft; true when it is final. Anything but the whole answer of an
/// accepted draft or an error that says what happened breaks the promise that drafts do not vanish. Thread
/// safe.
bool judgePoll(call_record& record, const raw_answer& answer, std::string_view prompt, std::size_t tokens);

} // namespace load
