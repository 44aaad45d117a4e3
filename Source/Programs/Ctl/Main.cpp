// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/FiberRuntime.h"
#include "Common/Program.h"
#include "Operator/Commands.h"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <charconv>
#include <cstdlib>
#include <iostream>

using namespace Brassladder;

ABSL_FLAG(std::string, log, "", "The platform's log service, ADDRESS:PORT");
ABSL_FLAG(std::vector<std::string>, routers, {}, "Routers, ADDRESS:PORT separated by commas");
ABSL_FLAG(
    std::vector<std::string>, base, {}, "publish: base versions of files, NAME@VERSION; default: the active version");
ABSL_FLAG(std::vector<std::string>, logs, {}, "explain: log files of routers, separated by commas");
ABSL_FLAG(std::vector<std::string>, metrics, {},
    "fleet, suspects, lift: metrics endpoints of routers that serve routes, ADDRESS:PORT separated by commas");
ABSL_FLAG(absl::Duration, max_age, absl::Seconds(4),
    "fleet: maximum time since state was confirmed, before a router is behind");
ABSL_FLAG(bool, json, false, "Print JSON");

static constexpr const char* usage = R"(Validates and publishes configuration, and inspects routers.
  brassladder-ctl validate FOLDER                  validate configuration files
  brassladder-ctl diff FOLDER --log=A:P            compare them with the active configuration
  brassladder-ctl publish FOLDER --log=A:P         publish them
  brassladder-ctl status --routers=A:P,...         state of routers
  brassladder-ctl explain ID --routers=A:P,...     timeline of a request
  brassladder-ctl explain ID --logs=FILE,...       the same from the logs of routers of either interface
  brassladder-ctl fleet --metrics=A:P,...          roles and age of state of routers that serve routes
  brassladder-ctl suspects --metrics=A:P,...       requests suspected of crashing upstreams, and their state
  brassladder-ctl lift ID --metrics=A:P,...        release a suspected request
  brassladder-ctl drain --routers=A:P,...          drain routers before a stop
The fleet key is read from the environment variable BRASSLADDER_FLEET_KEY.
Exit codes: 0 done, 1 failed, 2 usage, 3 invalid files, 4 conflict, 5 files differ or
routers are behind.)";

static std::map<std::string, uint64_t> baseVersionsOrExit()
{
    std::map<std::string, uint64_t> baseVersions;
    for (const auto& item : absl::GetFlag(FLAGS_base)) {
        auto at = item.rfind('@');
        uint64_t version = 0;
        auto digits = at == std::string::npos ? std::string() : item.substr(at + 1);
        auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), version);
        if (digits.empty() || problem != std::errc {} || *end) {
            std::cerr << "invalid --base, expected NAME@VERSION, got " << item << "\n";
            Common::exitProcess(Common::ExitCode::Usage);
        }
        baseVersions[item.substr(0, at)] = version;
    }
    return baseVersions;
}

int main(int argc, char** argv)
{
    auto words = Common::parseCommandLine(argc, argv, usage);
    Operator::CtlOptions options;
    if (auto log = absl::GetFlag(FLAGS_log); !log.empty())
        options.log = Common::endpointOrExit(log);
    for (const auto& router : absl::GetFlag(FLAGS_routers))
        options.routers.push_back(Common::endpointOrExit(router));
    for (const auto& address : absl::GetFlag(FLAGS_metrics))
        options.metrics.push_back(Common::endpointOrExit(address));
    options.maxAge = Common::Milliseconds(absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_max_age)));
    options.logFiles = absl::GetFlag(FLAGS_logs);
    if (const char* key = std::getenv("BRASSLADDER_FLEET_KEY"))
        options.fleetKey = key;
    options.baseVersions = baseVersionsOrExit();
    options.json = absl::GetFlag(FLAGS_json);
    auto& runtime = Common::FiberRuntime::start(1);
    auto exit = runtime.call([&] { return Operator::runCommand(words, options); });
    Common::exitProcess(static_cast<Common::ExitCode>(exit));
}
