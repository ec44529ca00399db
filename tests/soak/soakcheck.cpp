#include "soakcheck.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

namespace soak {

namespace {

constexpr unsigned runsOfRepeatable = 2; // the routes' limit of attempts
constexpr duration retryWindow = std::chrono::seconds(10); // the nodes' default
constexpr std::size_t toleratedOverruns = 3; // the platform counts them from the fourth
constexpr std::size_t toleratedMixed = 2; // streams of two versions; the platform counts them from the third
constexpr std::size_t fewestResumed = 12; // streams taken up, before the platform looks at their share
constexpr double smallestShareOfNew = 0.5; // that go on, against the share of new streams that begin
constexpr std::size_t decisiveCrashes = 5; // under one part, after which its requests must stop
constexpr std::ptrdiff_t toleratedInRest = 2; // requests; the platform counts them from the third
constexpr std::size_t toleratedAfterCrashes = 3; // requests with it that reach servers later
constexpr duration nearDeadline
    = std::chrono::milliseconds(500); // a node may end a request so much before it
constexpr duration afterLinkFault = std::chrono::seconds(5); // connections from before are unsound
constexpr duration knownAfter = std::chrono::seconds(1); // an engine that has just been announced

bool mayRepeat(call_kind kind)
{
    return kind == call_kind::Lookup || kind == call_kind::Chat;
}

bool isStream(call_kind kind)
{
    return kind == call_kind::Chat || kind == call_kind::Draft;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

bool saysNotRun(int status)
{
    static const std::set<int> statuses { 408, 421, 429, 503 };
    return statuses.contains(status);
}

/// The service that runs a call: 0 for the plain one, 1 for the engines.
std::size_t serviceOf(call_kind kind)
{
    return isStream(kind) ? 1 : 0;
}

/// Calls of one service, and the times at which servers got one of them again.
struct service_traffic {
    std::vector<time_point> calls; ///< in order
    std::vector<time_point> retries; ///< in order
};

/// How many of some calls did well.
struct share_count {
    std::size_t all = 0;
    std::size_t good = 0;

    void add(bool isGood)
    {
        ++all;
        good += isGood ? 1 : 0;
    }
    double share() const { return all == 0 ? 1 : static_cast<double>(good) / static_cast<double>(all); }
};

std::size_t countWithin(const std::vector<time_point>& times, time_point from, duration span)
{
    const auto begin = std::ranges::lower_bound(times, from);
    return static_cast<std::size_t>(std::lower_bound(begin, times.end(), from + span) - begin);
}

/// Judges one run.
class judge {
public:
    judge(const soak_evidence& evidence, const std::optional<soak_bounds>& bounds)
        : m_evidence(evidence)
        , m_bounds(bounds)
    {
        for (const call_record& call : evidence.calls) {
            m_calls[call.id] = &call;
            m_traffic.at(serviceOf(call.kind)).calls.push_back(call.sentAt);
        }
    }

    std::vector<std::string> verdict()
    {
        checkArrivals();
        for (auto& [id, times] : m_arrivedAt) {
            std::ranges::sort(times);
            auto& retries = m_traffic.at(serviceOf(m_calls.at(id)->kind)).retries;
            retries.insert(retries.end(), times.begin() + 1, times.end());
        }
        std::size_t overruns = 0;
        for (const call_record& call : m_evidence.calls) {
            checkAnswer(call);
            checkRuns(call);
            checkWhole(call);
            checkReport(call);
            overruns += mayRepeat(call.kind) && runsOf(call) > runsOfRepeatable ? 1 : 0;
        }
        if (overruns > toleratedOverruns)
            m_broken.push_back(std::to_string(overruns) + " requests ran more often than their route allows");
        for (service_traffic& traffic : m_traffic)
            checkRetries(traffic);
        checkVersions();
        if (m_bounds) {
            checkNotices();
            checkResumed();
            checkCrashingPart();
        }
        for (const std::string& node : m_evidence.ownEnds)
            m_broken.push_back(node + " ended by itself");
        for (const std::string& node : m_evidence.notRecovered)
            m_broken.push_back(node + " does not serve after all faults");
        return std::move(m_broken);
    }

private:
    void breaks(const std::string& id, const std::string& what)
    {
        const auto call = m_calls.find(id);
        const std::string status = call == m_calls.end() ? "?" : std::to_string(call->second->status);
        m_broken.push_back(id + " (status " + status + "): " + what);
    }

    unsigned runsOf(const call_record& call) const
    {
        const auto found = m_runs.find(call.id);
        return found == m_runs.end() ? 0 : found->second;
    }

    void checkArrivals()
    {
        for (const arrival& each : m_evidence.arrivals) {
            const auto& request = each.request;
            if (request.target.starts_with("/healthz"))
                continue;
            if (request.isRun)
                ++m_runs[request.id];
            const auto call = m_calls.find(request.id);
            if (call == m_calls.end()) {
                breaks(request.id,
                    "reached " + each.server + " though nobody asked: " + request.method + ' '
                        + request.target);
                continue;
            }
            const auto tenant = request.headers.find("lycheefront-tenant");
            if (tenant == request.headers.end() || tenant->second != "print-shop")
                breaks(request.id, "reached " + each.server + " under another workspace");
            if (request.method == "POST" && request.body != request.id)
                breaks(request.id, "reached " + each.server + " with another body");
            m_arrivedAt[request.id].push_back(request.arrivedAt);
            const arrival*& last = m_lastArrival[request.id];
            if (last == nullptr || last->request.arrivedAt <= request.arrivedAt)
                last = &each;
            checkLeaving(each, *call->second);
            checkEvacuation(each, *call->second);
        }
    }

    /// All nodes together send no more retries to a service than its requests allow, in any window. The
    /// requests count in the window, the one before it, or the one half a window before it.
    void checkRetries(service_traffic& traffic)
    {
        std::ranges::sort(traffic.calls);
        std::ranges::sort(traffic.retries);
        for (const time_point from : traffic.retries) {
            std::size_t calls = 0;
            for (const duration before : { duration(0), retryWindow / 2, retryWindow })
                calls = std::max(calls, countWithin(traffic.calls, from - before, retryWindow));
            const std::size_t retries = countWithin(traffic.retries, from, retryWindow);
            const double allowed = retriesPerCall * static_cast<double>(calls) + extraRetries;
            if (static_cast<double>(retries) <= allowed)
                continue;
            m_broken.push_back(std::to_string(retries) + " retries in ten seconds for "
                + std::to_string(calls) + " requests");
            return;
        }
    }

    /// Once five engines have crashed under a part, nodes in touch send its requests to no engine any more.
    void checkCrashingPart()
    {
        std::vector<time_point> crashes = m_evidence.partCrashes;
        if (crashes.size() < decisiveCrashes)
            return;
        std::ranges::sort(crashes);
        const time_point from = crashes[decisiveCrashes - 1] + m_bounds->outOfTouch;
        const auto isLate = [&](const arrival& each) {
            const auto call = m_calls.find(each.request.id);
            return call != m_calls.end() && call->second->hasCrashingPart && each.request.arrivedAt > from
                && each.request.arrivedAt < m_evidence.partCrashesUntil
                && isInTouch(call->second->node, each.request.arrivedAt);
        };
        const auto late = static_cast<std::size_t>(std::ranges::count_if(m_evidence.arrivals, isLate));
        if (late <= toleratedAfterCrashes)
            return;
        for (const arrival& each : m_evidence.arrivals) {
            if (isLate(each))
                breaks(each.request.id,
                    "reached " + each.server + " "
                        + std::to_string(
                            std::chrono::duration_cast<duration>(each.request.arrivedAt - from).count())
                        + " ms too late");
        }
        m_broken.push_back(std::to_string(late)
            + " requests with one part reached engines after five had crashed under it; "
            + std::to_string(crashes.size()) + " crashed in all");
    }

    /// All events of a stream, over its caller's tries, come from servers of one version.
    void checkVersions()
    {
        std::map<std::string, std::set<std::string>> versions;
        for (const call_record& call : m_evidence.calls)
            versions[call.resumes.empty() ? call.id : call.resumes].insert(
                call.versions.begin(), call.versions.end());
        std::string mixed;
        std::size_t count = 0;
        for (const auto& [id, each] : versions) {
            if (each.size() < 2)
                continue;
            ++count;
            mixed += " " + id;
        }
        if (count > toleratedMixed)
            m_broken.push_back(std::to_string(count) + " streams hold events of two versions:" + mixed);
    }

    /// Of the streams that callers take up, at nodes in touch while two servers of the version serve, at
    /// least half as many go on as of new streams begin.
    void checkResumed()
    {
        share_count began;
        share_count wentOn;
        std::map<std::string, std::string> versionOf;
        for (const call_record& call : m_evidence.calls) {
            if (!call.versions.empty() && call.resumes.empty())
                versionOf[call.id] = call.versions.front();
        }
        for (const call_record& call : m_evidence.calls) {
            if (call.kind != call_kind::Chat || !isInTouch(call.node, call.sentAt))
                continue;
            if (call.resumes.empty())
                began.add(!call.versions.empty());
            else if (serversOf(versionOf[call.resumes], call.sentAt) >= 2)
                wentOn.add(!call.versions.empty());
        }
        if (wentOn.all >= fewestResumed && wentOn.share() < smallestShareOfNew * began.share())
            m_broken.push_back(std::to_string(wentOn.good) + " of " + std::to_string(wentOn.all)
                + " streams went on when they were taken up");
    }

    std::size_t serversOf(const std::string& version, time_point at) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_evidence.engines, [&](const auto& entry) {
            const engine_life& engine = entry.second;
            return engine.version == version && engine.from + knownAfter <= at && at < engine.to
                && !isEvacuated(entry.first, at) && !isResting(entry.first, at);
        }));
    }

    bool isResting(const std::string& server, time_point at) const
    {
        const auto rests = m_evidence.rests.find(server);
        return rests != m_evidence.rests.end() && std::ranges::any_of(rests->second, [at](const span& rest) {
            return rest.from <= at && at <= rest.to;
        });
    }

    /// What servers have asked of a node, or said to it, binds it from its answer on: a few requests that
    /// were sent before may follow. Nodes whose requests may go by way of peers are left out.
    void checkNotices()
    {
        std::map<std::pair<std::string, std::size_t>, std::vector<const arrival*>> met;
        for (const arrival& each : m_evidence.arrivals) {
            const auto call = m_calls.find(each.request.id);
            if (call != m_calls.end() && !m_evidence.pathNodes.contains(call->second->node))
                met[{ each.server, call->second->node }].push_back(&each);
        }
        for (const auto& [pair, arrivals] : met) {
            const auto& [server, node] = pair;
            const auto links = m_evidence.linkFaults.find(server);
            for (const arrival* each : arrivals) {
                const bool isLinkSound
                    = links == m_evidence.linkFaults.end() || isSound(links->second, each->request.arrivedAt);
                if (!isLinkSound || !isInTouch(node, each->request.arrivedAt))
                    continue;
                if (!each->request.restAsked.empty())
                    checkRest(*each, node, arrivals);
                if (each->request.isLeavingSaid)
                    checkLeavingSaid(*each, node, arrivals);
            }
        }
    }

    void checkRest(const arrival& asking, std::size_t node, const std::vector<const arrival*>& arrivals)
    {
        const auto rest = duration(static_cast<int>(std::stod(asking.request.restAsked) * 1000));
        const time_point from = asking.request.answeredAt + m_bounds->resting;
        const time_point to = asking.request.answeredAt + rest;
        const auto inside = std::ranges::count_if(arrivals, [&](const arrival* each) {
            const time_point at = each->request.arrivedAt;
            return from < at && at < to && isInTouch(node, at);
        });
        if (inside > toleratedInRest)
            breaks(asking.request.id,
                asking.server + " has asked its node for rest, and got " + std::to_string(inside)
                    + " requests");
    }

    void checkLeavingSaid(
        const arrival& saying, std::size_t node, const std::vector<const arrival*>& arrivals)
    {
        const call_record& call = *m_calls.at(saying.request.id);
        const bool isPassedOn = saying.request.isRun && call.isMarked && call.body.find(saying.server) == 0;
        const bool isLate = std::ranges::any_of(arrivals, [&](const arrival* each) {
            const time_point at = each->request.arrivedAt;
            return at > call.endedAt + m_bounds->leaving && isInTouch(node, at);
        });
        if (isPassedOn && isLate)
            breaks(call.id, saying.server + " has said that it leaves, and gets requests of the same node");
    }

    bool isEvacuated(const std::string& server, time_point at) const
    {
        const auto evacuations = m_evidence.evacuated.find(m_evidence.dataCentres.at(server));
        return evacuations != m_evidence.evacuated.end()
            && std::ranges::any_of(evacuations->second,
                [at](const span& evacuation) { return evacuation.from <= at && at <= evacuation.to; });
    }

    void checkLeaving(const arrival& each, const call_record& call)
    {
        const auto left = m_evidence.leftAt.find(each.server);
        if (!m_bounds || left == m_evidence.leftAt.end())
            return;
        const time_point arrivedAt = each.request.arrivedAt;
        const auto links = m_evidence.linkFaults.find(each.server);
        const bool isLinkSound = links == m_evidence.linkFaults.end() || isSound(links->second, arrivedAt);
        if (arrivedAt > left->second + m_bounds->leaving && isLinkSound && isInTouch(call.node, arrivedAt))
            breaks(call.id, "reached " + each.server + " after it had left");
    }

    void checkEvacuation(const arrival& each, const call_record& call)
    {
        const auto dataCentre = m_evidence.dataCentres.find(each.server);
        if (!m_bounds || dataCentre == m_evidence.dataCentres.end())
            return;
        const auto evacuations = m_evidence.evacuated.find(dataCentre->second);
        if (evacuations == m_evidence.evacuated.end())
            return;
        const time_point arrivedAt = each.request.arrivedAt;
        const bool isForbidden = std::ranges::any_of(evacuations->second, [&](const span& evacuation) {
            return arrivedAt > evacuation.from + m_bounds->evacuating && arrivedAt < evacuation.to;
        });
        if (isForbidden && isInTouch(call.node, arrivedAt))
            breaks(call.id, "reached " + each.server + " in a data centre that was evacuated");
    }

    void checkAnswer(const call_record& call)
    {
        if (isSuccess(call.status) && (!call.isMarked || call.answeredId != call.id))
            breaks(call.id, "got the answer of another or of nobody");
        if (isSuccess(call.status) && call.isWhole && !isOwnBody(call))
            breaks(call.id, "got an answer that is not whole: " + call.body);
        if (call.isMarked && saysNotRun(call.status) && runsOf(call) > 0)
            breaks(call.id, "got a server's refusal though it ran");
        const bool isRefusedByKey = call.status == 401;
        if (isRefusedByKey && !call.usesSecondKey)
            breaks(call.id, "got 401 with a key that always held");
        if (m_bounds && call.usesSecondKey && isInTouch(call.node, call.sentAt))
            checkKey(call);
    }

    void checkKey(const call_record& call)
    {
        const bool isTaken = std::ranges::any_of(m_evidence.withoutSecondKey, [&](const span& each) {
            return call.sentAt > each.from + m_bounds->inForce && call.sentAt < each.to;
        });
        const bool isHeld = std::ranges::none_of(m_evidence.withoutSecondKey, [&](const span& each) {
            return call.endedAt > each.from && call.sentAt < each.to + m_bounds->inForce;
        });
        if (isTaken && isSuccess(call.status))
            breaks(call.id, "was served with a key that was taken away");
        if (isHeld && call.status == 401)
            breaks(call.id, "got 401 with a key that holds");
    }

    /// A part of a stream that ended without its end must not look whole; a piece more or less is not own.
    bool isOwnBody(const call_record& call) const
    {
        if (!isStream(call.kind))
            return call.body.starts_with("press-");
        const std::string had = platform_standin::eventsUpTo(call.resumedAfter);
        return had + call.body == m_evidence.wholeStream;
    }

    void checkRuns(const call_record& call)
    {
        if (mayRepeat(call.kind))
            return;
        if (runsOf(call) > 1)
            breaks(call.id, "ran " + std::to_string(runsOf(call)) + " times");
        if (saysNotRun(call.status) && runsOf(call) > 0)
            breaks(call.id, "was said not to have run, and ran");
    }

    /// Answers of servers that go on are whole: a node neither cuts one nor puts a failure of its own in its
    /// place.
    void checkWhole(const call_record& call)
    {
        const auto last = m_lastArrival.find(call.id);
        if (last == m_lastArrival.end() || !isCutByNode(call) || !hasGoneOn(*last->second, call))
            return;
        breaks(call.id,
            "was cut after " + std::to_string(lastEvent(call.body)) + " events though " + last->second->server
                + " went on with it");
    }

    /// Each answer that a node cuts has a line in its log.
    void checkReport(const call_record& call)
    {
        if (isSuccess(call.status) && isCutByNode(call) && !m_evidence.reportedCuts.contains(call.id))
            breaks(call.id, "was cut and no log names it");
    }

    /// Whether the node ended a call that neither its caller, its deadline nor the end of the node did.
    bool isCutByNode(const call_record& call) const
    {
        const bool isCut = isSuccess(call.status)
            ? !call.isWhole
            : call.status == 0 || (call.status >= 500 && !saysNotRun(call.status) && !call.isMarked);
        return isCut && !call.hasTimedOut && call.endedAt - call.sentAt < callerDeadline - nearDeadline
            && !overlaps(m_evidence.nodeEnds.at(call.node), call, duration(0));
    }

    /// Whether nothing ended the call at its server, or on the path to it.
    bool hasGoneOn(const arrival& each, const call_record& call) const
    {
        using platform_standin::replica_act;
        const auto& request = each.request;
        const bool isResumed = request.headers.contains("last-event-id");
        const bool isSoundAct = request.act == replica_act::Answer || request.act == replica_act::Stream
            || (request.act == replica_act::StreamCutOnce && isResumed);
        const auto crashes = m_evidence.crashes.find(each.server);
        const bool hasCrashed = crashes != m_evidence.crashes.end()
            && std::ranges::any_of(crashes->second,
                [&](time_point at) { return request.arrivedAt <= at && at <= call.endedAt; });
        const auto left = m_evidence.leftAt.find(each.server);
        const bool hasLeft = left != m_evidence.leftAt.end() && left->second <= call.endedAt;
        const auto links = m_evidence.linkFaults.find(each.server);
        const bool isLinkUnsound
            = links != m_evidence.linkFaults.end() && overlaps(links->second, call, afterLinkFault);
        const bool isCutOff = m_evidence.pathNodes.contains(call.node)
            && overlaps(m_evidence.nodePathFaults, call, afterLinkFault);
        return isSoundAct && !hasCrashed && !hasLeft && !isLinkUnsound && !isCutOff;
    }

    /// Whether one of the faults, or the time `after` it, falls into the call.
    static bool overlaps(const std::vector<span>& faults, const call_record& call, duration after)
    {
        return std::ranges::any_of(faults,
            [&](const span& each) { return each.from <= call.endedAt && call.sentAt <= each.to + after; });
    }

    bool isSound(const std::vector<span>& faults, time_point at) const
    {
        return std::ranges::none_of(faults,
            [&](const span& each) { return each.from <= at && at <= each.to + m_bounds->outOfTouch; });
    }
    bool isInTouch(std::size_t node, time_point at) const
    {
        return isSound(m_evidence.nodeFaults.at(node), at);
    }

    const soak_evidence& m_evidence;
    const std::optional<soak_bounds>& m_bounds;
    std::map<std::string, const call_record*> m_calls; ///< by id
    std::map<std::string, unsigned> m_runs; ///< by id
    std::map<std::string, std::vector<time_point>> m_arrivedAt; ///< at servers, by id
    std::map<std::string, const arrival*> m_lastArrival; ///< by id
    std::array<service_traffic, 2> m_traffic;
    std::vector<std::string> m_broken;
};

} // namespace

void takeVersions(call_record& call)
{
    constexpr std::string_view typeField = "event: ";
    std::string rest;
    std::istringstream lines(call.body);
    for (std::string line; std::getline(lines, line);) {
        const bool isEnded = !lines.eof();
        if (line.starts_with(typeField) && isEnded)
            call.versions.push_back(line.substr(typeField.size()));
        else
            rest += line + (isEnded ? "\n" : "");
    }
    call.body = std::move(rest);
    std::ranges::sort(call.versions);
    call.versions.erase(std::unique(call.versions.begin(), call.versions.end()), call.versions.end());
}

unsigned lastEvent(const std::string& body)
{
    constexpr std::string_view idField = "id: ";
    const std::size_t end = body.rfind("\n\n");
    const std::size_t at = end == std::string::npos ? end : body.rfind(idField, end);
    return at == std::string::npos ? 0 : static_cast<unsigned>(std::stoul(body.substr(at + idField.size())));
}

std::vector<std::string> brokenPromises(
    const soak_evidence& evidence, const std::optional<soak_bounds>& bounds)
{
    return judge(evidence, bounds).verdict();
}

} // namespace soak
