#include "yamlcontext.h"

#include <yaml-cpp/yaml.h>

namespace config {

void yaml_context::remember(const std::string& path, const YAML::Mark& mark)
{
    m_places[path] = { mark.line + 1, mark.column + 1 };
}

void yaml_context::report(const YAML::Mark& mark, const std::string& path, std::string message)
{
    m_problems.push_back({ m_file, mark.line + 1, mark.column + 1, path, std::move(message) });
}

void yaml_context::reportAt(const std::string& path, std::string message)
{
    const place found = placeOf(path);
    m_problems.push_back({ m_file, found.line, found.column, path, std::move(message) });
}

yaml_context::place yaml_context::placeOf(std::string path) const
{
    while (!path.empty()) {
        const auto found = m_places.find(path);
        if (found != m_places.end())
            return found->second;
        const std::size_t border = path.find_last_of(".[");
        path.resize(border == std::string::npos ? 0 : border);
    }
    return {};
}

} // namespace config
