#pragma once

#include "decisions/priority.h"
#include "utils/ids.h"
#include "utils/time.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace config {

/// Limits of a calling team over the whole fleet.
struct team_limits {
    double requestsPerSecond = 0; ///< 0: no limit
    unsigned concurrent = 0; ///< requests in progress at once; 0: no limit
    unsigned drafts = 100; ///< drafts kept in the platform at once
};

/// One calling team's section (`teams/<id>`).
struct calling_team {
    utils::team_id id;
    std::string owner; ///< operator group that may edit the section
    std::vector<std::string> keyHashes; ///< lower-case hexadecimal SHA-256 of each valid key
    decisions::priority_class priority = decisions::priority_class::Chat;
    double weight = 1; ///< share in the fair queues against other teams
    team_limits limits;
    std::set<utils::pool_id> uses; ///< the team's side of each approval
};

/// One backend server of a pool or service.
struct backend_server {
    utils::server_id id;
    std::string address; ///< "ip:port"
    unsigned slots = 8; ///< requests it runs at once; its capacity weight
    utils::data_centre_id dataCentre;
    bool isLeaving = false; ///< drained by the operator
};

/// What a pool's backend servers are.
enum class pool_kind {
    ModelEngines,
    PlainService
};

/// One route of a plain service.
struct service_route {
    std::string path; ///< prefix, ends at a '/' border
    std::set<std::string> methods;
    bool isIdempotent = true;
    decisions::priority_class priority = decisions::priority_class::Interactive;
    utils::duration timeout = std::chrono::seconds(10);
};

/// One section of backend servers (`pools/<id>`), edited by their owner.
struct server_pool {
    utils::pool_id id;
    std::string owner;
    pool_kind kind = pool_kind::ModelEngines;
    std::vector<std::string> models; ///< model engines: the models served
    std::vector<service_route> routes; ///< plain services: the routes served
    std::vector<backend_server> servers;
    std::set<utils::team_id> approved; ///< the owner's side of each approval
    double loadBound = 1.25; ///< c: no server above c times the mean load
    bool honoursFencing = true; ///< whether its engines refuse an order with an old fencing number
    utils::duration maxWait = std::chrono::seconds(30); ///< longest stay in the queue
};

/// Someone who may edit sections.
struct operator_entry {
    std::string name;
    std::vector<std::string> keyHashes;
    std::set<std::string> owns; ///< owner groups; "*" for all
};

/// The whole configuration at one revision. Immutable once in force: shared as
/// std::shared_ptr<const document>.
struct document {
    utils::config_revision revision = 0;
    std::map<utils::team_id, calling_team> teams;
    std::map<utils::pool_id, server_pool> pools;
    std::map<std::string, operator_entry> operators;

    /// Whether the owner's and the team's side both name each other. Thread safe.
    bool isApproved(const utils::team_id& team, const utils::pool_id& pool) const;
    /// The backend server of that pool, or null. Thread safe.
    const backend_server* findServer(const utils::pool_id& pool, const utils::server_id& server) const;
    /// Makes teamByKeyHash quick. Call it once the teams are complete: teams that are changed later are
    /// not seen by it.
    void indexKeys();
    /// The team with a key of that hash, or null. Compares in constant time. Thread safe.
    const calling_team* teamByKeyHash(std::string_view hash) const;
    /// The operator with a key of that hash, or null. Thread safe.
    const operator_entry* operatorByKeyHash(std::string_view hash) const;
    /// The pool that serves the model, or null. Thread safe.
    const server_pool* poolForModel(std::string_view model) const;

    struct route_match {
        const server_pool* pool = nullptr;
        const service_route* route = nullptr;
    };
    /// The plain service and route with the longest prefix of `path`; null members if none. Thread safe.
    route_match routeFor(std::string_view path) const;

    using key_owners = std::unordered_map<std::string, utils::team_id>;
    std::shared_ptr<const key_owners> keyIndex; ///< by indexKeys(); null: every team is looked at
};

/// Whether that operator may edit sections of that owner. Thread safe.
bool mayEdit(const operator_entry& who, std::string_view owner);

} // namespace config
