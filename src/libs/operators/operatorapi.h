#pragma once

#include "nodeview.h"

#include "keyvalue/configaccess.h"
#include "utils/errorkind.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <string>

namespace operators {

/// An HTTP request from an operator.
struct operator_request {
    std::string method;
    std::string target; ///< path and query
    std::string body;
    std::string key; ///< the operator's key, from "Authorization: Bearer"
};

/// The HTTP response; the body is JSON, of type application/problem+json if the status is 400 or higher.
struct operator_reply {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

struct operator_api_settings {
    std::string firstKeyHash; ///< SHA-256 of the key that is valid while no operators are configured
    utils::duration spreadLimit = std::chrono::seconds(10); ///< how long apply waits for a majority
};

/// The operators' API of a node, independent of the HTTP transport:
///
///     POST /v1/check?file=N              problems of the document on top of the present configuration
///     POST /v1/apply?change=ID&file=N&base=R&overwrite=1&delete=S,S
///     GET  /v1/config?section=S,S        the document as YAML
///     POST /v1/diff                      differences between the given and the present sections
///     GET  /v1/history
///     POST /v1/approve?pool=P&team=T&change=ID, /v1/revoke?...
///     POST /v1/drain?server=S&undo=1&change=ID
///     GET  /v1/status, /v1/explain?team=T&model=M&chat=C, /v1/drafts?team=T
///
/// Every call needs an operator's key. Not thread safe: use it only on the daemon's executor. Preconditions:
/// the configuration and the view outlive this object.
class operator_api {
public:
    operator_api(keyvalue::config_access& configuration, node_view& view, operator_api_settings settings);

    /// Throws no exception, whatever the request contains. `wallSeconds` is the present UTC time, for the
    /// history.
    boost::asio::awaitable<operator_reply> handle(operator_request request, std::int64_t wallSeconds);

private:
    struct call {
        operator_request request;
        std::map<std::string, std::string> query;
        std::int64_t wallSeconds = 0;
        std::string text(const std::string& name) const;
    };
    using handler = boost::asio::awaitable<operator_reply> (operator_api::*)(call);
    struct route {
        std::string method;
        std::string path;
        handler run;
    };
    static const std::vector<route>& routes();

    boost::asio::awaitable<operator_reply> check(call c);
    boost::asio::awaitable<operator_reply> apply(call c);
    boost::asio::awaitable<operator_reply> get(call c);
    boost::asio::awaitable<operator_reply> diff(call c);
    boost::asio::awaitable<operator_reply> history(call c);
    boost::asio::awaitable<operator_reply> approve(call c);
    boost::asio::awaitable<operator_reply> revoke(call c);
    boost::asio::awaitable<operator_reply> drain(call c);
    boost::asio::awaitable<operator_reply> status(call c);
    boost::asio::awaitable<operator_reply> explain(call c);
    boost::asio::awaitable<operator_reply> drafts(call c);

    bool isOperator(const std::string& key) const;
    config::change_request changeOf(const call& c) const;
    boost::asio::awaitable<operator_reply> approval(call c, bool isApproved);
    boost::asio::awaitable<config::change_outcome> change(config::change_request request);
    boost::asio::awaitable<operator_reply> replyToChange(config::change_outcome outcome);

    keyvalue::config_access* m_configuration;
    node_view* m_view;
    operator_api_settings m_settings;
};

} // namespace operators
