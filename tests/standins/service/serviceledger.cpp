#include "serviceledger.h"

#include <boost/json.hpp>

#include <algorithm>

unsigned service_ledger::record(const std::string& key)
{
    ++m_total;
    return ++m_runs[key];
}

unsigned service_ledger::runsOf(const std::string& key) const
{
    const auto found = m_runs.find(key);
    return found == m_runs.end() ? 0 : found->second;
}

std::string service_ledger::json() const
{
    boost::json::object runs;
    unsigned most = 0;
    for (const auto& [key, count] : m_runs) {
        runs[key] = count;
        most = std::max(most, count);
    }
    return boost::json::serialize(
        boost::json::object { { "runs", runs }, { "total", m_total }, { "max", most } });
}
