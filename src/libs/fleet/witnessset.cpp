#include "witnessset.h"

#include "utils/hashing.h"

#include <algorithm>
#include <map>

namespace fleet {

namespace {

constexpr std::uint64_t witnessSeed = 3; // differs from the seeds for homes

std::uint64_t rankOf(const listed_vm& vm)
{
    return utils::hash64(vm.id.str(), witnessSeed);
}

} // namespace

witness_set chooseWitnesses(const std::vector<listed_vm>& list)
{
    std::map<utils::data_centre_id, std::vector<const listed_vm*>> dataCentres;
    for (const listed_vm& vm : list)
        dataCentres[vm.dataCentre].push_back(&vm);
    witness_set witnesses;
    const std::size_t perDataCentre = list.size() <= maxAllWitnesses
        ? list.size()
        : (witnessTarget + dataCentres.size() - 1) / dataCentres.size();
    for (auto& [id, vms] : dataCentres) {
        std::ranges::sort(vms, std::greater<>(), [](const listed_vm* vm) { return rankOf(*vm); });
        vms.resize(std::min(vms.size(), perDataCentre));
        for (const listed_vm* vm : vms)
            witnesses.push_back(wire::tagOf(vm->id));
    }
    std::ranges::sort(witnesses);
    return witnesses;
}

} // namespace fleet
