#include "softassert.h"

#include "eventlog.h"

namespace utils {

void reportSoftAssert(const char* condition, const char* file, int line)
{
    logEvent(event::SoftAssert,
        { { "condition", condition }, { "file", file }, { "line", std::to_string(line) } });
}

} // namespace utils
