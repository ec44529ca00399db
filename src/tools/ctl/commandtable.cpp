#include "commandtable.h"

#include <algorithm>
#include <array>

namespace ctl {

namespace {

constexpr std::array commands {
    command_info { "check", "FILE", 1, 1, "check a document and list every problem with its place",
        "FILE may hold the whole document or only some sections; \"-\" reads standard input. With "
        "--key-file\n"
        "the sections are also checked on top of the document in force, so that references to other\n"
        "sections are seen. Leaves with 2 if there are problems.",
        "  lycheefrontctl check document.yaml\n"
        "  lycheefrontctl check --key-file ~/.lycheefront/key my-team.yaml\n" },
    command_info { "apply", "FILE", 1, 1, "put the sections of a file in force",
        "Writes each section of FILE that differs; sections that FILE does not name stay. \"revision\" in\n"
        "FILE (get writes it) is the revision you edited: a section that somebody changed since is not\n"
        "written over, you get the difference and leave with 3. A lost answer is asked for again with the\n"
        "same change id, so the change is never made twice and never called failed when it was made.",
        "  lycheefrontctl get teams/counter-app > team.yaml\n"
        "  $EDITOR team.yaml\n"
        "  lycheefrontctl apply team.yaml\n"
        "  lycheefrontctl apply --delete teams/old-app team.yaml\n" },
    command_info { "get", "[SECTION...]", 0, anyNumber, "print the document, or some of its sections",
        "The text can be edited and applied. Sections are named kind/id, such as pools/press.",
        "  lycheefrontctl get > document.yaml\n"
        "  lycheefrontctl get pools/press teams/counter-app\n" },
    command_info { "diff", "FILE", 1, 1, "show how a file differs from the document in force",
        "Lines with - are in force, lines with + stand in FILE. Sections that FILE does not name are left "
        "out.",
        "  lycheefrontctl diff team.yaml\n" },
    command_info { "history", "", 0, 0, "list the latest accepted changes, newest first",
        "Shows who changed which sections, when, and the change id, which also finds a change whose answer\n"
        "was lost.",
        "  lycheefrontctl history\n  lycheefrontctl history --output json\n" },
    command_info { "approve", "POOL TEAM", 2, 2, "let a calling team use a pool that you own",
        "An approval takes effect when both sides name each other: the pool's section names the team (this\n"
        "command), and the team's section names the pool under \"uses\".",
        "  lycheefrontctl approve press counter-app\n" },
    command_info { "revoke", "POOL TEAM", 2, 2, "take an approval back",
        "From the revision printed on, no request of the team reaches the pool; requests that wait are "
        "refused\n"
        "when their turn comes. What already runs is not cut off.",
        "  lycheefrontctl revoke press counter-app\n" },
    command_info { "status", "", 0, 0, "show nodes, backend servers, queues and measures",
        "As the node that answers sees them: whether each node is current and which revision is in force\n"
        "there, the requests in progress on each backend server, and what waits.",
        "  lycheefrontctl status\n  lycheefrontctl status --output yaml\n" },
    command_info { "explain", "TEAM MODEL [CHAT]", 2, 3, "show why a chat would go where it goes",
        "Lists the decisions in order: key and approval, limits, ranking of the engines, load bound. For a\n"
        "request that was refused it shows the step that refuses it.",
        "  lycheefrontctl explain counter-app thesis-large\n"
        "  lycheefrontctl explain counter-app thesis-large chat-4711\n" },
    command_info { "drain", "SERVER", 1, 1, "let a backend server leave: nothing new, the rest is finished",
        "Marks the server as leaving in its pool's section. Within seconds it receives no new work; watch "
        "its\n"
        "requests in progress go to 0 in status before you stop it. --undo brings it back.",
        "  lycheefrontctl drain engine-1\n  lycheefrontctl drain --undo engine-1\n" },
    command_info { "trace", "REQUEST FILE...", 2, anyNumber, "show what the logs tell about one request",
        "Reads logs of the nodes (files, one JSON object a line), puts the lines about the request in the\n"
        "order of their times, names the line that decided, and what nodes learned shortly before.",
        "  lycheefrontctl trace 9c41d07be2a35f68 node-1.log node-2.log\n" },
    command_info { "drafts", "[TEAM]", 0, 1, "list the drafts kept in the platform", "",
        "  lycheefrontctl drafts\n  lycheefrontctl drafts counter-app\n" },
    command_info { "completion", "", 0, 0, "print a completion script for bash", "",
        "  lycheefrontctl completion > /etc/bash_completion.d/lycheefrontctl\n" },
};

constexpr std::array flags {
    flag_info { "endpoints", "IP:PORT,...",
        "operators' addresses of the daemons, tried in turn "
        "(or LYCHEEFRONT_ENDPOINTS; 127.0.0.1:8181)" },
    flag_info { "key-file", "FILE", "file with your operator key (or LYCHEEFRONT_KEY_FILE)" },
    flag_info { "output", "FORMAT", "table, json or yaml" },
    flag_info { "timeout", "SECONDS", "longest wait for one daemon" },
    flag_info { "base", "REVISION", "apply: the revision that you edited, instead of the file's" },
    flag_info { "overwrite", "", "apply: write also over sections that somebody changed since" },
    flag_info { "delete", "SECTION,...", "apply: delete these sections" },
    flag_info { "undo", "", "drain: bring the server back" },
    flag_info { "change", "ID", "the id of the change, to ask for its outcome again" },
    flag_info { "help", "", "this help, or that of a command" },
};

constexpr std::size_t nameWidth = 12;

std::string padded(std::string_view text, std::size_t width)
{
    std::string line(text);
    line.resize(std::max(line.size() + 1, width), ' ');
    return line;
}

} // namespace

std::span<const command_info> commandTable()
{
    return commands;
}

std::span<const flag_info> flagTable()
{
    return flags;
}

const command_info* findCommand(std::string_view name)
{
    const auto found = std::ranges::find(commands, name, &command_info::name);
    return found == commands.end() ? nullptr : &*found;
}

std::string overviewText()
{
    constexpr std::size_t flagWidth = 26;
    std::string text = "lycheefrontctl - operate a lycheefront fleet\n\n"
                       "Usage: lycheefrontctl COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n";
    for (const command_info& command : commands)
        text += "  " + padded(command.name, nameWidth) + std::string(command.summary) + '\n';
    text += "\nFlags:\n";
    for (const flag_info& flag : flags) {
        const std::string name = "--" + std::string(flag.name) + ' ' + std::string(flag.value);
        text += "  " + padded(name, flagWidth) + std::string(flag.meaning) + '\n';
    }
    text += "\nFirst steps:\n"
            "  lycheefrontctl check document.yaml\n"
            "  lycheefrontctl apply --key-file admin.key document.yaml\n"
            "  lycheefrontctl status --key-file admin.key\n"
            "\nlycheefrontctl help COMMAND tells more about one command.\n"
            "Exit codes: 0 done, 1 refused, 2 errors in the document, 3 conflict, 4 not allowed,\n"
            "5 unreachable and nothing changed, 6 outcome unknown, 7 accepted but not yet in force on a\n"
            "majority, 64 wrong command line.\n";
    return text;
}

std::string helpText(const command_info& command)
{
    std::string text = "Usage: lycheefrontctl " + std::string(command.name) + ' '
        + std::string(command.arguments) + "\n\n" + std::string(command.summary) + ".\n";
    if (!command.details.empty())
        text += '\n' + std::string(command.details) + '\n';
    return text + "\nExamples:\n" + std::string(command.examples);
}

std::string completionScript()
{
    std::string names;
    for (const command_info& command : commands)
        names += std::string(command.name) + ' ';
    std::string flagNames;
    for (const flag_info& flag : flags)
        flagNames += "--" + std::string(flag.name) + ' ';
    return "# bash completion of lycheefrontctl\n"
           "_lycheefrontctl() {\n"
           "    local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}\n"
           "    if [[ $word == -* ]]; then\n"
           "        COMPREPLY=($(compgen -W '"
        + flagNames
        + "' -- \"$word\"))\n"
          "    elif [[ $previous == --output ]]; then\n"
          "        COMPREPLY=($(compgen -W 'table json yaml' -- \"$word\"))\n"
          "    elif [[ $COMP_CWORD -eq 1 ]]; then\n"
          "        COMPREPLY=($(compgen -W '"
        + names
        + "' -- \"$word\"))\n"
          "    else\n"
          "        COMPREPLY=($(compgen -f -- \"$word\"))\n"
          "    fi\n"
          "}\n"
          "complete -o filenames -F _lycheefrontctl lycheefrontctl\n";
}

} // namespace ctl
