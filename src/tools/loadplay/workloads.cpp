#include "workloads.h"

#include <algorithm>
#include <random>

namespace loadplay {

namespace {

using decisions::priority_class;
using namespace std::chrono_literals;

const utils::time_point start = utils::time_point {} + std::chrono::hours(1);

/// What requests of one class are like: a tea dance's lookup, a print shop's chat, a thesis.
struct request_shape {
    priority_class priority;
    double meanWork; ///< seconds
    double patience; ///< seconds
};

constexpr request_shape lookup { priority_class::Interactive, 0.05, 6 };
constexpr request_shape chat { priority_class::Chat, 4, 45 };
constexpr request_shape draft { priority_class::Draft, 40, 48 * 3600 };
// A chat of ten times the mean is cut by its token limit.
constexpr double longestOverMean = 10;

class request_maker {
public:
    request_maker(workload& target, unsigned seed)
        : m_target(&target)
        , m_random(seed)
    {
    }

    /// Requests of a team at random times, `perSecond` on average, from `from` to `until` seconds.
    void add(const std::string& team, const request_shape& shape, double perSecond, double from, double until)
    {
        std::exponential_distribution<double> gap(perSecond);
        for (double at = from + gap(m_random); at < until; at += gap(m_random))
            addOne(team, shape, at);
    }

    void sortByTime() { std::ranges::stable_sort(m_target->requests, {}, &play_request::at); }

private:
    void addOne(const std::string& team, const request_shape& shape, double at)
    {
        std::exponential_distribution<double> work(1 / shape.meanWork);
        play_request request;
        request.at = start + utils::fromSeconds(at);
        request.team = utils::team_id(team);
        request.priority = shape.priority;
        request.work = utils::fromSeconds(std::min(work(m_random), longestOverMean * shape.meanWork));
        request.expectedWork = utils::fromSeconds(shape.meanWork);
        request.patience = utils::fromSeconds(shape.patience);
        m_target->requests.push_back(request);
    }

    workload* m_target;
    std::mt19937 m_random;
};

std::string teamName(int index)
{
    return "team" + std::to_string(index);
}

} // namespace

workload makeBurst(unsigned seed)
{
    workload result;
    result.name = "burst";
    result.description = "ten teams at 65% of the slots; one sends 300 chats within two seconds at 30 s";
    request_maker maker(result, seed);
    for (int team = 0; team < 10; ++team) {
        maker.add(teamName(team), chat, 0.5, 0, 120);
        maker.add(teamName(team), lookup, 1.6, 0, 120);
    }
    maker.add(teamName(0), chat, 150, 30, 32);
    maker.sortByTime();
    return result;
}

workload makeHeavyTeams(unsigned seed)
{
    workload result;
    result.name = "heavy teams";
    result.description = "two of ten teams ask for twice the slots, the other eight for 30% together";
    request_maker maker(result, seed);
    for (int team = 0; team < 2; ++team)
        maker.add(teamName(team), chat, 8, 0, 120);
    for (int team = 2; team < 10; ++team)
        maker.add(teamName(team), chat, 0.3, 0, 120);
    maker.sortByTime();
    return result;
}

workload makeSlowServer(unsigned seed)
{
    workload result;
    result.name = "slow server";
    result.description = "lookups on four servers at 60%; one is 200 times slower from 20 s to 80 s";
    result.servers = 4;
    result.slots = 8;
    result.slow.push_back({ 0, start + 20s, start + 80s, 200 });
    request_maker maker(result, seed);
    for (int team = 0; team < 10; ++team)
        maker.add(teamName(team), lookup, 38, 0, 120);
    maker.sortByTime();
    return result;
}

workload makeLongAmongShort(unsigned seed)
{
    workload result;
    result.name = "long among short";
    result.description = "drafts of 40 s fill the slots, lookups of 50 ms come in between";
    request_maker maker(result, seed);
    maker.add("writers", draft, 2, 0, 60);
    for (int team = 0; team < 5; ++team) {
        maker.add(teamName(team), lookup, 6, 0, 120);
        maker.add(teamName(team), chat, 0.2, 0, 120);
    }
    maker.sortByTime();
    return result;
}

workload makeSaturation(unsigned seed)
{
    workload result;
    result.name = "saturation";
    result.description = "ten teams at 180% of the slots for two minutes: chats, lookups, drafts";
    request_maker maker(result, seed);
    for (int team = 0; team < 10; ++team) {
        maker.add(teamName(team), chat, 1.25, 0, 120);
        maker.add(teamName(team), lookup, 5, 0, 120);
        maker.add(teamName(team), draft, 0.015, 0, 120);
    }
    maker.sortByTime();
    return result;
}

std::vector<workload> allWorkloads(unsigned seed)
{
    return { makeBurst(seed), makeHeavyTeams(seed), makeSlowServer(seed), makeLongAmongShort(seed),
        makeSaturation(seed) };
}

} // namespace loadplay
