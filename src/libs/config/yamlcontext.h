#pragma once

#include "problem.h"

#include <yaml-cpp/mark.h>

#include <map>
#include <string>
#include <vector>

namespace config {

/// What reading one YAML text has found: where each field stands, and the problems. Not thread safe.
class yaml_context {
public:
    explicit yaml_context(std::string file)
        : m_file(std::move(file))
    {
    }

    /// Notes where a field stands, for problems that are found after reading.
    void remember(const std::string& path, const YAML::Mark& mark);
    /// Adds a problem at a known place.
    void report(const YAML::Mark& mark, const std::string& path, std::string message);
    /// Adds a problem at the place of the field, or of the nearest field around it.
    void reportAt(const std::string& path, std::string message);

    const std::vector<problem>& problems() const { return m_problems; }

private:
    struct place {
        int line = 0;
        int column = 0;
    };
    place placeOf(std::string path) const;

    std::string m_file;
    std::map<std::string, place> m_places;
    std::vector<problem> m_problems;
};

} // namespace config
