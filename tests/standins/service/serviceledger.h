#pragma once

#include <cstdint>
#include <map>
#include <string>

/// Every run of the plain service by the request's key, so that a test sees what ran twice.
class service_ledger {
public:
    /// Counts a run; how often that key has now run.
    unsigned record(const std::string& key);
    unsigned runsOf(const std::string& key) const;
    /// {"runs": {key: count}, "total": n, "max": n}
    std::string json() const;

private:
    std::map<std::string, unsigned> m_runs;
    std::uint64_t m_total = 0;
};
