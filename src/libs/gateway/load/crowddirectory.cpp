#include "crowddirectory.h"

#include "gateway/clock.h"
#include "gateway/peers/datagramcodec.h"

#include "utils/hashing.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace gateway {

boost::asio::awaitable<std::optional<crowd_place>> crowd_directory::find(const request_plan& plan)
{
    const auto part = decisions::server_choice::crowdKey(plan.parts);
    if (!plan.isEngine || !part || m_peers.peers().empty())
        co_return std::nullopt;
    const utils::time_point startedAt = now();
    const double share = m_context.crowdShareOf(plan.service);
    const std::string home = homeOf(*part, startedAt);
    if (home == m_peers.ownAddress())
        co_return crowd_place { m_register.place(*part, share, startedAt), true, {} };
    const std::uint32_t number = m_nextQuestion++;
    const auto waiting = std::make_shared<question>(m_context.executor);
    m_questions[number] = waiting;
    crowd_message message;
    message.question = number;
    message.sender = m_peers.ownAddress();
    message.part = *part;
    message.share = static_cast<float>(share);
    m_send(home, detail::encodeMessage(message));
    waiting->timer.expires_after(std::min(maxAnswerTime, plan.route->targetLatency / targetDivisor));
    co_await waiting->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    m_questions.erase(number);
    const utils::time_point endedAt = now();
    if (!waiting->place)
        m_silentHomes[home] = endedAt;
    co_return crowd_place { waiting->place.value_or(0), waiting->place.has_value(), endedAt - startedAt };
}

std::string crowd_directory::homeOf(std::uint64_t part, utils::time_point now) const
{
    const auto rank
        = [part](const std::string& address) { return utils::combineHashes(part, utils::hash64(address)); };
    std::string home = m_peers.ownAddress();
    std::uint64_t highest = rank(home);
    for (const auto& [name, peer] : m_peers.peers()) {
        const std::uint64_t peerRank = rank(peer.address);
        if (peer.isLeaving || peerRank <= highest)
            continue;
        const auto silent = m_silentHomes.find(peer.address);
        if (silent != m_silentHomes.end() && now - silent->second < silentTime)
            continue;
        highest = peerRank;
        home = peer.address;
    }
    return home;
}

void crowd_directory::onMessage(const crowd_message& message, utils::time_point now)
{
    if (message.kind == crowd_message_kind::Answer) {
        const auto found = m_questions.find(message.question);
        if (found == m_questions.end())
            return;
        found->second->place = message.place;
        found->second->timer.cancel();
        return;
    }
    crowd_message answer;
    answer.kind = crowd_message_kind::Answer;
    answer.question = message.question;
    answer.place = m_register.place(message.part, message.share, now);
    m_send(message.sender, detail::encodeMessage(answer));
}

void crowd_directory::tick(utils::time_point now)
{
    m_register.expire(now);
    std::erase_if(m_silentHomes, [now](const auto& entry) { return now - entry.second >= silentTime; });
}

} // namespace gateway
