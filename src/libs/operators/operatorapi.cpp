#include "operatorapi.h"

#include "operatorjson.h"

#include "config/changeplanner.h"
#include "config/documentparser.h"
#include "config/documentwriter.h"
#include "config/textdiff.h"
#include "utils/crypto.h"
#include "utils/eventlog.h"

#include <boost/json.hpp>
#include <boost/url.hpp>

#include <algorithm>
#include <charconv>

namespace operators {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

constexpr std::size_t changeIdBytes = 16;
constexpr const char* defaultFile = "document.yaml";

operator_reply replyWith(const json::object& body)
{
    return { 200, "application/json", json::serialize(body) };
}

operator_reply problemReply(const utils::failure& failure, const json::object& body)
{
    const unsigned status = static_cast<unsigned>(utils::answerFor(failure.kind).httpStatus);
    return { status, "application/problem+json", json::serialize(body) };
}

operator_reply refuse(utils::error_kind kind, std::string detail)
{
    const utils::failure failure { kind, std::move(detail), {}, {} };
    return problemReply(failure, toProblem(failure));
}

void logOutcome(const std::string& changeId, const config::change_outcome& outcome)
{
    const std::string kind(utils::answerFor(outcome.failure.kind).name);
    switch (outcome.verdict) {
    case config::change_verdict::Accepted:
        utils::logEvent(utils::event::ChangeAccepted,
            { { "change", changeId }, { "revision", std::to_string(outcome.revision) },
                { "section", outcome.sections.empty() ? "" : outcome.sections.front() },
                { "count", std::to_string(outcome.sections.size()) } });
        return;
    case config::change_verdict::Refused:
        utils::logEvent(utils::event::ChangeRefused, { { "change", changeId }, { "kind", kind } });
        return;
    case config::change_verdict::Unknown:
        utils::logEvent(utils::event::ChangeUnknown, { { "change", changeId } });
        return;
    case config::change_verdict::Unchanged:
        return;
    }
}

operator_reply refuseDocument(std::vector<config::problem> problems)
{
    config::change_outcome outcome;
    outcome.failure = { utils::error_kind::InvalidDocument,
        std::to_string(problems.size()) + (problems.size() == 1 ? " problem" : " problems"), {}, {} };
    outcome.problems = std::move(problems);
    return problemReply(outcome.failure, toProblem(outcome));
}

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> items;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        if (end > start)
            items.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return items;
}

/// Copy of the document with only the sections in `names`; the whole document if `names` is empty.
config::document selectSections(const config::document& whole, const std::vector<std::string>& names)
{
    if (names.empty())
        return whole;
    config::document picked;
    picked.revision = whole.revision;
    const auto isNamed
        = [&](const std::string& name) { return std::ranges::find(names, name) != names.end(); };
    for (const auto& [name, entry] : whole.operators) {
        if (isNamed("operators/" + name))
            picked.operators.emplace(name, entry);
    }
    for (const auto& [id, team] : whole.teams) {
        if (isNamed("teams/" + id.str()))
            picked.teams.emplace(id, team);
    }
    for (const auto& [id, pool] : whole.pools) {
        if (isNamed("pools/" + id.str()))
            picked.pools.emplace(id, pool);
    }
    return picked;
}

} // namespace

std::string operator_api::call::text(const std::string& name) const
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

operator_api::operator_api(
    keyvalue::config_access& configuration, node_view& view, operator_api_settings settings)
    : m_configuration(&configuration)
    , m_view(&view)
    , m_settings(std::move(settings))
{
}

const std::vector<operator_api::route>& operator_api::routes()
{
    static const std::vector<route> routes {
        { "POST", "/v1/check", &operator_api::check },
        { "POST", "/v1/apply", &operator_api::apply },
        { "GET", "/v1/config", &operator_api::get },
        { "POST", "/v1/diff", &operator_api::diff },
        { "GET", "/v1/history", &operator_api::history },
        { "POST", "/v1/approve", &operator_api::approve },
        { "POST", "/v1/revoke", &operator_api::revoke },
        { "POST", "/v1/drain", &operator_api::drain },
        { "GET", "/v1/status", &operator_api::status },
        { "GET", "/v1/explain", &operator_api::explain },
        { "GET", "/v1/drafts", &operator_api::drafts },
    };
    return routes;
}

asio::awaitable<operator_reply> operator_api::handle(operator_request request, std::int64_t wallSeconds)
{
    const auto url = boost::urls::parse_origin_form(request.target);
    if (!url)
        co_return refuse(utils::error_kind::MalformedRequest, "the target is not a path");
    const std::string path = url->path();
    const auto found = std::ranges::find(routes(), path, &route::path);
    if (found == routes().end())
        co_return refuse(utils::error_kind::UnknownRoute, path);
    if (found->method != request.method)
        co_return refuse(utils::error_kind::MethodNotAllowed, path + " takes " + found->method);
    // A node that has just started knows no operators yet, so it reads the configuration before it refuses a
    // key. Later it does not: an attacker who tries keys would use up the platform service's call quota.
    if (m_configuration->cached()->head.revision == 0 && !isOperator(request.key))
        co_await m_configuration->read();
    if (!isOperator(request.key)) {
        utils::logEvent(utils::event::OperatorRejected, { { "path", path } });
        co_return refuse(utils::error_kind::OperatorUnknown, "");
    }
    call c;
    for (const auto& parameter : url->params())
        c.query.emplace(parameter.key, parameter.value);
    c.request = std::move(request);
    c.wallSeconds = wallSeconds;
    co_return co_await (this->*found->run)(std::move(c));
}

bool operator_api::isOperator(const std::string& key) const
{
    const std::string hash = utils::sha256Hex(key);
    return config::findOperator(*m_configuration->cached()->whole, hash, m_settings.firstKeyHash).has_value();
}

config::change_request operator_api::changeOf(const call& c) const
{
    config::change_request request;
    request.id = c.text("change");
    if (request.id.empty()) {
        const std::string bytes = utils::randomBytes(changeIdBytes);
        request.id = utils::toHex({ reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size() });
    }
    request.keyHash = utils::sha256Hex(c.request.key);
    request.firstKeyHash = m_settings.firstKeyHash;
    request.wallSeconds = c.wallSeconds;
    request.overwrites = !c.text("overwrite").empty();
    return request;
}

asio::awaitable<config::change_outcome> operator_api::change(config::change_request request)
{
    const std::string id = request.id;
    config::change_outcome outcome = co_await m_configuration->change(std::move(request));
    logOutcome(id, outcome);
    co_return outcome;
}

asio::awaitable<operator_reply> operator_api::check(call c)
{
    const keyvalue::snapshot_reply present = co_await m_configuration->read();
    const config::snapshot_pointer base = present.snapshot ? present.snapshot : m_configuration->cached();
    const std::string file = c.query.contains("file") ? c.text("file") : defaultFile;
    config::parsed_document parsed = config::parseDocumentOver(c.request.body, file, *base->whole);
    if (!parsed.problems.empty())
        co_return refuseDocument(std::move(parsed.problems));
    co_return replyWith({ { "problems", json::array() }, { "checked_on", base->head.revision } });
}

asio::awaitable<operator_reply> operator_api::apply(call c)
{
    const std::string file = c.query.contains("file") ? c.text("file") : defaultFile;
    config::parsed_document parsed = config::parsePartialDocument(c.request.body, file);
    if (!parsed.problems.empty())
        co_return refuseDocument(std::move(parsed.problems));
    config::change_request request = changeOf(c);
    request.baseRevision = parsed.value.revision;
    const std::string base = c.text("base");
    std::from_chars(base.data(), base.data() + base.size(), request.baseRevision);
    for (const auto& [name, text] : config::toSections(parsed.value))
        request.edits.emplace_back(config::put_section { name, text });
    for (const std::string& name : splitList(c.text("delete")))
        request.edits.emplace_back(config::delete_section { name });
    config::change_outcome outcome = co_await change(std::move(request));
    if (outcome.failure.kind == utils::error_kind::InvalidDocument && !outcome.problems.empty()) {
        // The change planner reports problems by section only; parsing the file again adds the lines.
        auto placed = config::parseDocumentOver(c.request.body, file, *m_configuration->cached()->whole);
        if (!placed.problems.empty())
            outcome.problems = std::move(placed.problems);
    }
    co_return co_await replyToChange(std::move(outcome));
}

asio::awaitable<operator_reply> operator_api::get(call c)
{
    const keyvalue::snapshot_reply present = co_await m_configuration->read();
    const config::snapshot_pointer found = present.snapshot ? present.snapshot : m_configuration->cached();
    const config::document picked = selectSections(*found->whole, splitList(c.text("section")));
    json::object body { { "revision", found->head.revision }, { "yaml", config::toYaml(picked) } };
    if (!present.snapshot)
        body["warning"] = "the platform's service is down; this is what the node last read: " + present.error;
    co_return replyWith(body);
}

asio::awaitable<operator_reply> operator_api::diff(call c)
{
    config::parsed_document parsed = config::parsePartialDocument(c.request.body, defaultFile);
    if (!parsed.problems.empty())
        co_return refuseDocument(std::move(parsed.problems));
    const keyvalue::snapshot_reply present = co_await m_configuration->read();
    const config::snapshot_pointer base = present.snapshot ? present.snapshot : m_configuration->cached();
    json::array sections;
    for (const auto& [name, text] : config::toSections(parsed.value)) {
        const auto found = base->texts.find(name);
        const std::string changes = config::diffLines(found == base->texts.end() ? "" : found->second, text);
        if (!changes.empty())
            sections.push_back(json::object { { "section", name }, { "diff", changes } });
    }
    co_return replyWith({ { "revision", base->head.revision }, { "sections", std::move(sections) } });
}

asio::awaitable<operator_reply> operator_api::history(call)
{
    const keyvalue::snapshot_reply present = co_await m_configuration->read();
    const config::snapshot_pointer found = present.snapshot ? present.snapshot : m_configuration->cached();
    json::array changes;
    for (auto record = found->head.history.rbegin(); record != found->head.history.rend(); ++record)
        changes.push_back(toJson(*record));
    co_return replyWith({ { "revision", found->head.revision }, { "changes", std::move(changes) } });
}

asio::awaitable<operator_reply> operator_api::approve(call c)
{
    return approval(std::move(c), true);
}

asio::awaitable<operator_reply> operator_api::revoke(call c)
{
    return approval(std::move(c), false);
}

asio::awaitable<operator_reply> operator_api::approval(call c, bool isApproved)
{
    config::change_request request = changeOf(c);
    request.edits.emplace_back(
        config::set_approval { utils::pool_id(c.text("pool")), utils::team_id(c.text("team")), isApproved });
    config::change_outcome outcome = co_await change(std::move(request));
    co_return co_await replyToChange(std::move(outcome));
}

asio::awaitable<operator_reply> operator_api::drain(call c)
{
    config::change_request request = changeOf(c);
    const bool isLeaving = c.text("undo").empty();
    request.edits.emplace_back(config::set_leaving { utils::server_id(c.text("server")), isLeaving });
    config::change_outcome outcome = co_await change(std::move(request));
    co_return co_await replyToChange(std::move(outcome));
}

/// Replies to a change. For a successful one it first waits up to the spread limit, and reports how many of
/// the region's VMs have the change in force.
asio::awaitable<operator_reply> operator_api::replyToChange(config::change_outcome outcome)
{
    const bool isSuccessful = outcome.verdict == config::change_verdict::Accepted
        || outcome.verdict == config::change_verdict::Unchanged;
    if (!isSuccessful)
        co_return problemReply(outcome.failure, toProblem(outcome));
    const spread_status spread = co_await m_view->waitInForce(outcome.revision, m_settings.spreadLimit);
    json::array sections;
    for (const std::string& name : outcome.sections)
        sections.emplace_back(name);
    const bool isAccepted = outcome.verdict == config::change_verdict::Accepted;
    co_return replyWith(
        { { "outcome", isAccepted ? "accepted" : "unchanged" }, { "revision", outcome.revision },
            { "sections", std::move(sections) }, { "in_force", toJson(spread) } });
}

asio::awaitable<operator_reply> operator_api::status(call)
{
    co_return replyWith(toJson(m_view->status()));
}

asio::awaitable<operator_reply> operator_api::explain(call c)
{
    const explain_query query { utils::team_id(c.text("team")), c.text("model"), c.text("chat") };
    if (query.team.isEmpty() || query.model.empty())
        co_return refuse(utils::error_kind::MalformedRequest, "expected team and model");
    json::array steps;
    const std::vector<explain_step> found = co_await m_view->explain(query);
    for (const explain_step& step : found)
        steps.push_back(json::object { { "step", step.step }, { "finding", step.finding } });
    co_return replyWith({ { "steps", std::move(steps) } });
}

asio::awaitable<operator_reply> operator_api::drafts(call c)
{
    json::array drafts;
    const std::vector<draft_status> found = co_await m_view->drafts(utils::team_id(c.text("team")));
    for (const draft_status& draft : found)
        drafts.push_back(toJson(draft));
    co_return replyWith({ { "drafts", std::move(drafts) } });
}

} // namespace operators
