// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Program.h"
#include "Testing/Fakes/FakeEngine.h"
#include "Testing/Fakes/FakePlatform.h"
#include "Testing/Fakes/FakeService.h"

#include <iostream>

using namespace Brassladder;
using Common::Json;
using Common::SettingSpec;
using Common::SettingType;

static const std::array s_table {
    SettingSpec {
        "/role", SettingType::Text, Json(), "", 0, 0, "What to stand in for", { "engine", "service", "log", "list" } },
    SettingSpec { "/id", SettingType::Text, "fake", "", 0, 0, "Name in the instance list" },
    SettingSpec { "/pool", SettingType::Text, "", "", 0, 0, "Engine, service: the pool that it serves" },
    SettingSpec { "/failure_domain", SettingType::Text, "unknown", "", 0, 0, "Engine, service: where it stands" },
    SettingSpec { "/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0, "Where it listens" },
    SettingSpec {
        "/step_us", SettingType::Integer, 5000, "us", 100, 3'600'000'000, "Engine: one step, one token for each" },
    SettingSpec { "/slots", SettingType::Integer, 8, "requests", 1, 1'000'000, "Engine: generations at once" },
    SettingSpec { "/prefill_steps", SettingType::Integer, 4, "steps", 0, 10'000,
        "Engine: before the first token without a cached prefix" },
    SettingSpec { "/paused_kept", SettingType::Integer, 64, "generations", 0, 100'000,
        "Engine: paused generations that fit its memory" },
    SettingSpec { "/report_lag_ms", SettingType::Integer, 1000, "ms", 0, 60'000, "Engine: age of its load reports" },
    SettingSpec { "/duration_ms", SettingType::Integer, 2, "ms", 0, 600'000, "Service: one call" },
    SettingSpec { "/retention_ms", SettingType::Integer, 172'800'000, "ms", 100, 1'000'000'000,
        "Log: how long records are kept" },
    SettingSpec { "/appends_per_second", SettingType::Integer, 100, "records", 1, 1'000'000, "Log: bound on appends" },
    SettingSpec { "/folder", SettingType::Text, "", "", 0, 0, "List: folder with one JSON file for each instance" },
    SettingSpec { "/lag_ms", SettingType::Integer, 200, "ms", 0, 600'000, "List: its lag" },
};

// Creates the fake and returns its handler; starts its background fiber. Fakes live until the process ends.
static Common::HttpHandler makeRole(Common::FiberRuntime& runtime, const Common::Settings& settings)
{
    auto role = settings.text("/role");
    if (role == "engine") {
        Testing::Fakes::FakeEngine::Options options;
        options.step = std::chrono::microseconds(settings.integer("/step_us"));
        options.slots = static_cast<uint32_t>(settings.integer("/slots"));
        options.prefillSteps = static_cast<uint32_t>(settings.integer("/prefill_steps"));
        options.maxPaused = static_cast<size_t>(settings.integer("/paused_kept"));
        options.reportLag = settings.milliseconds("/report_lag_ms");
        auto* engine = new Testing::Fakes::FakeEngine(options);
        runtime.spawn([engine] { engine->run(); });
        return [engine](Common::HttpExchange& exchange) { engine->handle(exchange); };
    }
    if (role == "service") {
        auto* service = new Testing::Fakes::FakeService(settings.milliseconds("/duration_ms"));
        return [service](Common::HttpExchange& exchange) { service->handle(exchange); };
    }
    if (role == "log") {
        auto* log = new Testing::Fakes::FakeLog(
            { settings.milliseconds("/retention_ms"), static_cast<uint32_t>(settings.integer("/appends_per_second")) });
        return [log](Common::HttpExchange& exchange) { log->handle(exchange); };
    }
    auto* list = new Testing::Fakes::FakeInstanceList(settings.text("/folder"), settings.milliseconds("/lag_ms"));
    runtime.spawn([list] { list->run(); });
    return [list](Common::HttpExchange& exchange) { list->handle(exchange); };
}

int main(int argc, char** argv)
{
    Common::parseCommandLine(
        argc, argv, "Fake engines, services and platform.\n  brassladder-fakes --set=/role=engine,/pool=language");
    auto settings = Common::loadSettings(s_table);
    Common::blockSignals();
    auto& runtime = Common::FiberRuntime::start(1);
    auto listen = valueOf(Common::parseListenEndpoint(settings.text("/listen")));
    auto server = Common::HttpServer::Builder(runtime).endpoint(listen).handler(makeRole(runtime, settings)).build();
    if (isError(server)) {
        std::cerr << errorOf(server).message << "\n";
        Common::exitProcess(Common::ExitCode::Failure);
    }
    Common::Endpoint endpoint { listen.address, valueOf(server)->port() };
    Common::writeReadyFile({ { "id", settings.text("/id") }, { "role", settings.text("/pool") },
        { "endpoint", endpoint.text() }, { "failure_domain", settings.text("/failure_domain") }, { "state", "live" } });
    Common::waitForStopSignal();
    Common::exitProcess(Common::ExitCode::Success);
}
