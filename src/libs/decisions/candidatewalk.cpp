#include "candidatewalk.h"

#include <algorithm>
#include <utility>

namespace decisions {

candidate_walk::candidate_walk(std::vector<utils::server_id> ranking, walk_settings settings)
    : m_ranking(std::move(ranking))
    , m_settings(settings)
{
    if (m_ranking.empty()) {
        m_next = no_candidate {};
        return;
    }
    m_anchor = m_ranking.front();
    m_asked = m_anchor;
    m_next = ask_home { *m_anchor, false, true };
}

walk_step candidate_walk::next() const
{
    return m_next;
}

void candidate_walk::onAnswer(const home_answer& answer)
{
    if (m_isAdmitted || !m_asked)
        return;
    const bool isRedirect = answer.remembered && *answer.remembered != *m_asked;
    if (answer.remembered && !m_remembered)
        m_remembered = answer.remembered;
    if (answer.verdict == admit_verdict::Admitted) {
        m_isAdmitted = true;
        return;
    }
    m_tried.insert(*m_asked);
    const double perSlot = static_cast<double>(answer.load) / std::max(1U, answer.slots);
    const bool canWait = answer.verdict != admit_verdict::NotHolding && !isRedirect;
    if (canWait && (!m_leastLoaded || perSlot < m_leastLoaded->loadPerSlot))
        m_leastLoaded = refusal { *m_asked, perSlot };
    advance();
}

void candidate_walk::advance()
{
    if (m_remembered && !m_tried.contains(*m_remembered)
        && std::ranges::find(m_ranking, *m_remembered) != m_ranking.end()) {
        m_asked = m_remembered;
        m_next = ask_home { *m_asked, true, false };
        return;
    }
    m_asked = m_tried.size() <= m_settings.maxCandidates ? nextRanked() : std::nullopt;
    if (m_asked)
        m_next = ask_home { *m_asked, false, false };
    else if (m_leastLoaded)
        m_next = wait_at { m_leastLoaded->server, m_leastLoaded->server == m_remembered };
    else
        m_next = no_candidate {};
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
