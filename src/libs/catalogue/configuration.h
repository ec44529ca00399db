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

/// The operators' configuration and the known backend servers, independent of the platform's formats.
namespace catalogue {

/// Whether the requests of a route may run more than once.
enum class request_kind {
    Idempotent, ///< may run any number of times
    NonIdempotent, ///< at most once
    Stream ///< answered by an event stream; at most once unless the route is resumable
};

/// The share of a route's traffic that goes to one service.
struct service_share {
    std::string service;
    unsigned weight = 1; ///< relative to the other shares of the route
};

/// Destination and handling of the requests to one host below one path prefix.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    request_kind kind = request_kind::NonIdempotent;
    utils::duration timeout {}; ///< longest time until the caller has an answer
    utils::duration targetLatency {}; ///< until the complete answer; for streams until the first event
    utils::duration targetGap {}; ///< target for the longest pause between two events of a stream
    int priority = 0; ///< 0 is the most urgent
    std::vector<service_share> shares; ///< not empty
    unsigned maxAttempts = 1; ///< number of backend servers that may run one request
    bool isPublic = false; ///< accepts requests without an API key
    bool hasPrompts = false; ///< its requests list the parts of their prompts
    bool isResumable = false; ///< a stream may continue on another backend server
    std::vector<std::string> regions; ///< where its requests may run; empty: anywhere

    /// Whether a request may run more than once. Thread safe.
    bool mayRepeat() const
    {
        return kind == request_kind::Idempotent || (kind == request_kind::Stream && isResumable);
    }
};

/// Capacity of each model engine of a service.
struct engine_traits {
    unsigned slots = 1; ///< requests that one engine runs concurrently
    std::uint64_t cacheTokens = 0; ///< capacity of its KV cache, in tokens
    double cacheBytesPerToken = 0; ///< KV cache size per token, for copies between engines; 0: unknown
    double copyBitsPerSecond = 0; ///< bandwidth for such copies; 0: unknown

    /// Time to transfer the KV cache of `tokens` tokens from another engine, without waiting; nothing if the
    /// engines don't copy. Thread safe.
    std::optional<utils::duration> copyTime(std::uint32_t tokens) const;
};

/// How the backend servers of a service behave after their start.
struct cold_start_traits {
    utils::duration length {}; ///< time after the start in which the limit applies
    double requestsPerSecond = 0; ///< that a cold server takes from all nodes together; more may crash it
};

/// A set of interchangeable backend servers.
struct service {
    std::string name;
    std::optional<engine_traits> engine; ///< absent for a plain service
    std::optional<cold_start_traits> coldStart; ///< absent if its servers take their full load at once
};

/// Limits on the size and duration of callers' requests.
struct caller_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    utils::duration headerTimeout = std::chrono::seconds(3); ///< for the complete header
    utils::duration idleTimeout = std::chrono::seconds(15); ///< between two requests on a connection
};

/// A workspace: the calling team that an API key belongs to.
struct workspace {
    std::string name;
    std::optional<int> priority; ///< takes precedence over that of the route
    std::vector<std::string> regions {}; ///< where its requests may run; empty: anywhere
};

/// One complete version of the configuration. Immutable once shared, so any thread may read it.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    caller_limits limits;
    std::vector<workspace> workspaces;
    std::unordered_map<std::string, std::size_t> workspaceIndexByKey; ///< API key to index into `workspaces`
    bool needsKeys = false; ///< requests need an API key unless their route is public

    /// Builds the indexes for findRoute and urgencyOf. Call it once routes and workspaces are complete.
    void buildIndex();
    /// Returns the route of `host` with the longest prefix that matches `path`; null if there is none.
    /// Precondition: buildIndex() was called.
    const route* findRoute(std::string_view host, std::string_view path) const;
    /// Returns the workspace that the API key belongs to; null if the key is unknown.
    const workspace* findWorkspace(const std::string& key) const;
    /// Returns the urgency of a request: 0 (most urgent) to `urgencyLevels` - 1. Requests are ordered by the
    /// workspace's priority, or the route's if the workspace has none, then by the route's. So a workspace
    /// with a priority of its own still has its urgent requests served before its others.
    /// Precondition: buildIndex() was called; the workspace is of this configuration, or null.
    int urgencyOf(const route& route, const workspace* workspace) const;
    /// Returns the service; null if the configuration has none of that name.
    const service* findService(const std::string& name) const;

    /// Number of urgencies that urgencyOf tells apart.
    static constexpr int urgencyLevels = 10;

private:
    /// The workspace's priority, or the route's if it has none; then the route's.
    using priority_pair = std::pair<int, int>;
    static priority_pair priorityPair(const route& route, const workspace* workspace);
    void buildUrgencies();

    std::map<priority_pair, int> m_urgencyByPriorities;
    std::unordered_map<std::string, std::size_t> m_routeIndex; ///< host and prefix to index into `routes`
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace catalogue
