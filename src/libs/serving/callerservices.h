#pragma once

namespace serving {

class draft_service;
class router;
class team_limits;

/// What answers callers' requests. Each outlives the sessions.
struct caller_services {
    router& routes;
    team_limits& limits;
    draft_service& drafts;
};

} // namespace serving
