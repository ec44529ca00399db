#include "choiceexplanation.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse_query.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <tuple>
#include <unordered_map>

namespace gateway {

namespace {

namespace json = boost::json;
using utils::error_kind;

constexpr std::string_view eligibleState = "eligible";

std::int64_t millisecondsOf(utils::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

template <class Number> std::optional<Number> numberOf(std::string_view text, int base)
{
    Number value {};
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    const bool isWhole = status == std::errc() && end == text.data() + text.size();
    return isWhole ? std::optional(value) : std::nullopt;
}

constexpr int decimal = 10;
constexpr int hexadecimal = 16;

std::optional<std::vector<decisions::prompt_part>> partsOf(std::string_view list)
{
    std::vector<decisions::prompt_part> parts;
    while (!list.empty()) {
        const std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        const std::size_t colon = item.find(':');
        if (colon == std::string_view::npos || parts.size() >= choice_question::maxParts)
            return std::nullopt;
        const auto id = numberOf<std::uint64_t>(item.substr(0, colon), hexadecimal);
        const auto tokens = numberOf<std::uint32_t>(item.substr(colon + 1), decimal);
        if (!id || !tokens)
            return std::nullopt;
        parts.push_back({ *id, *tokens });
    }
    return parts;
}

/// A key of the workspace; nothing if the configuration has no such workspace, or no key of it.
std::optional<std::string> keyOf(const catalogue::configuration& configuration, const std::string& workspace)
{
    for (const auto& [key, index] : configuration.workspaceIndexByKey) {
        if (configuration.workspaces[index].name == workspace)
            return key;
    }
    return std::nullopt;
}

/// Why a server may not get the request now.
std::string stateOf(node_context& context, const request_plan& plan, const catalogue::backend_server& server,
    const choice_trace& trace, utils::time_point now)
{
    if (trace.silent.contains(server.id))
        return "silent";
    if (!isAllowedIn(plan, context.options, server.dataCentre))
        return "region_not_allowed";
    if (context.servers.isEvacuated(server.dataCentre))
        return "data_centre_evacuated";
    if (context.servers.isDraining(server.id))
        return "draining";
    if (!context.servers.isUsable(server.id))
        return "not_usable";
    if (context.isResting(server, now))
        return "resting";
    if (!maySendTo(context, plan, server, std::nullopt, now))
        return context.isCold(server.id, plan.coldStart, now) ? "cold" : "no_room_for_rejections";
    if (context.health.weight(plan.service, server.id, now) <= 0)
        return "ejected";
    return std::string(eligibleState);
}

std::vector<explained_server> describeServers(
    node_context& context, const request_plan& plan, const choice_trace& trace, utils::time_point now)
{
    std::unordered_map<utils::server_id, const decisions::candidate_cost*> costs;
    for (const decisions::candidate_cost& cost : trace.costs)
        costs.emplace(cost.candidate.id, &cost);
    std::vector<explained_server> servers;
    for (const catalogue::backend_server* server : context.servers.present(plan.service)) {
        explained_server entry;
        entry.id = server->id.str();
        entry.dataCentre = server->dataCentre;
        entry.slots = server->slots;
        entry.software = server->softwareVersion;
        entry.state = stateOf(context, plan, *server, trace, now);
        entry.weight = context.health.weight(plan.service, server->id, now);
        entry.load = context.loads.total(server->id, now);
        entry.slowdown = context.pace.slowdown(server->id, now);
        entry.paceAge = context.pace.age(server->id, now);
        entry.recentFailures = context.failures.countAt(server->id, now);
        const auto cost = costs.find(server->id);
        if (cost != costs.end()) {
            entry.cost = cost->second->cost;
            entry.heldTokens = cost->second->heldTokens;
            entry.isInBound = cost->second->isInBound;
        } else if (entry.state == eligibleState) {
            entry.state = "others_preferred";
        }
        servers.push_back(std::move(entry));
    }
    return servers;
}

void sortServers(std::vector<explained_server>& servers)
{
    const auto rank = [](const explained_server& server) {
        return std::tuple(!server.isChosen, !server.cost, !server.isInBound, server.cost.value_or(0));
    };
    std::ranges::stable_sort(servers, {}, rank);
}

void decideEnd(choice_explanation& explanation, const std::optional<decisions::placement>& chosen,
    std::optional<utils::time_point> restEnd, utils::time_point now)
{
    if (!chosen) {
        explanation.end = utils::answerFor(restEnd ? error_kind::QueueFull : error_kind::NoServer).name;
        if (restEnd)
            explanation.retryAfter = *restEnd - now;
        return;
    }
    const overload_forecast& forecast = *explanation.overload;
    const bool isAdmitted = decisions::overload_control::isAdmitted(forecast.admission, forecast.query.hash);
    if (isAdmitted && !forecast.mustWaitTooLong) {
        explanation.end = "sent";
        return;
    }
    const bool isInTime
        = !isAdmitted || forecast.query.expectedAnswer + forecast.query.loopDelay < forecast.query.timeLeft;
    explanation.end
        = utils::answerFor(isInTime ? error_kind::QueueFull : error_kind::DeadlineUnreachable).name;
}

json::object toObject(const explained_server& server)
{
    json::object object { { "id", server.id }, { "data_centre", server.dataCentre },
        { "chosen", server.isChosen }, { "state", server.state }, { "slots", server.slots },
        { "requests", server.load.requests }, { "requests_of_peers", server.load.peerRequests },
        { "load_age_ms", millisecondsOf(server.load.age) }, { "waiting_tokens", server.load.promptTokens },
        { "held_tokens", server.heldTokens }, { "weight", server.weight },
        { "recent_failures", server.recentFailures }, { "slowdown", server.slowdown },
        { "in_bound", server.isInBound }, { "software", server.software } };
    object["pace_age_ms"] = server.paceAge ? json::value(millisecondsOf(*server.paceAge)) : json::value();
    object["cost"] = server.cost ? json::value(*server.cost) : json::value();
    return object;
}

template <class... Values> std::string formatted(const char* format, Values... values)
{
    std::array<char, 512> buffer {};
    const int length = std::snprintf(buffer.data(), buffer.size(), format, values...);
    return { buffer.data(), std::min(buffer.size() - 1, static_cast<std::size_t>(std::max(0, length))) };
}

} // namespace

utils::result<choice_question> parseQuestion(std::string_view query)
{
    if (query.size() > choice_question::maxLength)
        return utils::fail(error_kind::InvalidDocument, "the question is too long");
    const auto parameters = boost::urls::parse_query(query);
    if (!parameters)
        return utils::fail(error_kind::InvalidDocument, "the question is not the query of a URL");
    choice_question question;
    for (const auto& parameter : *parameters) {
        const std::string name = parameter.key.decode();
        const std::string value = parameter.value.decode();
        if (name == "host")
            question.host = value;
        else if (name == "path")
            question.path = value;
        else if (name == "workspace")
            question.workspace = value;
        else if (name == "request")
            question.requestId = value;
        else if (name == "prompt") {
            const auto parts = partsOf(value);
            if (!parts)
                return utils::fail(error_kind::InvalidDocument, "'prompt' is no list of ID:TOKENS");
            question.prompt = *parts;
        } else if (name == "hint") {
            question.outputHint = numberOf<std::uint32_t>(value, decimal);
            if (!question.outputHint)
                return utils::fail(error_kind::InvalidDocument, "'hint' is no number of tokens");
        } else if (name != "format") {
            return utils::fail(error_kind::InvalidDocument, "unknown field '" + name + "'");
        }
    }
    if (question.host.empty() || !question.path.starts_with('/'))
        return utils::fail(error_kind::InvalidDocument, "'host' or 'path' is missing");
    return question;
}

utils::result<choice_explanation> explainChoice(
    node_context& context, const choice_question& question, utils::time_point now)
{
    client_request request;
    request.method = "POST";
    request.host = question.host;
    request.target = question.path;
    request.requestId = question.requestId;
    request.prompt = question.prompt;
    request.outputHint = question.outputHint;
    for (const decisions::prompt_part& part : question.prompt)
        request.promptTokens += part.tokens;
    request.arrivedAt = now;
    if (!question.workspace.empty() && context.configuration) {
        const auto key = keyOf(*context.configuration, question.workspace);
        if (!key)
            return utils::fail(error_kind::UnknownTeam, "the configuration has no such workspace");
        request.key = *key;
    }
    BOOST_LEAF_AUTO(plan, planRequest(context, request, now));

    choice_explanation explanation;
    explanation.configurationVersion = plan.configuration->version;
    explanation.configurationAge = now - context.evidenceAt;
    explanation.route = plan.route->name;
    explanation.service = plan.service;
    explanation.urgency = plan.urgency;
    explanation.maxAttempts = plan.route->maxAttempts;
    explanation.mayRepeat = plan.route->mayRepeat();
    explanation.retriesLeft = context.repeatsOf(plan.service).left(now);

    choice_trace trace;
    const std::set<utils::server_id> tried;
    const std::uint64_t salt = context.nextRequestNumber * 31;
    const auto finding = context.crashingParts.check(plan.suspects, now);
    const bool isSuspect = finding.verdict == decisions::part_verdict::Suspect;
    choice_constraints constraints { tried, std::nullopt, salt, std::nullopt, 0, &trace };
    if (isSuspect)
        constraints.suspectPart = finding.part;
    const auto chosen = chooseServer(context, plan, constraints, now);
    if (chosen)
        explanation.overload = forecastOverload(context, request, plan, *chosen, now);
    explanation.servers = describeServers(context, plan, trace, now);
    for (explained_server& server : explanation.servers)
        server.isChosen = chosen && server.id == chosen->server.str();
    sortServers(explanation.servers);
    if (finding.verdict != decisions::part_verdict::Sound && !isSuspect)
        explanation.end = utils::answerFor(error_kind::RequestCrashesServers).name;
    else
        decideEnd(explanation, chosen, earliestRestEnd(context, plan, std::nullopt, now), now);
    return explanation;
}

std::string toText(const choice_explanation& explanation)
{
    std::string text = formatted("configuration %llu, known to be the newest %lld ms ago\n",
        static_cast<unsigned long long>(explanation.configurationVersion),
        static_cast<long long>(millisecondsOf(explanation.configurationAge)));
    text += "route " + explanation.route + ", service " + explanation.service + ", urgency "
        + std::to_string(explanation.urgency) + '\n';
    text += "end " + explanation.end;
    if (explanation.retryAfter)
        text += ", retry after " + std::to_string(millisecondsOf(*explanation.retryAfter)) + " ms";
    text += formatted("\nretries: %s, at most %u attempts, %.0f left in this node's budget\n",
        explanation.mayRepeat ? "allowed" : "only if provably not run", explanation.maxAttempts,
        explanation.retriesLeft);
    if (explanation.overload) {
        const overload_forecast& forecast = *explanation.overload;
        text += formatted("room: %.1f of %.1f slots offered work, %.0f %% of such requests admitted (%s)\n",
            forecast.admission.offered, forecast.admission.capacity, 100 * forecast.admission.share,
            std::string(decisions::toString(forecast.admission.bound)).c_str());
        text += formatted("work %.0f ms of a slot, waits %lld ms for one, limit %lld ms\n",
            1000 * forecast.work, static_cast<long long>(millisecondsOf(forecast.query.slotWait)),
            static_cast<long long>(millisecondsOf(forecast.limit)));
    }
    for (const explained_server& server : explanation.servers) {
        text += formatted(
            "%c %s in %s: %s, %u of %u slots (known %lld ms ago), holds %u tokens, slowdown %.2f",
            server.isChosen ? '*' : ' ', server.id.c_str(), server.dataCentre.c_str(), server.state.c_str(),
            server.load.requests, server.slots, static_cast<long long>(millisecondsOf(server.load.age)),
            server.heldTokens, server.slowdown);
        if (server.cost)
            text += formatted(", cost %.4f", *server.cost);
        text += server.isInBound ? "\n" : ", above the bound on its load\n";
    }
    return text;
}

std::string toJson(const choice_explanation& explanation)
{
    json::array servers;
    for (const explained_server& server : explanation.servers)
        servers.push_back(toObject(server));
    json::object object { { "configuration", explanation.configurationVersion },
        { "configuration_age_ms", millisecondsOf(explanation.configurationAge) },
        { "route", explanation.route }, { "service", explanation.service },
        { "urgency", explanation.urgency }, { "end", explanation.end },
        { "max_attempts", explanation.maxAttempts }, { "may_repeat", explanation.mayRepeat },
        { "retries_left", explanation.retriesLeft } };
    if (explanation.retryAfter)
        object["retry_after_ms"] = millisecondsOf(*explanation.retryAfter);
    if (explanation.overload) {
        const overload_forecast& forecast = *explanation.overload;
        object["room"] = json::object { { "offered_slots", forecast.admission.offered },
            { "capacity_slots", forecast.admission.capacity }, { "admitted_share", forecast.admission.share },
            { "bound", decisions::toString(forecast.admission.bound) }, { "work_ms", 1000 * forecast.work },
            { "slot_wait_ms", millisecondsOf(forecast.query.slotWait) },
            { "limit_ms", millisecondsOf(forecast.limit) } };
    }
    object["servers"] = std::move(servers);
    return json::serialize(object) + '\n';
}

} // namespace gateway
