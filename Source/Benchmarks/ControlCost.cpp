// SPDX-License-Identifier: Apache-2.0
// Measures the traffic between routers and their processor time and memory for several fleet sizes: idle, per request,
// and per configuration change.
#include "Common/Precompiled.h"

#include "Common/Digest.h"
#include "Common/Program.h"
#include "Testing/Harness/Cluster.h"
#include "Testing/Load/Generator.h"

#include <absl/flags/flag.h>
#include <charconv>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace Brassladder;
using namespace std::chrono_literals;

ABSL_FLAG(std::vector<std::string>, sizes, std::vector<std::string>({ "3", "7", "15", "30" }), "Numbers of routers");

struct Usage {
    double processorSeconds { 0 };
    double residentMegabytes { 0 };
    double sent { 0 };
    double received { 0 };
    double items { 0 };
};

static double processorSeconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    // Fields 14 and 15 are user and system time in clock ticks (proc(5)). The process name in field 2 may contain
    // spaces, so the fields are counted from its closing parenthesis.
    std::istringstream rest(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        rest >> skipped;
    double user = 0;
    double system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Returns the sums over all routers.
static Usage measure(Testing::Harness::Cluster& cluster)
{
    Usage sum;
    for (const auto& id : cluster.idsOf("router")) {
        auto pid = cluster.node(id).process->pid();
        sum.processorSeconds += processorSeconds(pid);
        std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
        double pages = 0;
        file >> pages >> pages;
        sum.residentMegabytes += pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
        auto inner = cluster.status(id)["inner"];
        sum.sent += inner["bytes_sent"].get<double>();
        sum.received += inner["bytes_received"].get<double>();
        sum.items += inner["items_sent"].get<double>();
    }
    return sum;
}

static void measureSize(Common::FiberRuntime& runtime, int routers)
{
    Testing::Harness::Cluster cluster(runtime);
    for (int index = 0; index < 4; ++index)
        cluster.addEngine("engine-" + std::to_string(index), "language", { 2000, 8, 500 });
    for (int index = 0; index < routers; ++index)
        cluster.addRouter("router-" + std::to_string(index), { { "/threads", "1" } });
    cluster.publish(Testing::Harness::testConfiguration());
    std::this_thread::sleep_for(2s);
    auto rest = measure(cluster);
    std::this_thread::sleep_for(5s);
    auto later = measure(cluster);
    double nodes = routers;
    std::printf("%2d idle routers: each sends %.0f B/s, receives %.0f B/s, %.1f items/s, %.2f%% of a core, %.1f MB\n",
        routers, (later.sent - rest.sent) / 5 / nodes, (later.received - rest.received) / 5 / nodes,
        (later.items - rest.items) / 5 / nodes, 100 * (later.processorSeconds - rest.processorSeconds) / 5 / nodes,
        later.residentMegabytes / nodes);

    Testing::Load::Arrivals arrivals;
    arrivals.requestClass = "urgent";
    arrivals.key = Testing::Harness::testKey;
    arrivals.perSecond = 400;
    arrivals.medianTokens = 4;
    arrivals.target = 1000ms;
    auto before = measure(cluster);
    Testing::Load::Plan plan { 1, 5, { arrivals }, cluster.routers() };
    auto history = Testing::Load::run(runtime, plan);
    auto after = measure(cluster);
    double requests = static_cast<double>(history.size());
    double restBytes = (later.sent - rest.sent);
    std::printf("   per request: %.0f B and %.2f items between routers, %.0f us of processor time on all routers (%zu "
                "requests)\n",
        (after.sent - before.sent - restBytes) / requests,
        (after.items - before.items - (later.items - rest.items)) / requests,
        1e6 * (after.processorSeconds - before.processorSeconds - (later.processorSeconds - rest.processorSeconds))
            / requests,
        history.size());

    static constexpr int changes = 20;
    before = measure(cluster);
    auto start = Common::now();
    double longest = 0;
    for (int weight = 1; weight <= changes; ++weight) {
        Common::Json file = { { "name", "east" }, { "key_digests", { Common::sha256Hex("east") } },
            { "default_class", "chat" }, { "classes", { "chat" } }, { "weight", weight } };
        auto published = Common::now();
        cluster.publish({ { "workspace/east", Common::dumpJson(file) } });
        longest = std::max(longest, Common::toSeconds(Common::now() - published));
    }
    after = measure(cluster);
    double spent = Common::toSeconds(Common::now() - start);
    std::printf("   per change: at most %.2f s until every router applied it; %.0f B between routers\n", longest,
        (after.sent - before.sent - restBytes / 5 * spent) / changes);
    std::fflush(stdout);
}

int main(int argc, char** argv)
{
    Common::parseCommandLine(argc, argv, "Measures the cost of the traffic between routers.");
    auto& runtime = Common::FiberRuntime::start(2);
    for (const auto& text : absl::GetFlag(FLAGS_sizes)) {
        int routers = 0;
        std::from_chars(text.data(), text.data() + text.size(), routers);
        if (routers > 0 && routers <= 100)
            measureSize(runtime, routers);
    }
    Common::exitProcess(Common::ExitCode::Success);
}
