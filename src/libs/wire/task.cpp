#include "task.h"

#include "utils/eventlog.h"

#include <string>

namespace wire {

namespace {

std::string textOf(const std::exception_ptr& error)
{
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& known) {
        return known.what();
    } catch (...) {
        return "unknown";
    }
}

} // namespace

void logTaskFailure(std::string_view task, const std::exception_ptr& error)
{
    utils::logEvent(utils::event::TaskFailed, { { "task", std::string(task) }, { "detail", textOf(error) } });
}

void runEventLoop(boost::asio::io_context& io)
{
    while (true) {
        try {
            io.run();
            return;
        } catch (...) {
            logTaskFailure("event_loop", std::current_exception());
        }
    }
}

} // namespace wire
