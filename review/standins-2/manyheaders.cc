// Case: clients send heads of many short headers, inside the limit for heads, and keep their connections open.

#include "stand.hh"

#include <algorithm>
#include <csignal>

using namespace stand;

namespace
{

constexpr int Clients = 1500;
constexpr int HeadersInTrouble = 4000;
constexpr int HeadersInCalm = 4;
constexpr std::size_t MaxHeadBytes = 16'384;
constexpr double Length = 13.0;
/// Clients that come in a second; the site has 51 requests a second, and 1.7 times that in its largest burst of all.
constexpr double ClientsPerSecond = 85.0;

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
    machines.push_back(std::make_unique<Machine>("front-1", "127.0.0.11", "zone-a", settings));
    machines[0]->start(store, {machines[0]->seed()});
    awaitReady(machines);
    Machine &machine = *machines[0];
    Load load(machines, 14);
    sleepFor(2.0);
    record("resident before: " + std::to_string(machine.residentMb()) + " MB of " + std::to_string(settings.memoryMb));

    // A path that no route has, without a key: the requests are refused with 404.
    std::string head = "GET /none HTTP/1.1\r\nHost: ficu95.example\r\nIbismast-Attempt-Id: ";
    std::string more = "\r\n";
    for (int index = 0; index < (trouble() ? HeadersInTrouble : HeadersInCalm); ++index) {
        more += "a:\r\n";
    }
    more += "\r\n";
    record("each of " + std::to_string(Clients) + " clients sends a head of "
           + std::to_string(head.size() + 16 + more.size()) + " bytes; the limit is " + std::to_string(MaxHeadBytes));
    const double begun = seconds();
    std::vector<std::unique_ptr<Connection>> connections;
    std::map<std::string, int> outcomes;
    double most = 0.0;
    std::string outcome;
    double nextRecord = 0.0;
    // No connection stays idle for the idle limit of 15 s.
    while (seconds() < begun + Length && outcome.empty()) {
        if (connections.size() < Clients
            && seconds() >= begun + static_cast<double>(connections.size()) / ClientsPerSecond) {
            auto connection = Connection::open(machine.ip(), machine.front());
            Message answer;
            if (connection && connection->write(head + newAttempt() + more) && connection->read(answer, 1.0)) {
                ++outcomes[std::to_string(answer.status())];
            } else {
                ++outcomes[connection ? "no answer" : "no connection"];
            }
            connections.push_back(std::move(connection));
        } else {
            sleepFor(0.005);
        }
        if (!machine.running()) {
            outcome = "the process has ended";
            break;
        }
        const double resident = machine.residentMb();
        most = std::max(most, resident);
        if (seconds() > nextRecord) {
            nextRecord = seconds() + 0.5;
            record(std::to_string(connections.size()) + " clients, resident " + std::to_string(resident) + " MB");
        }
        if (resident > settings.memoryMb) {
            outcome = "with " + std::to_string(connections.size()) + " clients the process holds "
                + std::to_string(resident) + " MB of " + std::to_string(settings.memoryMb)
                + " MB: the platform kills it";
            record(outcome);
            machine.signal(SIGKILL);
        }
    }
    sleepFor(0.5);
    for (const auto &[name, count] : outcomes) {
        record("clients answered with " + name + ": " + std::to_string(count));
    }
    finishMemoryCase(load, outcome.empty() ? 0 : 1, most);
}
