#pragma once

#include <span>
#include <string>
#include <string_view>

namespace ctl {

/// One command as the help, the completion and the command line know it.
struct command_info {
    std::string_view name;
    std::string_view arguments;
    std::size_t fewestArguments = 0;
    std::size_t mostArguments = 0;
    std::string_view summary;
    std::string_view details;
    std::string_view examples;
};

/// A flag that any command takes.
struct flag_info {
    std::string_view name;
    std::string_view value; ///< empty: a switch
    std::string_view meaning;
};

inline constexpr std::size_t anyNumber = 1000;

/// All commands, in the order of the help. Thread safe.
std::span<const command_info> commandTable();
std::span<const flag_info> flagTable();
/// The command of that name, or null. Thread safe.
const command_info* findCommand(std::string_view name);

/// The help without a command, and of one command. Thread safe.
std::string overviewText();
std::string helpText(const command_info& command);
/// A bash completion script. Thread safe.
std::string completionScript();

} // namespace ctl
