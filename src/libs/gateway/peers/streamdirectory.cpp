#include "streamdirectory.h"

#include "gateway/clock.h"

#include "decisions/followrule.h"

#include "utils/hashing.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace gateway {

stream_directory::stream_directory(node_context& context, const peer_table& peers)
    : m_context(context)
    , m_peers(peers)
{
}

decisions::stream_key stream_directory::keyOf(const request_plan& plan, std::string_view requestId)
{
    return decisions::streamKey(requestId, plan.workspace, plan.service);
}

void stream_directory::forwarded(
    const request_plan& plan, const client_request& request, decisions::version_key version)
{
    const std::string& began = request.lastEventId ? request.resumedRequest : request.requestId;
    if (began.empty())
        return;
    const decisions::stream_origin origin { keyOf(plan, began), version };
    m_origins.record(origin, true, now());
    if (!m_context.versions.mayHaveSeveral(plan.service, now()))
        return;
    report({ origin }, [](const std::string&) { return true; });
    if (plan.route->isResumable)
        deposit({ origin });
}

boost::asio::awaitable<decisions::found_origin> stream_directory::find(
    const request_plan& plan, const client_request& request)
{
    const utils::time_point startedAt = now();
    decisions::origin_query query { keyOf(plan, request.resumedRequest), !request.resumedRequest.empty(),
        plan.service, isViewCurrent(), m_peers.knownNodes() == 1 };
    if (const auto known = decisions::findHere(m_origins, m_context.versions, query, startedAt))
        co_return *known;
    const decisions::origin_answers answers = co_await ask(query.stream);
    query.isViewCurrent = isViewCurrent();
    decisions::found_origin found = decisions::findByAnswers(m_context.versions, query, answers, now());
    found.took = now() - startedAt;
    if (found.source == decisions::origin_source::Peer)
        m_origins.record({ query.stream, found.version }, false, now());
    co_return found;
}

bool stream_directory::isViewCurrent() const
{
    const utils::time_point present = now();
    return !m_standstill.isRecent(present) && m_context.viewLag.age(present) <= currentViewAge
        && m_context.viewLag.behindFor(present) == utils::duration::zero();
}

std::vector<std::string> stream_directory::peersFor(decisions::stream_key stream, std::size_t limit) const
{
    std::vector<decisions::holder_candidate> candidates;
    for (const auto& [name, peer] : m_peers.peers()) {
        if (!peer.isLeaving)
            candidates.push_back({ peer.address, peer.dataCentre });
    }
    std::vector<std::string> addresses;
    for (const std::size_t index : decisions::rankHolders(stream, candidates, limit))
        addresses.emplace_back(candidates[index].address);
    return addresses;
}

boost::asio::awaitable<decisions::origin_answers> stream_directory::ask(decisions::stream_key stream)
{
    const std::vector<std::string> addresses = peersFor(stream, decisions::askedHolders);
    if (addresses.empty())
        co_return decisions::origin_answers();
    const std::uint64_t number = m_nextQuestion++;
    const auto waiting = std::make_shared<question>(m_context.executor);
    waiting->asked = addresses.size();
    m_questions[number] = waiting;
    stream_message message;
    message.kind = stream_message_kind::Question;
    message.question = number;
    message.origins.push_back({ { stream, 0 } });
    for (const std::string& address : addresses)
        send(address, message);
    waiting->timer.expires_after(questionTimeout);
    co_await waiting->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    m_questions.erase(number);
    co_return waiting->answers;
}

void stream_directory::onMessage(const stream_message& message)
{
    switch (message.kind) {
    case stream_message_kind::Report:
        for (const reported_origin& reported : message.origins)
            m_origins.record(reported.origin, false, now());
        break;
    case stream_message_kind::Deposit: {
        std::vector<decisions::stream_origin> origins;
        for (const reported_origin& reported : message.origins)
            origins.push_back(reported.origin);
        m_deposit(origins);
        break;
    }
    case stream_message_kind::Question:
        answer(message);
        break;
    case stream_message_kind::Answer:
        takeAnswer(message);
        break;
    case stream_message_kind::Count_:
        break;
    }
}

void stream_directory::answer(const stream_message& asked)
{
    if (asked.origins.empty())
        return;
    stream_message message;
    message.kind = stream_message_kind::Answer;
    message.question = asked.question;
    const decisions::stream_key stream = asked.origins.front().origin.stream;
    const auto known = m_origins.find(stream, now());
    message.origins.push_back({ { stream, known ? known->version : 0 } });
    send(asked.sender, std::move(message));
}

void stream_directory::takeAnswer(const stream_message& message)
{
    const auto found = m_questions.find(message.question);
    if (found == m_questions.end() || message.origins.empty())
        return;
    question& waiting = *found->second;
    waiting.answers.add(message.origins.front().origin.version, message.recordRevision);
    if (waiting.answers.version() != 0 || waiting.answers.count() >= waiting.asked)
        waiting.timer.cancel();
}

void stream_directory::onPeerStart(const std::string& address)
{
    if (!m_severalVersions.empty()) {
        report(m_origins.ownSince(reportedAge, now()),
            [&](const std::string& holder) { return holder == address; });
    }
}

void stream_directory::takeStored(const std::vector<decisions::stream_origin>& origins)
{
    for (const decisions::stream_origin& origin : origins)
        m_origins.record(origin, false, now());
}

void stream_directory::tick(bool followsStore, utils::time_point now)
{
    m_followsStore = followsStore;
    m_standstill.tick(now);
    m_origins.expire(now);
    if (!m_context.configuration)
        return;
    bool isNew = false;
    for (const auto& [name, service] : m_context.configuration->services) {
        if (!m_context.versions.mayHaveSeveral(name, now))
            m_severalVersions.erase(name);
        else
            isNew = m_severalVersions.insert(name).second || isNew;
    }
    if (!isNew)
        return;
    // Streams that began while there was a single version were not reported.
    const std::vector<decisions::stream_origin> origins = m_origins.ownSince(reportedAge, now);
    report(origins, [](const std::string&) { return true; });
    deposit(origins);
}

void stream_directory::report(const std::vector<decisions::stream_origin>& origins,
    const std::function<bool(const std::string&)>& isWanted)
{
    std::map<std::string, std::vector<decisions::stream_origin>> byHolder;
    for (const decisions::stream_origin& origin : origins) {
        for (const std::string& address : peersFor(origin.stream, decisions::originHolders)) {
            if (isWanted(address))
                byHolder[address].push_back(origin);
        }
    }
    for (const auto& [address, reported] : byHolder)
        sendOrigins(address, stream_message_kind::Report, reported);
}

void stream_directory::deposit(const std::vector<decisions::stream_origin>& origins)
{
    const std::string address = depositary(now());
    if (address == m_peers.ownAddress())
        m_deposit(origins);
    else if (!address.empty())
        sendOrigins(address, stream_message_kind::Deposit, origins);
}

std::string stream_directory::depositary(utils::time_point now) const
{
    std::vector<std::string> candidates;
    if (m_followsStore)
        candidates.push_back(m_peers.ownAddress());
    for (const auto& [name, peer] : m_peers.peers()) {
        if (peer.followsStore && !peer.isLeaving && now - peer.heardAt <= decisions::followerTimeout)
            candidates.push_back(peer.address);
    }
    const auto first = std::ranges::min_element(
        candidates, {}, [](const std::string& address) { return utils::hash64(address); });
    return first == candidates.end() ? std::string() : *first;
}

void stream_directory::sendOrigins(const std::string& address, stream_message_kind kind,
    const std::vector<decisions::stream_origin>& origins) const
{
    for (std::size_t at = 0; at < origins.size(); at += stream_message::maxOrigins) {
        const std::size_t end = std::min(origins.size(), at + stream_message::maxOrigins);
        stream_message message;
        message.kind = kind;
        for (std::size_t i = at; i < end; ++i)
            message.origins.push_back({ origins[i] });
        send(address, std::move(message));
    }
}

void stream_directory::send(const std::string& address, stream_message message) const
{
    message.sender = m_peers.ownAddress();
    message.recordRevision = m_context.versions.recordRevision();
    m_send(address, encodeStreamMessage(message));
}

} // namespace gateway
