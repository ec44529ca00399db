#include "storestandin.h"

#include "utils/crypto.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>

#include <future>

namespace platform_standin {

namespace {

namespace json = boost::json;
using standins_common::http_request;
using standins_common::tcp_socket;

constexpr auto watchPoll = std::chrono::milliseconds(5); // how soon a waiting watch sees a change
constexpr auto silence = std::chrono::hours(1);

std::string parameter(const boost::urls::url_view& url, const std::string& name)
{
    const auto found = url.params().find(name);
    return found == url.params().end() ? std::string() : std::string((*found).value);
}

json::object itemJson(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return { { "key", key }, { "value", utils::toBase64(value) }, { "revision", revision },
        { "createRev", revision }, { "lease", 0 } };
}

} // namespace

store_standin::store_standin(standin_thread& thread)
    : m_thread(thread)
{
}

unsigned short store_standin::listen()
{
    // The port is known only after listening, so the handler learns it by a shared value.
    const auto port = std::make_shared<unsigned short>(0);
    std::promise<unsigned short> bound;
    boost::asio::post(m_thread.io(), [&, port] {
        *port = standins_common::listenHttp(
            m_thread.io(), 0, [this, port](http_request& request, tcp_socket& socket) {
                return answer(*port, request, socket);
            });
        bound.set_value(*port);
    });
    const unsigned short result = bound.get_future().get();
    const std::lock_guard lock(m_mutex);
    m_listeners[result];
    return result;
}

void store_standin::setMode(unsigned short port, store_mode mode)
{
    const std::lock_guard lock(m_mutex);
    m_listeners[port].mode = mode;
}

void store_standin::setSubstitutions(unsigned short port, std::map<std::string, std::string> texts)
{
    const std::lock_guard lock(m_mutex);
    m_listeners[port].substitutions = std::move(texts);
}

void store_standin::setDeaf(unsigned short port, bool isDeaf)
{
    const std::lock_guard lock(m_mutex);
    m_listeners[port].isDeaf = isDeaf;
}

std::uint64_t store_standin::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_items[key] = { value, ++m_revision };
    m_history.push_back({ key, m_revision, value });
    return m_revision;
}

void store_standin::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    m_items.erase(key);
    m_history.push_back({ key, ++m_revision, std::nullopt });
}

void store_standin::forgetHistory()
{
    const std::lock_guard lock(m_mutex);
    m_history.clear();
    m_forgottenTo = ++m_revision;
}

std::uint64_t store_standin::callCount(unsigned short port) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_listeners.find(port);
    return found == m_listeners.end() ? 0 : found->second.calls;
}

boost::asio::awaitable<bool> store_standin::answer(
    unsigned short port, http_request& request, tcp_socket& socket)
{
    store_mode mode = store_mode::Serve;
    {
        const std::lock_guard lock(m_mutex);
        ++m_listeners[port].calls;
        mode = m_listeners[port].mode;
    }
    std::string body = "{}";
    if (mode == store_mode::Silent)
        co_await standins_common::pauseFor(silence);
    if (mode == store_mode::Refuse)
        co_return co_await standins_common::sendAnswer(socket, request, 503, std::move(body));
    const std::string target = request.target();
    const auto url = boost::urls::parse_origin_form(target);
    if (!url)
        co_return co_await standins_common::sendAnswer(socket, request, 400, std::move(body));
    const std::string prefix = parameter(*url, "pathPrefix");
    if (url->path() == "/-/kv-range") {
        body = rangeJson(port, prefix);
        co_return co_await standins_common::sendAnswer(socket, request, 200, std::move(body));
    }
    if (url->path() == "/-/kv-key") {
        const auto read = readJson(port, parameter(*url, "key"));
        body = read.value_or(body);
        co_return co_await standins_common::sendAnswer(socket, request, read ? 200 : 404, std::move(body));
    }
    if (url->path() == "/-/kv-txn" && mode == store_mode::RefuseWrites)
        co_return co_await standins_common::sendAnswer(socket, request, 503, std::move(body));
    if (url->path() == "/-/kv-txn") {
        const auto [status, written] = write(request.body());
        body = written;
        co_return co_await standins_common::sendAnswer(socket, request, status, std::move(body));
    }
    if (url->path() != "/-/kv-watch")
        co_return co_await standins_common::sendAnswer(socket, request, 404, std::move(body));
    const std::uint64_t after = std::stoull(parameter(*url, "after"));
    const auto wait = std::chrono::milliseconds(std::stoll(parameter(*url, "waitMs")));
    const auto until = std::chrono::steady_clock::now() + wait;
    while (true) {
        if (isForgotten(after))
            co_return co_await standins_common::sendAnswer(socket, request, 410, std::move(body));
        auto changes = changesJson(port, prefix, after);
        const bool isOver = std::chrono::steady_clock::now() >= until;
        if (!changes && isOver)
            changes = json::serialize(json::object { { "events", json::array() }, { "asOf", after } });
        if (changes) {
            body = std::move(*changes);
            co_return co_await standins_common::sendAnswer(socket, request, 200, std::move(body));
        }
        co_await standins_common::pauseFor(watchPoll);
    }
}

std::optional<std::string> store_standin::value(const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional(found->second.value);
}

std::pair<int, std::string> store_standin::write(const std::string& call)
{
    const json::value parsed = json::parse(call);
    const json::object& condition = parsed.at("expectedRev").as_array().at(0).as_object();
    const json::object& put = parsed.at("puts").as_array().at(0).as_object();
    const std::string key(put.at("key").as_string());
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
    if (condition.at("key").as_string() != key
        || condition.at("revision").to_number<std::uint64_t>() != revision)
        return { 412, "{\"items\":[]}" };
    m_items[key] = { utils::fromBase64(put.at("value").as_string()), ++m_revision };
    m_history.push_back({ key, m_revision, m_items[key].value });
    return { 200, json::serialize(json::object { { "revision", m_revision } }) };
}

std::string store_standin::rangeJson(unsigned short port, const std::string& prefix) const
{
    const std::lock_guard lock(m_mutex);
    json::array items;
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix))
            items.push_back(itemJson(key, substituted(port, item.value), item.revision));
    }
    return json::serialize(json::object { { "items", items }, { "hasMore", false }, { "asOf", m_revision } });
}

std::optional<std::string> store_standin::readJson(unsigned short port, const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    if (found == m_items.end())
        return std::nullopt;
    return json::serialize(itemJson(key, substituted(port, found->second.value), found->second.revision));
}

std::optional<std::string> store_standin::changesJson(
    unsigned short port, const std::string& prefix, std::uint64_t after) const
{
    const std::lock_guard lock(m_mutex);
    const auto listener = m_listeners.find(port);
    if (listener != m_listeners.end()
        && (listener->second.isDeaf || listener->second.mode == store_mode::Refuse
            || listener->second.mode == store_mode::Silent))
        return std::nullopt;
    json::array events;
    for (const change& change : m_history) {
        if (change.revision <= after || !change.key.starts_with(prefix))
            continue;
        if (change.value)
            events.push_back(itemJson(change.key, substituted(port, *change.value), change.revision));
        else
            events.push_back(
                json::object { { "key", change.key }, { "revision", change.revision }, { "removed", true } });
    }
    if (events.empty())
        return std::nullopt;
    return json::serialize(json::object { { "events", events }, { "asOf", m_revision } });
}

std::string store_standin::substituted(unsigned short port, std::string value) const
{
    const auto listener = m_listeners.find(port);
    if (listener == m_listeners.end())
        return value;
    for (const auto& [text, other] : listener->second.substitutions) {
        const std::size_t at = value.find(text);
        if (at != std::string::npos)
            value.replace(at, text.size(), other);
    }
    return value;
}

bool store_standin::isForgotten(std::uint64_t after) const
{
    const std::lock_guard lock(m_mutex);
    return after < m_forgottenTo;
}

} // namespace platform_standin
