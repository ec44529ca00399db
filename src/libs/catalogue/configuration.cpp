#include "configuration.h"

#include <set>

namespace catalogue {

namespace {

constexpr char hostSeparator = '\n'; // cannot stand in a host

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

configuration::priority_pair configuration::prioritiesOf(const route& route, const workspace* workspace)
{
    const int first = workspace == nullptr ? route.priority : workspace->priority.value_or(route.priority);
    return { first, route.priority };
}

void configuration::buildUrgencies()
{
    // A few values each, while there are thousands of routes and workspaces.
    std::set<int> ofRoutes;
    for (const route& route : routes)
        ofRoutes.insert(route.priority);
    std::set<std::optional<int>> ofWorkspaces { std::nullopt };
    for (const workspace& workspace : workspaces)
        ofWorkspaces.insert(workspace.priority);
    m_urgencies.clear();
    for (const int ofRoute : ofRoutes) {
        for (const std::optional<int> ofWorkspace : ofWorkspaces)
            m_urgencies[{ ofWorkspace.value_or(ofRoute), ofRoute }] = 0;
    }
    const std::size_t size = m_urgencies.size();
    std::size_t place = 0;
    for (auto& [pair, urgency] : m_urgencies) {
        const bool hasRoom = size <= urgencyLevels;
        urgency = static_cast<int>(hasRoom ? place : place * urgencyLevels / size);
        ++place;
    }
}

int configuration::urgencyOf(const route& route, const workspace* workspace) const
{
    return m_urgencies.at(prioritiesOf(route, workspace));
}

const route* configuration::findRoute(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so only the path's own slashes are looked up: a thousand routes cost
    // as little as ten.
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
