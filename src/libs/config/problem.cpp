#include "problem.h"

namespace config {

std::string toString(const problem& p)
{
    std::string line = p.file;
    if (p.line > 0)
        line += ':' + std::to_string(p.line) + ':' + std::to_string(p.column);
    line += ": ";
    if (!p.path.empty())
        line += p.path + ": ";
    return line + p.message;
}

std::string toString(const std::vector<problem>& problems)
{
    std::string text;
    for (const problem& p : problems)
        text += toString(p) + '\n';
    return text;
}

} // namespace config
