#pragma once

#include "decisions/quotalender.h"
#include "decisions/teamlimiter.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Simulates one team's limit over several nodes in virtual time: the borrowers, the lender on the first
/// node, and a network that delays, reorders, loses and cuts messages by direction.
class limiter_simulation {
public:
    struct settings {
        std::size_t nodes = 7;
        decisions::fleet_limit limit;
        double loss = 0;
        utils::duration minDelay = std::chrono::milliseconds(3);
        utils::duration maxDelay = std::chrono::milliseconds(5);
        unsigned seed = 1;
        bool isFirstHome = true;
        decisions::lender_limits lender {};
        decisions::team_limiter_limits limiter {};
    };

    explicit limiter_simulation(const settings& chosen)
        : m_settings(chosen)
        , m_lender(chosen.lender)
        , m_random(chosen.seed)
    {
        for (std::size_t i = 0; i < chosen.nodes; ++i)
            m_members.emplace_back("node" + std::to_string(i));
        for (const utils::node_id& node : m_members) {
            m_limiters.emplace_back(node, chosen.limiter);
            m_limiters.back().setLimit(team, chosen.limit);
            m_limiters.back().setMembers(m_members);
        }
        m_cutToHome.assign(chosen.nodes, false);
        m_cutFromHome.assign(chosen.nodes, false);
        m_lender.setMembers(m_members, {});
        m_lender.setLimit(team, chosen.limit, now());
        m_lender.becomeHome(team, now(), chosen.isFirstHome);
    }

    utils::time_point now() const { return m_now; }
    decisions::team_limiter& limiter(std::size_t node) { return m_limiters.at(node); }
    decisions::quota_lender& lender() { return m_lender; }
    const std::vector<utils::node_id>& members() const { return m_members; }
    void cut(std::size_t node, bool toHome, bool fromHome)
    {
        m_cutToHome.at(node) = toHome;
        m_cutFromHome.at(node) = fromHome;
    }

    /// Sends one request to the node; it runs for `length` once admitted. Returns the first verdict.
    decisions::limit_verdict send(std::size_t node, utils::duration length)
    {
        const auto answer = m_limiters.at(node).admit(team, ++m_requests, m_now);
        if (answer.verdict == decisions::limit_verdict::Admitted)
            start(node, length);
        if (answer.verdict == decisions::limit_verdict::AwaitGrant)
            m_awaiting.push_back({ node, length, m_requests });
        return answer.verdict;
    }

    /// Advances the time by one step of a millisecond.
    void step()
    {
        m_now += std::chrono::milliseconds(1);
        deliver();
        end();
        if (m_now.time_since_epoch() % std::chrono::milliseconds(20) == utils::duration::zero())
            retryAwaiting();
        for (std::size_t node = 0; node < m_limiters.size(); ++node) {
            for (const auto& request : m_limiters[node].poll(m_now))
                transmit(
                    node, [this, node, request] { answer(node, request); }, m_cutToHome.at(node));
        }
    }

    /// Advances the time, calling `each` every millisecond.
    void run(
        utils::duration length, const std::function<void()>& each = [] {})
    {
        const utils::time_point until = m_now + length;
        while (m_now < until) {
            each();
            step();
        }
    }

    /// Requests admitted at any node since the start.
    std::size_t admitted() const { return m_admitted.size(); }
    std::size_t running() const { return m_running.size(); }
    std::size_t maxRunning() const { return m_maxRunning; }
    std::size_t messages() const { return m_messages; }
    /// Largest number of admissions in any window of that length.
    std::size_t maxAdmittedIn(utils::duration window) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_admitted.size(); ++last) {
            while (m_admitted[last] - m_admitted[first] >= window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    const utils::team_id team { "press" };

private:
    struct waiting_request {
        std::size_t node = 0;
        utils::duration length {};
        std::uint64_t hash = 0;
    };

    void start(std::size_t node, utils::duration length)
    {
        m_admitted.push_back(m_now);
        m_running.emplace(m_now + length, node);
        m_maxRunning = std::max(m_maxRunning, m_running.size());
    }

    void end()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            m_limiters[m_running.begin()->second].finished(team, m_now);
            m_running.erase(m_running.begin());
        }
    }

    void retryAwaiting()
    {
        std::vector<waiting_request> again;
        again.swap(m_awaiting);
        for (const waiting_request& waiting : again) {
            const auto answer = m_limiters.at(waiting.node).admit(team, waiting.hash, m_now);
            if (answer.verdict == decisions::limit_verdict::Admitted)
                start(waiting.node, waiting.length);
            if (answer.verdict == decisions::limit_verdict::AwaitGrant)
                m_awaiting.push_back(waiting);
        }
    }

    void transmit(std::size_t, std::function<void()> action, bool isCut)
    {
        ++m_messages;
        if (isCut || std::bernoulli_distribution(m_settings.loss)(m_random))
            return;
        std::uniform_int_distribution<utils::duration::rep> delay(
            m_settings.minDelay.count(), m_settings.maxDelay.count());
        m_network.emplace(m_now + utils::duration(delay(m_random)), std::move(action));
    }

    void answer(std::size_t node, const decisions::quota_lease_request& request)
    {
        const decisions::quota_lease_grant grant = m_lender.answer(request, m_now);
        transmit(
            node, [this, node, grant] { apply(node, grant); }, m_cutFromHome.at(node));
    }

    void apply(std::size_t node, const decisions::quota_lease_grant& grant)
    {
        m_limiters[node].apply(grant, m_now);
        retryAwaiting();
    }

    void deliver()
    {
        while (!m_network.empty() && m_network.begin()->first <= m_now) {
            const auto action = m_network.begin()->second;
            m_network.erase(m_network.begin());
            action();
        }
    }

    settings m_settings;
    decisions::quota_lender m_lender;
    std::mt19937 m_random;
    utils::time_point m_now = utils::time_point {} + std::chrono::hours(1);
    std::vector<utils::node_id> m_members;
    std::vector<decisions::team_limiter> m_limiters;
    std::vector<bool> m_cutToHome;
    std::vector<bool> m_cutFromHome;
    std::multimap<utils::time_point, std::function<void()>> m_network;
    std::multimap<utils::time_point, std::size_t> m_running;
    std::vector<waiting_request> m_awaiting;
    std::vector<utils::time_point> m_admitted;
    std::size_t m_maxRunning = 0;
    std::size_t m_messages = 0;
    std::uint64_t m_requests = 0;
};
