#include "processfailure.h"

#include "eventcatalogue.h"

#include <array>
#include <charconv>
#include <csignal>
#include <ctime>
#include <string_view>
#include <unistd.h>

namespace utils {

namespace {

constexpr std::array fatalSignals { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT };

/// A line of bounded length that is composed without the heap, which a signal handler must not use.
class signal_safe_line {
public:
    void add(std::string_view text)
    {
        for (const char character : text) {
            if (m_size < m_bytes.size())
                m_bytes[m_size++] = character;
        }
    }
    void add(long long number)
    {
        std::array<char, 24> digits {};
        const auto [end, status] = std::to_chars(digits.data(), digits.data() + digits.size(), number);
        add({ digits.data(), end });
    }
    void write() const
    {
        // Nothing can be done about a write that fails.
        [[maybe_unused]] const ssize_t written = ::write(STDOUT_FILENO, m_bytes.data(), m_size);
    }

private:
    std::array<char, 256> m_bytes {};
    std::size_t m_size = 0;
};

void onFatalSignal(int signal)
{
    timespec present {};
    clock_gettime(CLOCK_REALTIME, &present);
    signal_safe_line line;
    line.add("\n{\"unix_seconds\":");
    line.add(static_cast<long long>(present.tv_sec));
    line.add(",\"event\":");
    line.add(static_cast<long long>(event::ProcessFailed));
    line.add(",\"name\":\"process_failed\",\"severity\":\"error\",\"signal\":\"");
    line.add(static_cast<long long>(signal));
    line.add("\"}\n");
    line.write();
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

} // namespace

void reportProcessFailures()
{
    // An exception that nothing catches ends in SIGABRT.
    for (const int signal : fatalSignals)
        std::signal(signal, onFatalSignal);
}

} // namespace utils
