// Case: another writer puts one odd entry among those of the servers.

#include "stand.hh"

#include <algorithm>
#include <csignal>

using namespace stand;

namespace
{

constexpr double TroubleAt = 5.0;
constexpr double Length = 25.0;
/// The store takes values of up to 1,048,576 bytes.
constexpr std::size_t ValueBytes = 1'000'000;

} // namespace

int main(int, char **argv)
{
    openRecord(argv[1]);
    const MachineSettings settings;
    Store store;
    store.put("op/config", PlainConfig);
    std::vector<std::unique_ptr<Server>> servers;
    for (int index = 0; index < 3; ++index) {
        servers.push_back(
            std::make_unique<Server>(store, "i-app" + std::to_string(index), PlainService, "zone-a", 6, &Load::serve));
    }
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::string> seeds;
    for (int index = 0; index < 3; ++index) {
        machines.push_back(std::make_unique<Machine>("front-" + std::to_string(index + 1),
                                                     "127.0.0." + std::to_string(11 + index),
                                                     "zone-" + std::string(1, static_cast<char>('a' + index)),
                                                     settings));
        seeds.push_back(machines.back()->seed());
    }
    for (const auto &machine : machines) {
        machine->start(store, seeds);
    }
    awaitReady(machines);
    const double start = seconds();
    Load load(machines, 6);
    bool odd = false;
    double most = 0.0;
    std::set<std::string> gone;
    double nextRecord = 0.0;
    while (seconds() < start + Length && gone.size() < machines.size()) {
        sleepFor(0.05);
        if (trouble() && !odd && seconds() > start + TroubleAt) {
            odd = true;
            store.put("servers/canary&blue", std::string(ValueBytes, '\xff'));
            record("another writer has put servers/canary&blue, " + std::to_string(ValueBytes)
                   + " bytes that cannot be read");
        }
        const bool report = seconds() > nextRecord;
        for (const auto &machine : machines) {
            if (gone.contains(machine->name())) {
                continue;
            }
            if (!machine->running()) {
                gone.insert(machine->name());
                continue;
            }
            const double resident = machine->residentMb();
            most = std::max(most, resident);
            if (report) {
                record(machine->name() + " holds " + std::to_string(resident)
                       + " MB; pages of servers read in all: " + std::to_string(store.pages));
            }
            if (resident > settings.memoryMb) {
                record(machine->name() + " holds " + std::to_string(resident) + " MB of "
                       + std::to_string(settings.memoryMb) + " MB: the platform kills it");
                machine->signal(SIGKILL);
                gone.insert(machine->name());
            }
        }
        nextRecord = report ? seconds() + 1.0 : nextRecord;
    }
    sleepFor(1.0);
    finishMemoryCase(load, static_cast<int>(gone.size()), most);
}
