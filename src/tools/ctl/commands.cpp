#include "commands.h"

#include "commandtable.h"
#include "operatorclient.h"
#include "render.h"
#include "requesttrace.h"

#include "config/documentparser.h"
#include "utils/crypto.h"
#include "utils/errorkind.h"

#include <boost/json.hpp>
#include <boost/url.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace ctl {

namespace json = boost::json;

namespace {

constexpr std::size_t changeIdBytes = 16;
constexpr unsigned firstHttpError = 400;

using query_list = std::vector<std::pair<std::string, std::string>>;
using renderer = std::string (*)(const json::object&);

struct input_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::string readAll(std::istream& from)
{
    std::ostringstream text;
    text << from.rdbuf();
    return text.str();
}

std::string readFile(const std::string& path)
{
    if (path == "-")
        return readAll(std::cin);
    std::ifstream file(path);
    if (!file)
        throw input_error("cannot read " + path);
    return readAll(file);
}

/// The key without the line end that editors add.
std::string readKey(const std::string& path)
{
    if (path.empty())
        throw input_error("an operator key is needed: --key-file FILE");
    std::string key = readFile(path);
    key.erase(key.find_last_not_of(" \t\r\n") + 1);
    return key;
}

std::string makeTarget(const std::string& path, const query_list& query)
{
    boost::urls::url target(path);
    for (const auto& [name, value] : query) {
        if (!value.empty())
            target.params().append({ name, value });
    }
    return std::string(target.buffer());
}

std::string joined(const std::vector<std::string>& items)
{
    std::string text;
    for (const std::string& item : items)
        text += (text.empty() ? "" : ",") + item;
    return text;
}

exit_code codeOf(const json::object& problem)
{
    const json::value* kind = problem.if_contains("kind");
    const std::string name = kind != nullptr && kind->is_string() ? std::string(kind->as_string()) : "";
    switch (utils::errorKindFromName(name).value_or(utils::error_kind::Internal)) {
    case utils::error_kind::InvalidDocument:
        return exit_code::DocumentErrors;
    case utils::error_kind::EditConflict:
        return exit_code::Conflict;
    case utils::error_kind::OperatorUnknown:
    case utils::error_kind::NotOwner:
        return exit_code::NotAllowed;
    case utils::error_kind::PlatformUnavailable:
    case utils::error_kind::NodeNotCurrent:
    case utils::error_kind::ShuttingDown:
        return exit_code::Unreachable;
    default:
        return exit_code::Failed;
    }
}

bool isMajority(const json::object& body)
{
    const json::value* spread = body.if_contains("in_force");
    const json::value* majority
        = spread != nullptr && spread->is_object() ? spread->as_object().if_contains("majority") : nullptr;
    return majority == nullptr || (majority->is_bool() && majority->as_bool());
}

class command_runner {
public:
    command_runner(const options& chosen, std::ostream& out, std::ostream& err)
        : m_options(chosen)
        , m_out(out)
        , m_err(err)
    {
    }

    exit_code run()
    {
        const std::string& name = m_options.command;
        if (name == "check")
            return check();
        if (name == "apply")
            return apply();
        if (name == "get")
            return get();
        if (name == "diff")
            return show("POST", "/v1/diff", {}, renderDiffs, readFile(argument(0)));
        if (name == "history")
            return show("GET", "/v1/history", {}, renderHistory);
        if (name == "approve" || name == "revoke")
            return change("/v1/" + name, { { "pool", argument(0) }, { "team", argument(1) } });
        if (name == "status")
            return show("GET", "/v1/status", {}, renderStatus);
        if (name == "explain")
            return show("GET", "/v1/explain",
                { { "team", argument(0) }, { "model", argument(1) }, { "chat", argument(2) } }, renderSteps);
        if (name == "drain")
            return change(
                "/v1/drain", { { "server", argument(0) }, { "undo", m_options.isUndo ? "1" : "" } });
        if (name == "trace")
            return trace();
        if (name == "drafts")
            return show("GET", "/v1/drafts", { { "team", argument(0) } }, renderDrafts);
        m_out << completionScript();
        return exit_code::Done;
    }

private:
    /// Reads logs on this machine; asks no daemon.
    exit_code trace()
    {
        std::vector<std::string> lines;
        for (std::size_t i = 1; i < m_options.arguments.size(); ++i) {
            std::ifstream file(m_options.arguments[i]);
            if (!file) {
                m_err << "cannot read " << m_options.arguments[i] << '\n';
                return exit_code::Failed;
            }
            for (std::string line; std::getline(file, line);)
                lines.push_back(line);
        }
        const request_trace found = traceRequest(argument(0), lines);
        if (found.steps.empty()) {
            m_err << "no line is about " << argument(0) << '\n';
            return exit_code::Failed;
        }
        printTrace(found, m_out);
        return exit_code::Done;
    }

    std::string argument(std::size_t index) const
    {
        return index < m_options.arguments.size() ? m_options.arguments[index] : std::string();
    }

    exit_code check()
    {
        const std::string file = argument(0);
        const std::string yaml = readFile(file);
        const config::parsed_document partial = config::parsePartialDocument(yaml, file);
        const bool isWhole = !partial.value.operators.empty();
        const bool hasKey = !m_options.keyFile.empty();
        const std::vector<config::problem> problems
            = isWhole ? config::parseDocument(yaml, file).problems : partial.problems;
        m_err << config::toString(problems);
        if (!problems.empty())
            return exit_code::DocumentErrors;
        if (hasKey)
            return show(
                "POST", "/v1/check", { { "file", file } },
                [](const json::object&) {
                    return std::string("no problems, on top of the document in force\n");
                },
                yaml);
        m_out << (isWhole ? "no problems\n"
                          : "no problems in these sections; references to others were not checked: give "
                            "--key-file\n");
        return exit_code::Done;
    }

    exit_code apply()
    {
        const std::string file = argument(0);
        const std::string yaml = readFile(file);
        return change("/v1/apply",
            { { "file", file }, { "base", m_options.base }, { "overwrite", m_options.overwrites ? "1" : "" },
                { "delete", m_options.deletes } },
            yaml);
    }

    exit_code get()
    {
        const query_list query { { "section", joined(m_options.arguments) } };
        return show("GET", "/v1/config", query, [](const json::object& body) {
            const json::value* yaml = body.if_contains("yaml");
            return yaml != nullptr && yaml->is_string() ? std::string(yaml->as_string()) : std::string();
        });
    }

    exit_code change(const std::string& path, query_list query, const std::string& body = {})
    {
        m_changeId = m_options.changeId;
        if (m_changeId.empty()) {
            const std::string bytes = utils::randomBytes(changeIdBytes);
            m_changeId = utils::toHex({ reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size() });
        }
        query.emplace_back("change", m_changeId);
        return show("POST", path, query, renderChange, body);
    }

    exit_code show(const std::string& method, const std::string& path, const query_list& query,
        renderer render, const std::string& body = {})
    {
        operator_client client(m_options.endpoints, readKey(m_options.keyFile), m_options.timeout);
        const client_answer answer = client.ask(method, makeTarget(path, query), body);
        if (answer.isAmbiguous && !m_changeId.empty())
            return tellUnknown();
        if (answer.status == 0) {
            m_err << "no daemon answered at " << joined(m_options.endpoints) << ": " << answer.error << '\n';
            return exit_code::Unreachable;
        }
        const bool isRefused = answer.status >= firstHttpError;
        print(answer.body, isRefused ? renderProblem : render, isRefused);
        if (isRefused)
            return codeOf(answer.body);
        if (const json::value* warning = answer.body.if_contains("warning"))
            m_err << "warning: " << warning->as_string().c_str() << '\n';
        return isMajority(answer.body) ? exit_code::Done : exit_code::NotInForce;
    }

    exit_code tellUnknown()
    {
        m_err << "whether the change took effect is not known. Ask again with the same id:\n  --change "
              << m_changeId << '\n';
        return exit_code::OutcomeUnknown;
    }

    void print(const json::object& body, renderer render, bool isRefused)
    {
        std::ostream& to = isRefused && m_options.output == output_format::Table ? m_err : m_out;
        if (m_options.output == output_format::Json)
            to << json::serialize(body) << '\n';
        else if (m_options.output == output_format::Yaml)
            to << renderYaml(body);
        else
            to << render(body);
    }

    const options& m_options;
    std::ostream& m_out;
    std::ostream& m_err;
    std::string m_changeId; ///< empty for a command that changes nothing
};

} // namespace

exit_code runCommand(const options& chosen, std::ostream& out, std::ostream& err)
{
    try {
        return command_runner(chosen, out, err).run();
    } catch (const input_error& e) {
        err << e.what() << '\n';
        return exit_code::Usage;
    } catch (const std::exception& e) {
        err << "internal error: " << e.what() << '\n';
        return exit_code::Failed;
    }
}

} // namespace ctl
