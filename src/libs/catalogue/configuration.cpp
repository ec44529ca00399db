#include "configuration.h"

#include <set>

namespace catalogue {

namespace {

constexpr char hostSeparator = '\n'; // cannot occur in a host name

std::string indexKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += hostSeparator;
    key += prefix;
    return key;
}

} // namespace

std::optional<utils::duration> engine_traits::copyTime(std::uint32_t tokens) const
{
    if (cacheBytesPerToken <= 0 || copyBitsPerSecond <= 0)
        return std::nullopt;
    constexpr double bitsPerByte = 8;
    return utils::fromSeconds(tokens * cacheBytesPerToken * bitsPerByte / copyBitsPerSecond);
}

void configuration::buildIndex()
{
    m_routeIndex.clear();
    for (std::size_t i = 0; i < routes.size(); ++i)
        m_routeIndex.emplace(indexKey(routes[i].host, routes[i].pathPrefix), i);
    buildUrgencies();
}

configuration::priority_pair configuration::priorityPair(const route& route, const workspace* workspace)
{
    const int effective
        = workspace == nullptr ? route.priority : workspace->priority.value_or(route.priority);
    return { effective, route.priority };
}

void configuration::buildUrgencies()
{
    // Thousands of routes and workspaces share a few priorities, so only distinct ones are combined.
    std::set<int> routePriorities;
    for (const route& route : routes)
        routePriorities.insert(route.priority);
    std::set<std::optional<int>> workspacePriorities { std::nullopt };
    for (const workspace& workspace : workspaces)
        workspacePriorities.insert(workspace.priority);
    m_urgencyByPriorities.clear();
    for (const int routePriority : routePriorities) {
        for (const std::optional<int> workspacePriority : workspacePriorities)
            m_urgencyByPriorities[{ workspacePriority.value_or(routePriority), routePriority }] = 0;
    }
    const std::size_t size = m_urgencyByPriorities.size();
    std::size_t rank = 0;
    for (auto& [pair, urgency] : m_urgencyByPriorities) {
        const bool fitsLevels = size <= urgencyLevels;
        urgency = static_cast<int>(fitsLevels ? rank : rank * urgencyLevels / size);
        ++rank;
    }
}

int configuration::urgencyOf(const route& route, const workspace* workspace) const
{
    return m_urgencyByPriorities.at(priorityPair(route, workspace));
}

const route* configuration::findRoute(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so one lookup per slash of the path is enough: a thousand routes cost no
    // more than ten.
    path = path.substr(0, path.find('?'));
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto found = m_routeIndex.find(indexKey(host, path.substr(0, end + 1)));
        if (found != m_routeIndex.end())
            return &routes[found->second];
        if (end == 0)
            break;
    }
    return nullptr;
}

const workspace* configuration::findWorkspace(const std::string& key) const
{
    const auto found = workspaceIndexByKey.find(key);
    if (found == workspaceIndexByKey.end())
        return nullptr;
    return &workspaces[found->second];
}

const service* configuration::findService(const std::string& name) const
{
    const auto found = services.find(name);
    if (found == services.end())
        return nullptr;
    return &found->second;
}

} // namespace catalogue
