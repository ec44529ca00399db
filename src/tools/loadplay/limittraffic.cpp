#include "limittraffic.h"

#include "eventloop.h"

#include "decisions/quotalender.h"
#include "decisions/teamlimiter.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace loadplay {

namespace {

constexpr utils::duration oneWay = std::chrono::microseconds(3500);
constexpr utils::duration pollEvery = std::chrono::milliseconds(100);
constexpr utils::duration service = std::chrono::seconds(2);
constexpr double limitOverMean = 2;

template <class Message> double sizeOf(const Message& message)
{
    std::ostringstream out;
    cereal::BinaryOutputArchive archive(out);
    archive(message);
    return static_cast<double>(out.str().size());
}

struct node_traffic {
    double bytes = 0;
    double messages = 0;

    void count(double size)
    {
        bytes += size;
        messages += 1;
    }
};

struct waiting_request {
    std::size_t team = 0;
    utils::time_point since;
    std::uint64_t hash = 0;
};

class limit_play {
public:
    limit_play(const limit_fleet& fleet, unsigned seed)
        : m_fleet(fleet)
        , m_random(seed)
        , m_traffic(fleet.nodes)
        , m_waiting(fleet.nodes)
    {
        for (std::size_t node = 0; node < fleet.nodes; ++node)
            m_members.emplace_back("node" + std::to_string(node));
        m_lender.setMembers(m_members, {});
        makeTeams();
        m_limiters.reserve(fleet.nodes);
        for (const utils::node_id& member : m_members)
            addLimiter(member);
    }

    limit_traffic run()
    {
        for (std::size_t node = 0; node < m_fleet.nodes; ++node)
            planPoll(node, m_loop.now() + pollEvery * node / m_fleet.nodes);
        planArrival();
        m_loop.run(utils::time_point {} + m_fleet.length);
        return figures();
    }

private:
    void makeTeams()
    {
        double sum = 0;
        std::vector<double> shares;
        for (std::size_t team = 0; team < m_fleet.teams; ++team) {
            shares.push_back(1 / static_cast<double>(team + 1));
            sum += shares.back();
        }
        for (std::size_t team = 0; team < m_fleet.teams; ++team) {
            m_teams.emplace_back("team" + std::to_string(team));
            const double mean = m_fleet.requestsPerSecond * shares[team] / sum;
            const double rate = std::max(limitOverMean * mean, 1.0);
            const auto slots = static_cast<unsigned>(std::ceil(rate * utils::toSeconds(service)) + 2);
            m_limits.push_back({ rate, slots });
            m_lender.setLimit(m_teams.back(), m_limits.back(), m_loop.now());
            m_lender.becomeHome(m_teams.back(), m_loop.now(), true);
        }
        m_pickTeam = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    }

    void addLimiter(const utils::node_id& member)
    {
        decisions::team_limiter& limiter = m_limiters.emplace_back(member);
        limiter.setMembers(m_members);
        for (std::size_t team = 0; team < m_teams.size(); ++team)
            limiter.setLimit(m_teams[team], m_limits[team]);
    }

    std::size_t homeOf(const utils::team_id& team) const
    {
        return std::hash<utils::team_id> {}(team) % m_fleet.nodes;
    }

    void planArrival()
    {
        std::exponential_distribution<double> gap(m_fleet.requestsPerSecond);
        m_loop.plan(m_loop.now() + utils::fromSeconds(gap(m_random)), [this] {
            const std::size_t node = m_random() % m_fleet.nodes;
            ++m_requests;
            if (!tryAdmit(node, { m_pickTeam(m_random), m_loop.now(), m_requests }))
                ++m_awaited;
            ask(node);
            planArrival();
        });
    }

    /// False when the request waits for a lump.
    bool tryAdmit(std::size_t node, const waiting_request& request)
    {
        const std::size_t team = request.team;
        const auto answer = m_limiters[node].admit(m_teams[team], request.hash, m_loop.now());
        if (answer.verdict == decisions::limit_verdict::AwaitGrant) {
            m_waiting[node].push_back(request);
            return false;
        }
        if (request.since != m_loop.now())
            m_waits.push_back(utils::toSeconds(m_loop.now() - request.since));
        if (answer.verdict == decisions::limit_verdict::Refused) {
            ++m_refused;
            return true;
        }
        m_loop.plan(m_loop.now() + service,
            [this, node, team] { m_limiters[node].finished(m_teams[team], m_loop.now()); });
        return true;
    }

    void retryWaiting(std::size_t node)
    {
        std::vector<waiting_request> again;
        again.swap(m_waiting[node]);
        for (const waiting_request& waiting : again)
            tryAdmit(node, waiting);
    }

    void planPoll(std::size_t node, utils::time_point at)
    {
        m_loop.plan(at, [this, node] {
            ask(node);
            planPoll(node, m_loop.now() + pollEvery);
        });
    }

    void ask(std::size_t node)
    {
        for (const auto& request : m_limiters[node].poll(m_loop.now())) {
            const std::size_t home = homeOf(request.team);
            if (home != node) {
                m_traffic[node].count(sizeOf(request));
                m_traffic[home].count(sizeOf(request));
            }
            const utils::duration delay = home == node ? utils::duration::zero() : oneWay;
            m_loop.plan(m_loop.now() + delay, [this, node, home, request] { answer(node, home, request); });
        }
    }

    void answer(std::size_t node, std::size_t home, const decisions::quota_lease_request& request)
    {
        const auto grant = m_lender.answer(request, m_loop.now());
        if (home != node) {
            m_traffic[node].count(sizeOf(grant));
            m_traffic[home].count(sizeOf(grant));
        }
        const utils::duration delay = home == node ? utils::duration::zero() : oneWay;
        m_loop.plan(m_loop.now() + delay, [this, node, grant] {
            m_limiters[node].apply(grant, m_loop.now());
            retryWaiting(node);
        });
    }

    limit_traffic figures()
    {
        limit_traffic result;
        const auto nodes = static_cast<double>(m_fleet.nodes);
        const double seconds = utils::toSeconds(m_fleet.length);
        for (std::size_t node = 0; node < m_fleet.nodes; ++node) {
            const double bytes = m_traffic[node].bytes / seconds;
            result.meanBytes += bytes / nodes;
            result.mostBytes = std::max(result.mostBytes, bytes);
            result.messages += m_traffic[node].messages / seconds / nodes;
            result.activeTeams += static_cast<double>(m_limiters[node].activeCount()) / nodes;
        }
        result.awaited = static_cast<double>(m_awaited) / static_cast<double>(m_requests);
        result.refused = static_cast<double>(m_refused) / static_cast<double>(m_requests);
        std::ranges::sort(m_waits);
        if (!m_waits.empty())
            result.awaitP99 = m_waits[m_waits.size() * 99 / 100];
        return result;
    }

    limit_fleet m_fleet;
    std::mt19937 m_random;
    event_loop m_loop;
    decisions::quota_lender m_lender; ///< stands for the lenders of all homes
    std::vector<utils::node_id> m_members;
    std::vector<utils::team_id> m_teams;
    std::vector<decisions::fleet_limit> m_limits;
    std::discrete_distribution<std::size_t> m_pickTeam;
    std::vector<decisions::team_limiter> m_limiters;
    std::vector<node_traffic> m_traffic;
    std::vector<std::vector<waiting_request>> m_waiting;
    std::vector<double> m_waits;
    std::size_t m_requests = 0;
    std::size_t m_awaited = 0;
    std::size_t m_refused = 0;
};

} // namespace

limit_traffic playLimitTraffic(const limit_fleet& fleet, unsigned seed)
{
    return limit_play(fleet, seed).run();
}

} // namespace loadplay
