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
    std::vector<std::string>, base, {}, "publish: NAME@VERSION that a file was written against; else the one in force");
ABSL_FLAG(std::vector<std::string>, logs, {}, "explain: files with the logs of routers, separated by commas");
ABSL_FLAG(std::vector<std::string>, metrics, {},
    "fleet, suspects, lift: where routers that serve routes expose metrics, ADDRESS:PORT separated by commas");
ABSL_FLAG(absl::Duration, max_age, absl::Seconds(4), "fleet: state that was confirmed longer ago is behind");
ABSL_FLAG(bool, json, false, "Print JSON");

static constexpr const char* usage = R"(Checks, publishes and explains.
  brassladder-ctl validate FOLDER                  check configuration files
  brassladder-ctl diff FOLDER --log=A:P            compare them with what is in force
  brassladder-ctl publish FOLDER --log=A:P         put them in force
  brassladder-ctl status --routers=A:P,...         state of instances
  brassladder-ctl explain ID --routers=A:P,...     what happened to a request
  brassladder-ctl explain ID --logs=FILE,...       the same from the logs of routers, whatever interface they served
  brassladder-ctl fleet --metrics=A:P,...          roles and age of state of routers that serve routes
  brassladder-ctl suspects --metrics=A:P,...       requests under which upstreams crashed, and which are held back
  brassladder-ctl lift ID --metrics=A:P,...        send one of them on again
  brassladder-ctl drain --routers=A:P,...          planned stop of instances
The fleet's key is read from the environment variable BRASSLADDER_FLEET_KEY.
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
            std::cerr << "--base takes NAME@VERSION, got " << item << "\n";
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
