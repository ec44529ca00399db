#pragma once

#include "requestplan.h"

#include "gateway/nodecontext.h"

#include "utils/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gateway {

/// A request of which an operator asks where it would go now.
struct choice_question {
    std::string host;
    std::string path;
    std::string workspace; ///< name; empty for a public route
    std::vector<decisions::prompt_part> prompt; ///< shared parts first; the last one is the request's own
    std::optional<std::uint32_t> outputHint; ///< output tokens
    std::string requestId = "explain"; ///< breaks ties between equal servers

    /// Longest text of a question.
    static constexpr std::size_t maxLength = 4096;
    static constexpr std::size_t maxParts = 64;
};

/// What was known of a server for the choice.
struct explained_server {
    std::string id;
    std::string dataCentre;
    unsigned slots = 0;
    std::string software;
    std::string state; ///< why it may not get the request now; "eligible" if it may
    double weight = 0; ///< share of its normal load that it should get
    decisions::load_total load;
    double slowdown = 1;
    std::optional<utils::duration> paceAge; ///< nothing: no word of its pace
    double recentFailures = 0;
    std::uint32_t heldTokens = 0;
    std::optional<double> cost; ///< nothing: it was not compared
    bool isInBound = true;
    bool isChosen = false;
};

/// Where a request would go now, and why.
struct choice_explanation {
    std::uint64_t configurationVersion = 0;
    utils::duration configurationAge {}; ///< since it was last known to be the newest
    std::string route;
    std::string service;
    int urgency = 0;
    std::string end; ///< "sent", or the kind of the error with which the request would end
    std::optional<utils::duration> retryAfter;
    std::optional<overload_forecast> overload; ///< nothing: there is no server
    unsigned maxAttempts = 1;
    bool mayRepeat = false;
    double retriesLeft = 0; ///< in this node's budget
    std::vector<explained_server> servers; ///< the chosen one first, then by cost, then those left out
};

/// Reads a question from the query of a URL: host, path, workspace, prompt ("ID:TOKENS,..."), hint, request.
/// Fails with InvalidDocument.
utils::result<choice_question> parseQuestion(std::string_view query);

/// Explains where the request would go, by the functions that choose. Sends nothing, counts nothing. Fails as
/// planRequest() does, and with UnknownTeam for a workspace that the configuration does not have. No key is
/// part of the explanation.
utils::result<choice_explanation> explainChoice(
    node_context& context, const choice_question& question, utils::time_point now);

std::string toText(const choice_explanation& explanation);
std::string toJson(const choice_explanation& explanation);

} // namespace gateway
