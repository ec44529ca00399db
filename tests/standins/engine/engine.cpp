#include "engine.h"

#include "utils/hashing.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace standins_common;

constexpr std::size_t defaultTokens = 16;
constexpr std::size_t eventsKept = 1000;
constexpr int exitOnCrash = 134;

std::string hexDigest(std::string_view text)
{
    std::array<char, 20> digits {};
    const std::uint64_t hash = utils::hash64(text);
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), hash, 16).ptr;
    return { digits.data(), end };
}

std::string tokenText(const std::string& digest, std::size_t index, std::size_t count)
{
    return digest + ':' + std::to_string(index) + '/' + std::to_string(count) + ' ';
}

std::string sse(const json::object& event)
{
    return "data: " + json::serialize(event) + "\n\n";
}

std::string chunk(const std::string& bytes)
{
    std::array<char, 20> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    return std::string(size.data(), end) + "\r\n" + bytes + "\r\n";
}

json::object usageOf(std::size_t promptBlocks, std::size_t cachedBlocks, std::size_t tokens)
{
    constexpr std::size_t tokensPerBlock = prefix_cache::blockBytes / 4;
    return { { "prompt_tokens", promptBlocks * tokensPerBlock }, { "completion_tokens", tokens },
        { "prompt_tokens_details", { { "cached_tokens", cachedBlocks * tokensPerBlock } } } };
}

/// The text of all messages, one after the other: what the engine would prefill.
std::string promptOf(const json::array& messages)
{
    std::string prompt;
    for (const json::value& message : messages)
        prompt += json::serialize(message);
    return prompt;
}

std::string blocksJson(const std::vector<std::uint64_t>& blocks)
{
    return json::serialize(json::object { { "blocks", json::value_from(blocks) } });
}

std::string lastContent(const json::array& messages)
{
    if (messages.empty() || !messages.back().is_object())
        return {};
    const json::value* content = messages.back().as_object().if_contains("content");
    return content != nullptr && content->is_string() ? std::string(content->as_string()) : std::string();
}

std::int64_t numberOr(const json::object& object, std::string_view name, std::int64_t fallback)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : fallback;
}

} // namespace

engine::engine(engine_settings settings, std::size_t cacheBlocks)
    : m_settings(std::move(settings))
    , m_cache(cacheBlocks)
{
    sampleLoad();
}

asio::awaitable<bool> engine::serve(http_request& request, tcp_socket& socket)
{
    co_await waitOutPause();
    const std::string_view target = request.target();
    if (target == "/v1/chat/completions")
        co_return co_await complete(request, socket);
    if (target == "/load")
        co_return co_await sendAnswer(socket, request, 200, loadJson());
    if (target.starts_with("/cache_events")) {
        const std::size_t equals = target.find("after=");
        const std::uint64_t after
            = equals == std::string_view::npos ? 0 : std::strtoull(target.data() + equals + 6, nullptr, 10);
        co_return co_await sendAnswer(socket, request, 200, eventsJson(after));
    }
    if (target == "/orders") {
        int status = 200;
        const std::string answer
            = request.method_string() == "POST" ? takeOrder(request.body(), status) : takeOrder("{}", status);
        co_return co_await sendAnswer(socket, request, status, answer);
    }
    if (target == "/kv/export") {
        co_return co_await sendAnswer(socket, request, 200, blocksJson(m_cache.hottest(eventsKept)));
    }
    if (target == "/kv/import") {
        boost::system::error_code error;
        const json::value body = json::parse(request.body(), error);
        if (error || !body.is_object() || !body.as_object().contains("blocks"))
            co_return co_await sendAnswer(socket, request, 400, "{}");
        m_cache.import(json::value_to<std::vector<std::uint64_t>>(body.as_object().at("blocks")));
        co_return co_await sendAnswer(socket, request, 200, "{}");
    }
    co_return co_await sendAnswer(socket, request, 404, R"({"error":"no such path"})");
}

asio::awaitable<bool> engine::complete(http_request& request, tcp_socket& socket)
{
    boost::system::error_code error;
    const json::value root = json::parse(request.body(), error);
    if (error || !root.is_object() || !root.as_object().contains("messages"))
        co_return co_await sendAnswer(socket, request, 400, R"({"error":{"message":"malformed"}})");
    const json::object& object = root.as_object();
    const json::array& messages = object.at("messages").as_array();
    const std::string prompt = promptOf(messages);
    job work;
    work.digest = hexDigest(lastContent(messages));
    ++m_ledger[work.digest];
    if (!m_settings.crashOn.empty() && prompt.find(m_settings.crashOn) != std::string::npos)
        std::_Exit(exitOnCrash);
    work.tokens = static_cast<std::size_t>(numberOr(object, "max_tokens", defaultTokens));
    work.priority = static_cast<int>(numberOr(object, "priority", 0));
    work.isStreamed = object.contains("stream") && object.at("stream") == json::value(true);
    work.model = object.contains("model") ? std::string(object.at("model").as_string()) : std::string();
    work.promptBlocks = prompt.size() / prefix_cache::blockBytes;
    co_await takeSlot(work.priority);
    work.cachedBlocks = m_cache.use(prompt);
    if (++m_eventNumber % m_settings.eventGap != 0)
        m_events.emplace_back(m_eventNumber, work.digest);
    if (m_events.size() > eventsKept)
        m_events.pop_front();
    const bool goesOn = co_await generate(work, request, socket);
    freeSlot();
    co_return goesOn;
}

asio::awaitable<bool> engine::generate(const job& work, http_request& request, tcp_socket& socket)
{
    co_await pauseFor(m_settings.prefillPerBlock * static_cast<long>(work.promptBlocks - work.cachedBlocks));
    if (work.isStreamed)
        co_return co_await streamTokens(work, socket);
    std::string text;
    for (std::size_t i = 0; i < work.tokens; ++i)
        text += tokenText(work.digest, i, work.tokens);
    co_await pauseFor(m_settings.perToken * static_cast<long>(work.tokens));
    const std::string whole = wholeAnswer(work, text);
    if (m_settings.cutAnswers > 0) {
        --m_settings.cutAnswers;
        co_await sendBytes(socket,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(whole.size()) + "\r\n\r\n" + whole.substr(0, whole.size() / 2));
        co_return false;
    }
    co_return co_await sendAnswer(socket, request, 200, whole);
}

asio::awaitable<bool> engine::streamTokens(const job& work, tcp_socket& socket)
{
    bool isCut = false;
    if (m_settings.cutAnswers > 0) {
        --m_settings.cutAnswers;
        isCut = true;
    }
    if (!co_await sendBytes(socket,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        co_return false;
    for (std::size_t i = 0; i < work.tokens; ++i) {
        co_await waitOutPause();
        if (m_settings.perToken.count() > 0)
            co_await pauseFor(m_settings.perToken);
        if (isCut && i == work.tokens / 2)
            co_return false;
        if (!co_await sendBytes(socket, chunk(tokenEvent(work, i)))) {
            ++m_cancelled;
            co_return false;
        }
    }
    co_return co_await sendBytes(socket, chunk(lastEvent(work) + "data: [DONE]\n\n") + "0\r\n\r\n");
}

std::string engine::wholeAnswer(const job& work, const std::string& text) const
{
    const json::object message { { "role", "assistant" }, { "content", text } };
    const json::object choice { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } };
    return json::serialize(json::object { { "id", "chatcmpl-" + work.digest },
        { "object", "chat.completion" }, { "model", work.model }, { "choices", json::array { choice } },
        { "usage", usageOf(work.promptBlocks, work.cachedBlocks, work.tokens) },
        { "engine", m_settings.name } });
}

std::string engine::tokenEvent(const job& work, std::size_t index) const
{
    const json::object delta { { "content", tokenText(work.digest, index, work.tokens) } };
    const json::object choice { { "index", 0 }, { "delta", delta }, { "finish_reason", nullptr } };
    return sse({ { "id", "chatcmpl-" + work.digest }, { "object", "chat.completion.chunk" },
        { "model", work.model }, { "engine", m_settings.name }, { "choices", json::array { choice } } });
}

std::string engine::lastEvent(const job& work)
{
    const json::object choice { { "index", 0 }, { "delta", json::object() }, { "finish_reason", "stop" } };
    return sse({ { "id", "chatcmpl-" + work.digest }, { "object", "chat.completion.chunk" },
        { "model", work.model }, { "choices", json::array { choice } },
        { "usage", usageOf(work.promptBlocks, work.cachedBlocks, work.tokens) } });
}

asio::awaitable<void> engine::takeSlot(int priority)
{
    if (m_running < m_settings.slots && m_waiting.empty()) {
        ++m_running;
    } else {
        asio::steady_timer wake(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
        m_waiting.push_back({ priority, &wake });
        m_waitingMax = std::max(m_waitingMax, m_waiting.size());
        sampleLoad();
        // The slot is handed over by freeSlot, so m_running stays as it is.
        co_await wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    m_runningMax = std::max(m_runningMax, m_running);
    sampleLoad();
}

void engine::freeSlot()
{
    if (m_waiting.empty()) {
        --m_running;
    } else {
        const auto next = std::ranges::max_element(m_waiting, {}, &waiting_job::priority);
        next->wake->cancel();
        m_waiting.erase(next);
    }
    sampleLoad();
}

asio::awaitable<void> engine::waitOutPause()
{
    const auto now = std::chrono::steady_clock::now();
    if (m_settings.pausedUntil > now)
        co_await pauseFor(
            std::chrono::duration_cast<std::chrono::microseconds>(m_settings.pausedUntil - now));
}

void engine::sampleLoad()
{
    m_samples.push_back({ std::chrono::steady_clock::now(), m_running, m_waiting.size() });
    const auto reported = std::chrono::steady_clock::now() - m_settings.loadLag;
    while (m_samples.size() > 1 && m_samples[1].at <= reported)
        m_samples.pop_front();
}

std::string engine::loadJson() const
{
    const auto reported = std::chrono::steady_clock::now() - m_settings.loadLag;
    load_sample seen = m_samples.front();
    for (const load_sample& sample : m_samples) {
        if (sample.at <= reported)
            seen = sample;
    }
    return json::serialize(json::object { { "running", seen.running }, { "waiting", seen.waiting },
        { "slots", m_settings.slots }, { "cached_blocks", m_cache.size() } });
}

std::string engine::eventsJson(std::uint64_t after) const
{
    json::array events;
    for (const auto& [number, digest] : m_events) {
        if (number > after)
            events.push_back(json::object { { "number", number }, { "stored", digest } });
    }
    return json::serialize(json::object { { "events", events } });
}

std::string engine::takeOrder(const std::string& body, int& status)
{
    boost::system::error_code error;
    const json::value root = json::parse(body, error);
    if (error || !root.is_object()) {
        status = 400;
        return R"({"error":"malformed"})";
    }
    const json::object& order = root.as_object();
    const std::int64_t fencing = numberOr(order, "fencing", m_fencing);
    if (m_settings.refusesOldFencing && fencing < m_fencing) {
        status = 409;
        return json::serialize(json::object { { "error", "old fencing number" }, { "fencing", m_fencing } });
    }
    m_fencing = std::max(m_fencing, fencing);
    if (const json::value* models = order.if_contains("models"); models != nullptr)
        m_settings.models = json::value_to<std::set<std::string>>(*models);
    if (const json::value* role = order.if_contains("role"); role != nullptr)
        m_role = std::string(role->as_string());
    return json::serialize(json::object {
        { "models", json::value_from(m_settings.models) }, { "role", m_role }, { "fencing", m_fencing } });
}

std::string engine::ledgerJson() const
{
    json::object requests;
    for (const auto& [digest, count] : m_ledger)
        requests[digest] = count;
    return json::serialize(
        json::object { { "requests", requests }, { "running", m_running }, { "running_max", m_runningMax },
            { "waiting_max", m_waitingMax }, { "slots", m_settings.slots }, { "cancelled", m_cancelled } });
}
