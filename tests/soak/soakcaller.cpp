#include "soakcaller.h"

#include "utils/hashing.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <thread>

namespace soak {

namespace {

namespace http = boost::beast::http;
constexpr duration patience = callerDeadline;
constexpr duration shortPatience = std::chrono::milliseconds(40); // in the middle of most streams
constexpr duration betweenCalls = std::chrono::milliseconds(10);
constexpr std::uint64_t givesUp = 12; // one request in so many is given up early
constexpr std::uint64_t movesOn = 20; // after one answer in so many a caller goes to another node
constexpr unsigned mostResumptions = 3; // of one stream
constexpr std::uint64_t secondKey = 4; // one request in so many uses the key that is taken away at times

constexpr std::uint64_t crashes = 8; // one prompt in so many has the part under which engines crash at times
constexpr std::uint64_t documents = 6; // other parts in its place

struct call_shape {
    call_kind kind;
    http::verb method;
    std::string_view path;
};

constexpr std::array<call_shape, 4> shapes { {
    { call_kind::Payment, http::verb::post, "/pay/order" },
    { call_kind::Lookup, http::verb::get, "/look/1" },
    { call_kind::Chat, http::verb::post, "/chat/1" },
    { call_kind::Draft, http::verb::post, "/draft/1" },
} };

http::request<http::string_body> makeRequest(const call_shape& shape, const call_record& call)
{
    http::request<http::string_body> request { shape.method, shape.path, 11 };
    request.set(http::field::host, "shop.example");
    request.set(http::field::authorization, call.usesSecondKey ? "Token key-2" : "Token key-1");
    request.set("Lycheefront-Attempt-Id", call.id);
    request.set("Lycheefront-Deadline-Ms", std::to_string(patience.count()));
    if (!call.resumes.empty()) {
        request.set("Last-Event-Id", std::to_string(call.resumedAfter));
        request.set("Resumes", call.resumes);
    }
    if (shape.path.starts_with("/chat/") || shape.path.starts_with("/draft/")) {
        const std::uint64_t own = utils::hash64(call.id);
        std::ostringstream parts;
        parts << "a1:100," << std::hex;
        if (call.hasCrashingPart)
            parts << crashingPart;
        else
            parts << "d" << own % documents;
        parts << ":100," << own << ":50";
        request.set("Lycheefront-Prompt-Prefix", parts.str());
        request.set("Lycheefront-Token-Usage", "250,30");
    }
    if (shape.method == http::verb::post)
        request.body() = call.id;
    request.prepare_payload();
    return request;
}

const call_shape& shapeOf(call_kind kind)
{
    return *std::ranges::find(shapes, kind, &call_shape::kind);
}

} // namespace

/// One connection to a node.
class soak_caller::connection {
public:
    explicit connection(const node_address& node)
        : m_stream(m_io)
    {
        m_stream.expires_after(patience);
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(node.address), node.port);
        m_stream.async_connect(endpoint, [this](const boost::system::error_code& e) { m_error = e; });
        m_io.run();
    }

    bool isOpen() const { return !m_error; }

    /// Asks, and writes into the record what came back.
    void ask(const http::request<http::string_body>& request, duration wait, call_record& call)
    {
        http::response_parser<http::string_body> parser;
        m_stream.expires_after(wait);
        m_io.restart();
        http::async_write(m_stream, request, [&](const boost::system::error_code& e, std::size_t) {
            m_error = e;
            http::async_read(m_stream, m_buffer, parser,
                [&](const boost::system::error_code& readError, std::size_t) { m_error = readError; });
        });
        m_io.run();
        call.hasTimedOut = m_error == boost::beast::error::timeout;
        if (!parser.is_header_done())
            return;
        const auto& reply = parser.get();
        call.status = static_cast<int>(reply.result_int());
        call.isWhole = !m_error && parser.is_done();
        call.isMarked = reply.count("Lycheefront-Response-Signature") > 0;
        call.answeredId = std::string(reply["Lycheefront-Attempt-Id"]);
        call.body = reply.body();
        if (!parser.keep_alive() && !m_error)
            m_error = http::error::end_of_stream;
    }

private:
    boost::asio::io_context m_io { 1 };
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    boost::system::error_code m_error;
};

soak_caller::soak_caller(std::string name, std::uint64_t seed, std::vector<node_address> nodes)
    : m_name(std::move(name))
    , m_nodes(std::move(nodes))
    , m_random(seed)
{
}

soak_caller::~soak_caller() = default;

std::uint64_t soak_caller::draw(std::uint64_t below)
{
    m_random = utils::hash64(std::to_string(m_random));
    return m_random % below;
}

void soak_caller::run(const std::atomic<bool>& isStopped)
{
    while (!isStopped) {
        askOnce();
        std::this_thread::sleep_for(betweenCalls);
    }
}

bool soak_caller::send(call_record call, duration wait)
{
    if (!m_connection) {
        m_node = draw(m_nodes.size());
        m_connection = std::make_unique<connection>(m_nodes.at(m_node));
    }
    if (!m_connection->isOpen()) {
        m_connection.reset();
        return false;
    }
    call.id = m_name + "-" + std::to_string(m_calls.size());
    call.node = m_node;
    call.sentAt = std::chrono::steady_clock::now();
    m_connection->ask(makeRequest(shapeOf(call.kind), call), wait, call);
    call.endedAt = std::chrono::steady_clock::now();
    takeVersions(call);
    m_calls.push_back(std::move(call));
    if (!m_connection->isOpen() || draw(movesOn) == 0)
        m_connection.reset();
    return true;
}

void soak_caller::askOnce()
{
    call_record call;
    call.kind = shapes.at(draw(shapes.size())).kind;
    call.usesSecondKey = draw(secondKey) == 0;
    const bool isPrompt = call.kind == call_kind::Chat || call.kind == call_kind::Draft;
    call.hasCrashingPart
        = isPrompt && utils::hash64(m_name + "-" + std::to_string(m_calls.size())) % crashes == 0;
    const duration wait = draw(givesUp) == 0 ? shortPatience : patience;
    if (send(call, wait) && call.kind == call_kind::Chat)
        resumeLast();
}

void soak_caller::resumeLast()
{
    const call_record began = m_calls.back();
    unsigned had = lastEvent(began.body);
    bool isWhole = began.isWhole || had == 0;
    for (unsigned i = 0; i < mostResumptions && !isWhole; ++i) {
        call_record call;
        call.kind = began.kind;
        call.usesSecondKey = began.usesSecondKey;
        call.hasCrashingPart = began.hasCrashingPart;
        call.resumes = began.id;
        call.resumedAfter = had;
        if (!send(call, patience))
            continue;
        const call_record& last = m_calls.back();
        had = std::max(had, lastEvent(last.body));
        isWhole = last.status == static_cast<int>(http::status::ok) && last.isWhole;
    }
}

} // namespace soak
