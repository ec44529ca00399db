#include "spawnedprocess.h"

#include "waituntil.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char** environ;

spawned_process::spawned_process(
    const std::string& program, const std::vector<std::string>& arguments, std::string logFile)
    : m_logFile(std::move(logFile))
{
    std::vector<std::string> owned { program };
    owned.insert(owned.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(owned.size() + 1);
    for (std::string& argument : owned)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    constexpr int logMode = 0600;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, m_logFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // An inherited socket of a stand-in would stay open when the stand-in closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + program);
}

spawned_process::~spawned_process()
{
    kill();
}

unsigned short spawned_process::portAfter(const std::string& word) const
{
    constexpr int tries = 1000;
    for (int i = 0; i < tries; ++i) {
        std::istringstream words(log());
        for (std::string each; words >> each;) {
            unsigned port = 0;
            if (each == word && words >> port)
                return static_cast<unsigned short>(port);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    throw std::runtime_error("no line with " + word + " in " + m_logFile);
}

void spawned_process::sendSignal(int signal) const
{
    if (m_pid > 0)
        ::kill(m_pid, signal);
}

void spawned_process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

int spawned_process::wait()
{
    if (!waitUntil([this] { return !isRunning(); })) {
        kill();
        throw std::runtime_error("the process does not end: " + log());
    }
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

bool spawned_process::isRunning()
{
    if (m_pid <= 0)
        return false;
    if (::waitpid(m_pid, &m_status, WNOHANG) == 0)
        return true;
    m_pid = -1;
    return false;
}

std::string spawned_process::log() const
{
    std::ifstream file(m_logFile);
    return { std::istreambuf_iterator<char>(file), {} };
}
