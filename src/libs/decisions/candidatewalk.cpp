#include "candidatewalk.h"

#include <algorithm>
#include <utility>

namespace decisions {

candidate_walk::candidate_walk(std::vector<utils::server_id> ranking,
    std::optional<utils::server_id> formerAnchor, walk_settings settings)
    : m_ranking(std::move(ranking))
    , m_settings(settings)
    , m_formerAnchor(std::move(formerAnchor))
{
    if (m_ranking.empty()) {
        m_next = no_candidate {};
        return;
    }
    m_anchor = m_ranking.front();
    if (m_formerAnchor == m_anchor)
        m_formerAnchor.reset();
    m_asked = m_anchor;
    m_next = ask_home { *m_anchor, false, 0, true, m_formerAnchor.has_value() };
}

walk_step candidate_walk::next() const
{
    return m_next;
}

void candidate_walk::onAnswer(const home_answer& answer)
{
    if (m_isAdmitted || !m_asked)
        return;
    ++m_asks;
    if (answer.remembered && !m_remembered)
        m_remembered = answer.remembered;
    if (answer.verdict == admit_verdict::Admitted) {
        m_isAdmitted = true;
        return;
    }
    const auto* asked = std::get_if<ask_home>(&m_next);
    const bool isLookup = std::holds_alternative<ask_former_anchor>(m_next)
        || (asked && asked->onlyIfRemembered && !answer.remembered);
    const bool isRedirect = answer.remembered && answer.remembered->server != *m_asked;
    if (!isLookup && !isRedirect)
        recordRefusal(answer);
    advance();
}

void candidate_walk::recordRefusal(const home_answer& answer)
{
    m_tried.insert(*m_asked);
    if (answer.verdict == admit_verdict::NotHolding)
        return;
    const double perSlot = answer.load / std::max(1.0, answer.slots);
    if (!m_leastLoaded || perSlot < m_leastLoaded->loadPerSlot)
        m_leastLoaded = refusal { *m_asked, perSlot };
}

void candidate_walk::advance()
{
    if (m_remembered && !m_tried.contains(m_remembered->server) && isRanked(m_remembered->server)) {
        m_asked = m_remembered->server;
        m_next = ask_home { *m_asked, true, m_remembered->prefixTokens };
        return;
    }
    if (m_formerAnchor && !m_remembered) {
        m_asked = std::exchange(m_formerAnchor, std::nullopt);
        m_next = ask_former_anchor { *m_asked };
        return;
    }
    m_asked = m_tried.size() <= m_settings.maxCandidates ? nextRanked() : std::nullopt;
    if (m_asked) {
        m_next = ask_home { *m_asked };
        return;
    }
    if (!m_leastLoaded) {
        m_next = no_candidate {};
        return;
    }
    m_asked = m_leastLoaded->server;
    m_next = queue_at { *m_asked, m_remembered && m_remembered->server == *m_asked };
}

bool candidate_walk::isRanked(const utils::server_id& server) const
{
    return std::ranges::find(m_ranking, server) != m_ranking.end();
}

std::optional<utils::server_id> candidate_walk::nextRanked() const
{
    for (const auto& server : m_ranking) {
        if (!m_tried.contains(server))
            return server;
    }
    return std::nullopt;
}

} // namespace decisions
