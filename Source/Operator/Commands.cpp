// SPDX-License-Identifier: Apache-2.0
#include "Operator/Commands.h"

#include "Common/HttpClient.h"
#include "Common/TargetBuilder.h"
#include "Operator/FleetReport.h"
#include "Operator/FleetView.h"
#include "Operator/LogTimeline.h"
#include "Operator/Publisher.h"
#include "Operator/RouterCall.h"
#include "Operator/SuspectReport.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace Brassladder::Operator {

using Common::Json;
using Common::member;

static CtlExit fail(const Common::Error& error)
{
    std::cerr << Common::name(error.kind) << ": " << error.message << "\n";
    return CtlExit::Failure;
}

static CtlExit printFaults(const std::vector<Common::Fault>& faults, bool json)
{
    if (json) {
        Json list = Json::array();
        for (const auto& fault : faults)
            list.push_back({ { "pointer", fault.pointer }, { "message", fault.message } });
        std::cout << Common::dumpJson({ { "faults", list } }) << "\n";
    } else {
        std::cout << (faults.empty() ? "valid\n" : Common::describe(faults));
    }
    return faults.empty() ? CtlExit::Success : CtlExit::Invalid;
}

static std::string_view changeName(Change change)
{
    switch (change) {
    case Change::Same:
        return "same";
    case Change::New:
        return "new";
    case Change::Changed:
        return "changed";
    }
    return "";
}

static CtlExit diff(const FileSet& files, const CtlOptions& options)
{
    auto changes = Publisher(ClassServing::BackingServices::httpLogService(*options.log)).diff(files);
    if (isError(changes))
        return fail(errorOf(changes));
    bool differs = false;
    Json list = Json::array();
    for (const auto& change : valueOf(changes)) {
        differs = differs || change.change != Change::Same;
        list.push_back({ { "file", change.file }, { "change", changeName(change.change) },
            { "version", change.version }, { "patch", change.patch } });
        if (options.json)
            continue;
        std::cout << changeName(change.change) << "  " << change.file << "  (active version: " << change.version
                  << ")\n";
        for (const auto& step : change.patch)
            std::cout << "    " << Common::dumpJson(step) << "\n";
    }
    if (options.json)
        std::cout << Common::dumpJson(list) << "\n";
    return differs ? CtlExit::Different : CtlExit::Success;
}

static CtlExit publish(const FileSet& files, const CtlOptions& options)
{
    if (auto faults = validate(files); !faults.empty())
        return printFaults(faults, options.json);
    auto published
        = Publisher(ClassServing::BackingServices::httpLogService(*options.log)).publish(files, options.baseVersions);
    if (isError(published))
        return fail(errorOf(published));
    auto exit = CtlExit::Success;
    Json list = Json::array();
    for (const auto& each : valueOf(published)) {
        bool accepted = each.verdict == ClassServing::Config::FoldVerdict::Accepted;
        if (!accepted)
            exit = CtlExit::Conflict;
        list.push_back({ { "file", each.file }, { "accepted", accepted }, { "version", each.version } });
        if (!options.json)
            std::cout << (accepted ? "accepted  " : "CONFLICT  ") << each.file << "  version " << each.version << "\n";
    }
    if (options.json)
        std::cout << Common::dumpJson(list) << "\n";
    else if (list.empty())
        std::cout << "nothing to publish\n";
    return exit;
}

static void printStatus(const Common::Endpoint& router, const Json& status)
{
    std::cout << router.text() << "  " << member<std::string>(status, "id", "?")
              << (member<bool>(status, "draining", false) ? "  draining" : "") << "  in flight "
              << member<uint64_t>(status, "in_flight", 0) << "\n";
    const auto& config = status["config"];
    std::cout << "  config: " << config["files"].size() << " files, held back " << config["held_back"].size()
              << ", log " << (member<bool>(config, "log_reachable", false) ? "reachable" : "UNREACHABLE")
              << (member<bool>(config, "log_replaced", false) ? ", LOG REPLACED" : "") << "\n";
    for (const auto& [name, fault] : config["held_back"].items())
        std::cout << "  held back: " << name << ": " << fault.get<std::string>();
    for (const auto& [name, shard] : status["shards"].items()) {
        if (!member<bool>(shard, "home", false))
            continue;
        std::cout << "  home of " << name << ":";
        for (size_t tier = 0; tier < shard["tiers"].size(); ++tier)
            std::cout << "  tier " << tier << " " << shard["tiers"][tier]["running"] << " run "
                      << shard["tiers"][tier]["waiting"] << " wait";
        std::cout << "\n";
    }
}

static CtlExit status(const CtlOptions& options)
{
    auto exit = CtlExit::Success;
    Json list = Json::array();
    for (const auto& router : options.routers) {
        auto answer = callRouter(router, options.fleetKey, "GET", "/admin/status");
        if (isError(answer)) {
            std::cerr << router.text() << "  " << errorOf(answer).message << "\n";
            exit = CtlExit::Failure;
            continue;
        }
        if (options.json)
            list.push_back(valueOf(answer));
        else
            printStatus(router, valueOf(answer));
    }
    if (options.json)
        std::cout << Common::dumpJson(list) << "\n";
    return exit;
}

// Any router may have handled the request, so they are queried in turn.
static CtlExit explain(const std::string& id, const CtlOptions& options)
{
    auto target = Common::TargetBuilder("/admin/explain").parameter("id", id).build();
    for (const auto& router : options.routers) {
        auto answer = callRouter(router, options.fleetKey, "GET", target);
        if (isError(answer))
            continue;
        const auto& body = valueOf(answer);
        if (options.json) {
            std::cout << Common::dumpJson(body) << "\n";
            return CtlExit::Success;
        }
        std::cout << "request " << id << " of " << body["workspace"].get<std::string>() << ", class "
                  << body["class"].get<std::string>() << ", by " << router.text() << "\n";
        for (const auto& step : body["steps"]) {
            Json details = step;
            details.erase("after_ms");
            details.erase("what");
            std::cout << std::setw(8) << step["after_ms"].get<int64_t>() << " ms  " << step["what"].get<std::string>()
                      << "  " << (details.empty() ? "" : Common::dumpJson(details)) << "\n";
        }
        return CtlExit::Success;
    }
    std::cerr << "no reachable router has a record of this request\n";
    return CtlExit::Failure;
}

static void printTimeline(const std::vector<LogTimeline::Entry>& entries, bool json)
{
    if (!json) {
        for (const auto& entry : entries)
            std::cout << entry.time << "  " << entry.instance << "  " << (entry.isRequestLine ? "" : "(state change) ")
                      << entry.event << "  " << Common::dumpJson(entry.details) << "\n";
        return;
    }
    Json list = Json::array();
    for (const auto& entry : entries)
        list.push_back({ { "time", entry.time }, { "instance", entry.instance }, { "event", entry.event },
            { "of_request", entry.isRequestLine }, { "details", entry.details } });
    std::cout << Common::dumpJson(list) << "\n";
}

static CtlExit explainFromLogs(const std::string& id, const CtlOptions& options)
{
    LogTimeline timeline(id);
    for (const auto& name : options.logFiles) {
        std::ifstream file(name);
        if (!file)
            return fail(Common::makeError(Common::ErrorKind::BadRequest, "cannot read " + name));
        timeline.read(file);
    }
    if (timeline.unreadableLines())
        std::cerr << timeline.unreadableLines() << " lines are not log lines of routers\n";
    auto entries = timeline.entries();
    if (entries.empty()) {
        std::cerr << "no log contains this request\n";
        return CtlExit::Failure;
    }
    printTimeline(entries, options.json);
    return CtlExit::Success;
}

static CtlExit drain(const CtlOptions& options)
{
    for (const auto& router : options.routers) {
        auto answer = callRouter(router, options.fleetKey, "POST", "/admin/drain");
        if (isError(answer))
            return fail(errorOf(answer));
        std::cout << router.text() << "  draining\n";
    }
    return CtlExit::Success;
}

static std::optional<RouterView> fetchRouterView(const Common::Endpoint& address)
{
    Common::HttpClientRequest call;
    call.target = "/metrics";
    auto answer = Common::callOnce(address, call);
    if (isError(answer)) {
        std::cerr << address.text() << "  " << errorOf(answer).message << "\n";
        return std::nullopt;
    }
    auto view = parseRouterView(address, valueOf(answer).body);
    if (!view)
        std::cerr << address.text() << "  metrics are not from a router that serves routes\n";
    return view;
}

// Shows the role, the duties and the age of the state of each router. Reports routers that are behind or do not
// respond.
static CtlExit fleet(const CtlOptions& options)
{
    std::vector<RouterView> routers;
    for (const auto& address : options.metrics) {
        if (auto view = fetchRouterView(address))
            routers.push_back(*view);
    }
    bool isAnyBehind = routers.size() < options.metrics.size();
    Json list = Json::array();
    for (const auto& router : routers) {
        auto behind = staleReason(router, routers, options.maxAge);
        isAnyBehind |= !behind.empty();
        if (options.json)
            list.push_back(toJson(router, behind));
        else
            std::cout << toLine(router, behind) << "\n";
    }
    if (options.json)
        std::cout << Common::dumpJson(list) << "\n";
    return isAnyBehind ? CtlExit::Different : CtlExit::Success;
}

// Shows the requests suspected of crashing upstreams, merged from all routers.
static CtlExit suspects(const CtlOptions& options)
{
    auto exit = CtlExit::Success;
    std::vector<Json> lists;
    for (const auto& address : options.metrics) {
        auto answer = callRouter(address, options.fleetKey, "GET", "/suspects");
        if (isError(answer)) {
            std::cerr << address.text() << "  " << errorOf(answer).message << "\n";
            exit = CtlExit::Failure;
            continue;
        }
        lists.push_back(valueOf(answer).value("suspects", Json::array()));
    }
    auto merged = mergeSuspects(lists);
    if (options.json) {
        std::cout << Common::dumpJson(merged) << "\n";
        return exit;
    }
    for (const auto& suspect : merged)
        std::cout << toText(suspect);
    if (merged.empty())
        std::cout << "no suspects\n";
    return exit;
}

// Stops at the first router that accepts the request; it notifies the others.
static CtlExit lift(const std::string& identity, const CtlOptions& options)
{
    auto target = Common::TargetBuilder("/suspects/lift").parameter("id", identity).build();
    for (const auto& address : options.metrics) {
        if (isError(callRouter(address, options.fleetKey, "POST", target)))
            continue;
        std::cout << "lifted at " << address.text() << "\n";
        return CtlExit::Success;
    }
    std::cerr << "no reachable router has a record of this suspect\n";
    return CtlExit::Failure;
}

// The arguments and options that a command requires.
struct CommandSpec {
    std::string_view name;
    bool takesArgument { false }; // A folder, a request id or the identity of a suspect.
    bool needsRouters { false };
    bool needsLog { false };
    bool needsMetrics { false };
};

// Name, takesArgument, needsRouters, needsLog, needsMetrics.
static constexpr std::array s_commands { CommandSpec { "validate", true, false, false },
    CommandSpec { "diff", true, false, true }, CommandSpec { "publish", true, false, true },
    CommandSpec { "status", false, true, false }, CommandSpec { "explain", true, true, false },
    CommandSpec { "drain", false, true, false }, CommandSpec { "fleet", false, false, false, true },
    CommandSpec { "suspects", false, false, false, true }, CommandSpec { "lift", true, false, false, true } };

static CtlExit usageError(const std::string& message)
{
    std::cerr << message << "\n";
    return CtlExit::Usage;
}

static CtlExit runOnFiles(std::string_view command, const std::string& folder, const CtlOptions& options)
{
    auto files = readConfigurationFolder(folder);
    if (isError(files))
        return fail(errorOf(files));
    if (command == "validate")
        return printFaults(validate(valueOf(files)), options.json);
    return command == "diff" ? diff(valueOf(files), options) : publish(valueOf(files), options);
}

CtlExit runCommand(std::span<const std::string> words, const CtlOptions& options)
{
    std::string name = words.empty() ? "" : words[0];
    const auto* command
        = std::find_if(s_commands.begin(), s_commands.end(), [&](const auto& each) { return each.name == name; });
    if (command == s_commands.end() || words.size() != (command->takesArgument ? 2U : 1U))
        return usageError("unknown command or wrong number of arguments; see brassladder-ctl --help");
    if (name == "explain" && !options.logFiles.empty())
        return explainFromLogs(words[1], options);
    if (command->needsRouters && options.routers.empty())
        return usageError(name + " needs --routers" + (name == "explain" ? " or --logs" : ""));
    if (command->needsLog && !options.log)
        return usageError(name + " needs --log");
    if (command->needsMetrics && options.metrics.empty())
        return usageError(name + " needs --metrics");
    if (name == "fleet")
        return fleet(options);
    if (name == "suspects")
        return suspects(options);
    if (name == "lift")
        return lift(words[1], options);
    if (name == "status")
        return status(options);
    if (name == "explain")
        return explain(words[1], options);
    if (name == "drain")
        return drain(options);
    return runOnFiles(name, words[1], options);
}

} // namespace Brassladder::Operator
