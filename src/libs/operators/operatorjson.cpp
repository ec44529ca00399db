#include "operatorjson.h"

#include <boost/json.hpp>

namespace operators {

namespace json = boost::json;

namespace {

template <class Items> json::array toArray(const Items& items)
{
    json::array array;
    for (const auto& item : items)
        array.push_back(toJson(item));
    return array;
}

} // namespace

json::object toJson(const node_status& node)
{
    return { { "id", node.id.str() }, { "data_centre", node.dataCentre.str() }, { "state", node.state },
        { "current", node.isCurrent }, { "revision", node.revision } };
}

json::object toJson(const server_status& server)
{
    return { { "id", server.id.str() }, { "pool", server.pool.str() }, { "state", server.state },
        { "home", server.home.str() }, { "in_progress", server.inProgress }, { "slots", server.slots } };
}

json::object toJson(const queue_status& queue)
{
    return { { "pool", queue.pool.str() }, { "priority", queue.priority }, { "waiting", queue.waiting },
        { "oldest_seconds", utils::toSeconds(queue.oldest) } };
}

json::object toJson(const config::problem& p)
{
    return { { "file", p.file }, { "line", p.line }, { "column", p.column }, { "path", p.path },
        { "message", p.message } };
}

json::array toJson(const std::vector<config::problem>& problems)
{
    return toArray(problems);
}

json::object toJson(const config::change_record& record)
{
    json::array sections;
    for (const std::string& section : record.sections)
        sections.emplace_back(section);
    return { { "revision", record.revision }, { "who", record.who }, { "at", record.wallSeconds },
        { "change", record.id }, { "section_count", record.sectionCount },
        { "sections", std::move(sections) } };
}

json::object toJson(const fleet_status& status)
{
    return { { "node", status.self.str() }, { "current", status.isCurrent }, { "revision", status.revision },
        { "nodes", toArray(status.nodes) }, { "servers", toArray(status.servers) },
        { "queues", toArray(status.queues) },
        { "measures",
            json::object { { "cache_reuse", status.cacheReuse }, { "load_skew", status.loadSkew },
                { "control_bytes_per_second", status.controlBytesPerSecond } } } };
}

json::object toJson(const spread_status& status)
{
    return { { "acknowledged", status.acknowledged }, { "listed", status.listed },
        { "majority", status.isMajority() } };
}

json::object toJson(const draft_status& draft)
{
    return { { "id", draft.id }, { "team", draft.team.str() }, { "state", draft.state },
        { "at", draft.wallSeconds }, { "bytes", draft.bytes } };
}

json::object toProblem(const utils::failure& failure)
{
    return json::parse(utils::problemJson(failure)).as_object();
}

json::object toProblem(const config::change_outcome& outcome)
{
    json::object problem = toProblem(outcome.failure);
    if (!outcome.problems.empty())
        problem["problems"] = toJson(outcome.problems);
    if (!outcome.diff.empty())
        problem["diff"] = outcome.diff;
    if (outcome.verdict == config::change_verdict::Unknown)
        problem["outcome"] = "unknown";
    return problem;
}

} // namespace operators
