#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

/// What the operators have configured and which backend servers there are, in the product's own terms.
namespace catalogue {

/// What may be done again with a request of a route.
enum class request_kind {
    Idempotent, ///< may run any number of times
    NonIdempotent, ///< at most once
    Stream ///< a series of events; at most once unless the route says that it can be resumed
};

/// A part of a route's traffic that goes to one service.
struct service_share {
    std::string service;
    unsigned weight = 1; ///< relative to the other shares of the route
};

/// Where requests of one host below one path go, and how they may be treated.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    request_kind kind = request_kind::NonIdempotent;
    utils::duration timeout {}; ///< longest time that a caller is kept waiting
    utils::duration targetLatency {}; ///< to the whole answer; of streams to the first event
    utils::duration targetGap {}; ///< longest pause between the events of a stream that is on time
    int priority = 0; ///< 0 is the most urgent
    std::vector<service_share> shares; ///< not empty
    unsigned maxAttempts = 1; ///< backend servers that may run one request
    bool isPublic = false; ///< needs no key
    bool hasPrompts = false; ///< its requests name the parts of their prompts
    bool isResumable = false; ///< a stream may go on at another backend server

    /// Whether a request may run more than once. Thread safe.
    bool mayRepeat() const
    {
        return kind == request_kind::Idempotent || (kind == request_kind::Stream && isResumable);
    }
};

/// What the model engines of a service are made of.
struct engine_traits {
    unsigned slots = 1; ///< requests that one engine runs at once
    std::uint64_t cacheTokens = 0; ///< tokens that its memory holds
    double cacheBytesPerToken = 0; ///< moved when one engine copies what another holds; 0: not told
    double copyBitsPerSecond = 0; ///< of the link for such copies; 0: not told

    /// How long a copy of so many tokens takes once it begins; nothing when engines don't copy. Thread safe.
    std::optional<utils::duration> copyTime(std::uint32_t tokens) const;
};

/// A set of like backend servers.
struct service {
    std::string name;
    std::optional<engine_traits> engine; ///< nothing for a plain service
};

/// What callers may send, and how long they may take.
struct caller_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    utils::duration headerTimeout = std::chrono::seconds(3);
    utils::duration idleTimeout = std::chrono::seconds(15); ///< between two requests of a connection
};

/// A workspace: the calling team that a key belongs to.
struct workspace {
    std::string name;
    std::optional<int> priority; ///< goes before that of the route
};

/// One version of the configuration, whole. Immutable once shared, so it may be read from any thread.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    caller_limits limits;
    std::vector<workspace> workspaces;
    std::unordered_map<std::string, std::size_t> workspaceIndexByKey; ///< index into `workspaces`
    bool needsKeys = false; ///< requests need a key unless their route is public

    /// Builds what findRoute and urgencyOf use. To be called once routes and workspaces are complete.
    void buildIndex();
    /// The route of that host with the longest prefix of the path; null when there is none.
    /// Precondition: buildIndex() was called.
    const route* findRoute(std::string_view host, std::string_view path) const;
    /// The workspace that holds the key; null when none does.
    const workspace* findWorkspace(const std::string& key) const;
    /// The order of a request among all, 0 the most urgent, below `urgencyLevels`: by the workspace's
    /// priority, and by the route's own where that is the same or not given. Where one priority holds for a
    /// whole workspace, the route's still tells its urgent work from the rest. Precondition: buildIndex() was
    /// called; the workspace is of this configuration, or null.
    int urgencyOf(const route& route, const workspace* workspace) const;
    /// Null when the configuration has no service of that name.
    const service* findService(const std::string& name) const;

    static constexpr int urgencyLevels = 10;

private:
    /// Priority of the workspace, else of the route; and of the route.
    using priority_pair = std::pair<int, int>;
    static priority_pair prioritiesOf(const route& route, const workspace* workspace);
    void buildUrgencies();

    std::map<priority_pair, int> m_urgencies;
    std::unordered_map<std::string, std::size_t> m_routeIndex; ///< host and prefix to index into `routes`
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace catalogue
