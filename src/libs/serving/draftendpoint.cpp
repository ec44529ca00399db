#include "draftendpoint.h"

#include "draftservice.h"

#include "operations/draftrecord.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using utils::failure;

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view draftsPath = "/v1/drafts/";
constexpr int statusAccepted = 202;

std::string acceptedJson(const std::string& id)
{
    return boost::json::serialize(boost::json::object { { "id", id }, { "state", "waiting" } });
}

boost::json::value parsedOrText(const std::string& body)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(body, error);
    return error ? boost::json::value(body) : value;
}

std::string recordJson(const operations::draft_record& record)
{
    boost::json::object body { { "id", record.id }, { "state", operations::toString(record.state) },
        { "model", record.model } };
    if (record.answer) {
        body["status"] = record.answer->status;
        body["answer"] = parsedOrText(record.answer->body);
    }
    if (record.failure)
        body["error"] = boost::json::parse(utils::problemJson(*record.failure));
    return boost::json::serialize(body);
}

/// Checks the body as the chat it will be, so that what can never run is refused now. A draft's answer is
/// kept whole, so it is asked for unstreamed.
utils::result<operations::draft_request> makeDraft(
    const config::document& document, const config::calling_team& team, caller_request& request)
{
    const std::string key(request["Idempotency-Key"]);
    BOOST_LEAF_AUTO(forward, buildForwardRequest(document, team, request));
    boost::json::object body = boost::json::parse(forward.body).as_object();
    operations::draft_request draft;
    draft.model = std::string(body.at("model").as_string());
    body.erase("stream");
    draft.team = team.id;
    draft.teamLimit = team.limits.drafts;
    draft.body = boost::json::serialize(body);
    draft.name = key.empty() ? newRequestId() : operations::draftName(team.id, key);
    return draft;
}

} // namespace

draft_endpoint::draft_endpoint(node_context& context, draft_service& drafts)
    : m_context(context)
    , m_drafts(drafts)
{
}

bool draft_endpoint::concerns(const caller_request& request)
{
    const std::string_view target = request.target();
    if (target.starts_with(draftsPath))
        return true;
    const std::string_view preference = request["Prefer"];
    return target == chatPath && boost::beast::iequals(preference, "respond-async");
}

asio::awaitable<void> draft_endpoint::answer(
    const config::calling_team& team, caller_request request, caller_writer& writer)
{
    const std::string_view target = request.target();
    if (!target.starts_with(draftsPath)) {
        co_await submit(team, std::move(request), writer);
        co_return;
    }
    const bool isCancel = request.method() == http::verb::delete_;
    if (!isCancel && request.method() != http::verb::get) {
        const failure wrong
            = utils::makeFailure(utils::error_kind::MethodNotAllowed, "GET or DELETE is expected");
        co_await writer.failure(wrong);
        co_return;
    }
    std::string id(target.substr(draftsPath.size()));
    co_await poll(team, std::move(id), isCancel, writer);
}

asio::awaitable<void> draft_endpoint::submit(
    const config::calling_team& team, caller_request request, caller_writer& writer)
{
    std::optional<failure> refused;
    operations::draft_request draft
        = utils::valueOr([&] { return makeDraft(*m_context.document, team, request); },
            [&](const failure& f) {
                refused = f;
                return operations::draft_request();
            });
    std::string id;
    if (!refused) {
        draft_service::acceptance accepted = co_await m_drafts.submit(std::move(draft));
        refused = accepted.refusal;
        id = accepted.id;
    }
    if (refused) {
        m_context.metrics.countRefused(refused->kind);
        co_await writer.failure(*refused);
        co_return;
    }
    std::vector<wire::header_line> extra;
    extra.push_back({ "Location", std::string(draftsPath) + id });
    extra.push_back({ "Preference-Applied", "respond-async" });
    std::string body = acceptedJson(id);
    co_await writer.whole(statusAccepted, "application/json", std::move(body), extra);
}

asio::awaitable<void> draft_endpoint::poll(
    const config::calling_team& team, std::string id, bool isCancel, caller_writer& writer)
{
    draft_reply reply;
    if (isCancel)
        reply = co_await m_drafts.cancel(team.id, std::move(id));
    else
        reply = co_await m_drafts.read(team.id, std::move(id));
    if (!reply.record) {
        co_await writer.failure(reply.failure);
        co_return;
    }
    std::string body = recordJson(*reply.record);
    co_await writer.whole(200, "application/json", std::move(body));
}

} // namespace serving
