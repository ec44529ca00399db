#include "commands.h"
#include "commandtable.h"

#include "config/fieldformats.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>

// NOLINTBEGIN: gflags names flags and writes their objects.
DEFINE_string(endpoints, "", "operators' addresses of the daemons");
DEFINE_string(key_file, "", "file with the operator key");
DEFINE_string(output, "table", "table, json or yaml");
DEFINE_int32(timeout, 30, "longest wait for one daemon, in seconds");
DEFINE_string(base, "", "the revision that was edited");
DEFINE_bool(overwrite, false, "write over sections that somebody changed since");
DEFINE_string(delete, "", "sections to delete");
DEFINE_bool(undo, false, "bring a drained server back");
DEFINE_string(change, "", "id of the change");
// NOLINTEND

namespace {

using namespace ctl;

int leave(exit_code code)
{
    return static_cast<int>(code);
}

int wrongUsage(const std::string& what)
{
    std::cerr << what << "\nlycheefrontctl --help tells how it is used\n";
    return leave(exit_code::Usage);
}

std::string fromEnvironment(const std::string& value, const char* variable, const char* fallback)
{
    if (!value.empty())
        return value;
    const char* set = std::getenv(variable); // NOLINT(concurrency-mt-unsafe): one thread
    return set != nullptr ? set : fallback;
}

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> items;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        items.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return items;
}

std::optional<output_format> formatFromName(const std::string& name)
{
    if (name == "table")
        return output_format::Table;
    if (name == "json")
        return output_format::Json;
    if (name == "yaml")
        return output_format::Yaml;
    return std::nullopt;
}

/// Prints the help that the command line asks for, if it does.
bool isHelpGiven(const std::vector<std::string>& words)
{
    const auto isHelp = [](const std::string& w) { return w == "help" || w == "--help" || w == "-h"; };
    if (!words.empty() && std::ranges::none_of(words, isHelp))
        return false;
    for (const std::string& word : words) {
        if (const command_info* command = findCommand(word)) {
            std::cout << helpText(*command);
            return true;
        }
    }
    std::cout << overviewText();
    return true;
}

/// The first flag that there is not. gflags would leave with 1 for it, which means "refused" here.
std::optional<std::string> findUnknownFlag(const std::vector<std::string>& words)
{
    for (const std::string& word : words) {
        if (!word.starts_with("--") || word == "--")
            continue;
        std::string name = word.substr(2, word.find('=') - 2);
        std::ranges::replace(name, '_', '-');
        if (std::ranges::find(flagTable(), name, &flag_info::name) == flagTable().end())
            return word;
    }
    return std::nullopt;
}

int run(const std::vector<std::string>& words)
{
    const command_info* command = findCommand(words.front());
    if (command == nullptr)
        return wrongUsage("there is no command \"" + words.front() + '"');
    options chosen;
    chosen.command = words.front();
    chosen.arguments.assign(words.begin() + 1, words.end());
    const std::size_t given = chosen.arguments.size();
    if (given < command->fewestArguments || given > command->mostArguments)
        return wrongUsage("usage: lycheefrontctl " + chosen.command + ' ' + std::string(command->arguments));
    const std::optional<output_format> format = formatFromName(FLAGS_output);
    if (!format)
        return wrongUsage("--output takes table, json or yaml");
    chosen.output = *format;
    chosen.endpoints = splitList(fromEnvironment(FLAGS_endpoints, "LYCHEEFRONT_ENDPOINTS", "127.0.0.1:8181"));
    if (!std::ranges::all_of(chosen.endpoints, config::isAddress))
        return wrongUsage("--endpoints takes ip:port,ip:port,...");
    if (FLAGS_timeout <= 0)
        return wrongUsage("--timeout takes seconds above 0");
    chosen.timeout = std::chrono::seconds(FLAGS_timeout);
    chosen.keyFile = fromEnvironment(FLAGS_key_file, "LYCHEEFRONT_KEY_FILE", "");
    chosen.base = FLAGS_base;
    chosen.overwrites = FLAGS_overwrite;
    chosen.deletes = FLAGS_delete;
    chosen.isUndo = FLAGS_undo;
    chosen.changeId = FLAGS_change;
    return leave(runCommand(chosen, std::cout, std::cerr));
}

} // namespace

/// The operators' command line; commandtable.cpp has its commands.
int main(int argc, char** argv)
{
    if (isHelpGiven({ argv + 1, argv + argc }))
        return leave(exit_code::Done);
    if (const auto unknown = findUnknownFlag({ argv + 1, argv + argc }))
        return wrongUsage("there is no flag " + *unknown);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2)
        return wrongUsage("a command is needed");
    return run({ argv + 1, argv + argc });
}
