#include "requestmix.h"

#include <boost/json.hpp>

namespace load {

namespace {

namespace json = boost::json;

constexpr std::size_t longestHistory = 32'768;

std::vector<double> zipfShares(std::size_t count)
{
    std::vector<double> shares;
    shares.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        shares.push_back(1 / static_cast<double>(i + 1));
    return shares;
}

std::string messageJson(const std::string& role, const std::string& text)
{
    return json::serialize(json::object { { "role", role }, { "content", text } });
}

} // namespace

request_mix::request_mix(const load_options& options, const std::string& run)
    : m_options(&options)
    , m_run(run)
    , m_random(options.seed)
    , m_kinds(options.mix.begin(), options.mix.end())
    , m_histories(options.chats)
{
    const std::vector<double> shares = zipfShares(options.chats);
    m_chats = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
}

planned_request request_mix::next()
{
    ++m_number;
    const auto kind = static_cast<request_kind>(m_kinds(m_random));
    if (kind == request_kind::Draft)
        return makeDraft();
    return kind == request_kind::Chat ? makeChat() : makeService(kind);
}

double request_mix::nextGap()
{
    return std::exponential_distribution<double>(m_options->rate)(m_random);
}

bool request_mix::nextIsRepeated()
{
    return std::bernoulli_distribution(m_options->repeats)(m_random);
}

std::size_t request_mix::nextNode()
{
    return m_random() % m_options->nodes.size();
}

planned_request request_mix::makeChat()
{
    planned_request request;
    request.kind = request_kind::Chat;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.prompt = "run " + m_run + " turn " + std::to_string(m_number);
    const std::size_t chat = m_chats(m_random);
    std::string& history = m_histories[chat];
    if (history.size() > longestHistory)
        history.clear();
    if (history.empty())
        history = messageJson("system", "chat " + m_run + " " + std::to_string(chat));
    history += "," + messageJson("user", request.prompt);
    request.body = chatBody(history, true);
    return request;
}

planned_request request_mix::makeDraft()
{
    planned_request request;
    request.kind = request_kind::Draft;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.key = m_run + "-draft-" + std::to_string(m_number);
    request.prompt = "run " + m_run + " draft " + std::to_string(m_number);
    request.body = chatBody(messageJson("user", request.prompt), false);
    request.isAsync = true;
    return request;
}

std::string request_mix::chatBody(const std::string& messages, bool isStreamed) const
{
    return R"({"model":)" + json::serialize(json::value(m_options->model)) + R"(,"stream":)"
        + (isStreamed ? "true" : "false") + R"(,"max_tokens":)" + std::to_string(m_options->tokens)
        + R"(,"messages":[)" + messages + "]}";
}

planned_request request_mix::makeService(request_kind kind)
{
    planned_request request;
    request.kind = kind;
    const std::string number = m_run + "-" + std::to_string(m_number);
    if (kind == request_kind::Lookup) {
        request.method = "GET";
        request.target = m_options->lookupPath + "/" + number;
        return request;
    }
    request.method = "POST";
    request.target = kind == request_kind::Payment ? m_options->paymentPath : m_options->bookingPath;
    request.key = number;
    request.body = json::serialize(json::object { { "order", number }, { "amount", m_number % 100 } });
    return request;
}

} // namespace load
