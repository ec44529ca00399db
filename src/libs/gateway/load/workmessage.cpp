#include "workmessage.h"

#include "gateway/peers/datagramcodec.h"

#include "utils/hashing.h"

#include <algorithm>
#include <cmath>

namespace gateway {

namespace {

double sensibleWork(float work)
{
    return std::isfinite(work) && work > 0 ? work : 0;
}

} // namespace

std::uint32_t workspaceHash(const std::string& name)
{
    return name.empty() ? 0 : std::max(1U, static_cast<std::uint32_t>(utils::hash64(name)));
}

std::string encodeWork(
    const std::string& node, const std::string& service, const decisions::offered_work_update& update)
{
    if (node.size() + service.size() >= work_message::firstByte)
        return {};
    work_message message { node, service, {}, {}, update.otherWorkspaces };
    for (std::size_t i = 0; i < update.byUrgency.size(); ++i) {
        if (update.byUrgency[i] > 0)
            message.byUrgency.push_back(
                { static_cast<std::uint8_t>(i), static_cast<float>(update.byUrgency[i]) });
    }
    for (const decisions::workspace_work& entry : update.heaviest)
        message.heaviest.push_back(
            { static_cast<std::uint32_t>(entry.workspace), static_cast<float>(entry.work) });
    std::string bytes = detail::encodeMessage(message);
    while (bytes.size() >= work_message::firstByte && !message.heaviest.empty()) {
        message.heaviest.pop_back();
        ++message.otherWorkspaces;
        bytes = detail::encodeMessage(message);
    }
    return bytes.size() < work_message::firstByte ? bytes : std::string();
}

decisions::offered_work_update updateOf(const work_message& message)
{
    decisions::offered_work_update update;
    for (const urgency_work& entry : message.byUrgency)
        update.byUrgency[decisions::urgencyIndex(entry.urgency)] += sensibleWork(entry.work);
    for (const named_work& entry : message.heaviest)
        update.heaviest.push_back({ entry.workspace, sensibleWork(entry.work) });
    update.otherWorkspaces = message.otherWorkspaces;
    return update;
}

} // namespace gateway
