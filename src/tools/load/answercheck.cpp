#include "answercheck.h"

#include "utils/hashing.h"

#include <boost/json.hpp>

#include <array>
#include <charconv>

namespace load {

namespace {

namespace json = boost::json;

constexpr int okStatus = 200;
constexpr int firstErrorStatus = 400;
constexpr std::size_t quotedBytes = 80;

std::string hexDigest(std::string_view text)
{
    std::array<char, 20> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), utils::hash64(text), 16).ptr;
    return { digits.data(), end };
}

std::string expectedText(std::string_view prompt, std::size_t tokens)
{
    const std::string digest = hexDigest(prompt);
    std::string text;
    for (std::size_t i = 0; i < tokens; ++i)
        text += digest + ':' + std::to_string(i) + '/' + std::to_string(tokens) + ' ';
    return text;
}

std::string textAt(const json::value& value, std::string_view pointer)
{
    boost::system::error_code error;
    const json::value* found = value.find_pointer(pointer, error);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

void mark(call_record& record, call_end end, const std::string& problem)
{
    record.end = end;
    record.problem = problem;
}

/// What an event stream says in sum.
struct stream_text {
    std::string text;
    std::string errorKind;
    std::string run;
    bool isDone = false;
};

stream_text readStream(std::string_view body)
{
    stream_text result;
    constexpr std::string_view prefix = "data: ";
    while (!body.empty()) {
        const std::size_t end = body.find('\n');
        const std::string_view line = body.substr(0, end);
        body.remove_prefix(end == std::string_view::npos ? body.size() : end + 1);
        if (!line.starts_with(prefix))
            continue;
        const std::string_view data = line.substr(prefix.size());
        if (data.starts_with("[DONE]")) {
            result.isDone = true;
            continue;
        }
        boost::system::error_code error;
        const json::value event = json::parse(json::string_view(data.data(), data.size()), error);
        if (error)
            continue;
        result.text += textAt(event, "/choices/0/delta/content");
        for (const std::string_view place : { "/kind", "/error/kind" }) {
            if (const std::string kind = textAt(event, place); !kind.empty())
                result.errorKind = kind;
        }
        for (const std::string_view place : { "/run", "/error/run" }) {
            if (const std::string run = textAt(event, place); !run.empty())
                result.run = run;
        }
    }
    return result;
}

/// Refusals and failed transfers; true when the record is judged by this.
bool judgeFailure(call_record& record, const raw_answer& answer)
{
    record.status = answer.status;
    record.answer = answer.body;
    if (answer.status >= firstErrorStatus && answer.isComplete) {
        boost::system::error_code error;
        const json::value problem = json::parse(answer.body, error);
        const std::string kind = error ? std::string() : textAt(problem, "/kind");
        record.run = error ? std::string() : textAt(problem, "/run");
        if (kind.empty() || record.run.empty())
            mark(record, call_end::Broken, "a refusal that is no problem+json with kind and run");
        else
            mark(record, call_end::Refused, kind);
        return true;
    }
    if (!answer.isComplete) {
        mark(record, call_end::Failed, answer.error);
        return true;
    }
    return false;
}

} // namespace

void judgeChat(call_record& record, const raw_answer& answer, std::string_view prompt, std::size_t tokens)
{
    if (judgeFailure(record, answer))
        return;
    const stream_text stream = readStream(answer.body);
    const std::string expected = expectedText(prompt, tokens);
    if (answer.status == okStatus && stream.isDone && stream.text == expected) {
        mark(record, call_end::Whole, {});
        return;
    }
    const bool isOwnBeginning = expected.starts_with(stream.text);
    if (!isOwnBeginning) {
        mark(record, call_end::Broken, "answer of another request: " + stream.text.substr(0, quotedBytes));
        return;
    }
    if (!stream.errorKind.empty()) {
        record.run = stream.run;
        mark(record, call_end::Failed, stream.errorKind);
        return;
    }
    mark(record, call_end::Broken, "answer stops early and looks whole");
}

void judgeService(call_record& record, const raw_answer& answer, std::string_view target)
{
    if (judgeFailure(record, answer))
        return;
    boost::system::error_code error;
    const json::value body = json::parse(answer.body, error);
    if (error) {
        mark(record, call_end::Broken, "answer that is not JSON: " + answer.body.substr(0, quotedBytes));
        return;
    }
    const bool isOwn = textAt(body, "/target") == target && textAt(body, "/echo") == record.body;
    if (isOwn)
        mark(record, call_end::Whole, {});
    else
        mark(record, call_end::Broken, "answer of another request: " + answer.body.substr(0, quotedBytes));
}

std::string judgeSubmission(call_record& record, const raw_answer& answer)
{
    if (judgeFailure(record, answer))
        return {};
    boost::system::error_code error;
    const json::value body = json::parse(answer.body, error);
    std::string id = error ? std::string() : textAt(body, "/id");
    if (id.empty())
        mark(record, call_end::Broken, "a draft accepted without an id");
    return id;
}

bool judgePoll(call_record& record, const raw_answer& answer, std::string_view prompt, std::size_t tokens)
{
    constexpr int statusNotFound = 404;
    if (answer.isComplete && answer.status == statusNotFound) {
        mark(record, call_end::Broken, "an accepted draft is not known any more");
        return true;
    }
    boost::system::error_code error;
    const json::value body = json::parse(answer.body, error);
    // A node that is down or not current says nothing about the draft: another is asked next.
    if (!answer.isComplete || answer.status != okStatus || error)
        return false;
    record.status = answer.status;
    if (const std::string kind = textAt(body, "/error/kind"); !kind.empty()) {
        record.run = textAt(body, "/error/run");
        mark(record, call_end::Failed, kind);
        return true;
    }
    if (!body.as_object().contains("answer"))
        return false;
    const bool isOwn = textAt(body, "/answer/choices/0/message/content") == expectedText(prompt, tokens);
    mark(record, isOwn ? call_end::Whole : call_end::Broken, isOwn ? "" : "a draft's answer is not its own");
    return true;
}

} // namespace load
