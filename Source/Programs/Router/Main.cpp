// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Frontend/ClassRouter.h"
#include "Common/Log.h"
#include "Common/MemoryReturn.h"
#include "Common/Program.h"
#include "RouteServing/Gateway/Gateway.h"
#include "platform/Adapter.h"

#include <absl/flags/flag.h>
#include <iostream>

ABSL_FLAG(std::string, serve, "classes",
    "classes: the chat interface with classes published by brassladder-ctl; routes: the platform's routes");

using namespace Brassladder;

[[noreturn]] static void exitOnStartupError(const Common::Error& error)
{
    std::cerr << error.message << "\n";
    Common::exitProcess(Common::ExitCode::Failure);
}

static void logListening(const Common::Endpoint& callers, const Common::Endpoint& inner)
{
    Common::log(Common::LogLevel::Info, "router", "listening",
        { { "http", callers.text() }, { "inner", inner.text() }, { "build", BRASSLADDER_VERSION } });
}

static void serveClasses()
{
    auto settings = ClassServing::Frontend::ClassRouterSettings::from(
        Common::loadSettings(ClassServing::Frontend::ClassRouterSettings::table()));
    Common::blockSignals();
    Common::startProgramLogging(settings.id);
    auto& runtime = Common::FiberRuntime::start(settings.threads);
    // Never destroyed: fibers refer to it.
    auto& router = *new ClassServing::Frontend::ClassRouter(runtime, settings);
    if (auto status = router.start(); isError(status))
        exitOnStartupError(errorOf(status));
    Common::Endpoint http { settings.http.address, router.httpPort() };
    Common::Endpoint inner { settings.inner.address, router.innerPort() };
    logListening(http, inner);
    Common::writeReadyFile({ { "id", settings.id }, { "role", "router" }, { "endpoint", http.text() },
        { "inner", inner.text() }, { "failure_domain", settings.failureDomain }, { "state", "live" } });
    Common::waitForStopSignal();
    router.drain();
}

// Validates the settings file and logs the result. Changes take effect at the next start.
static void logSettingsReload()
{
    auto checked = Common::readSettings(RouteServing::Gateway::GatewaySettings::table());
    const auto* faults = std::get_if<std::vector<Common::Fault>>(&checked);
    Common::log(Common::LogLevel::Info, "router", "settings.reread",
        { { "valid", !faults }, { "faults", faults ? Common::describe(*faults) : "" } });
}

static void serveRoutes()
{
    auto settings = RouteServing::Gateway::GatewaySettings::from(
        Common::loadSettings(RouteServing::Gateway::GatewaySettings::table()));
    if (auto status = settings.checkBounds(); isError(status))
        exitOnStartupError(errorOf(status));
    Common::blockSignals();
    Common::startProgramLogging(settings.id);
    auto& runtime = Common::FiberRuntime::start(settings.threads);
    auto duties = settings.duties ? std::optional(settings.duties->platform) : std::nullopt;
    auto sources = PlatformAdapter::sources(settings.store, duties, settings.refreshIntervals());
    auto& gateway = *new RouteServing::Gateway::Gateway(runtime, settings, PlatformAdapter::headerScheme(), sources);
    if (auto status = gateway.start(); isError(status))
        exitOnStartupError(errorOf(status));
    Common::Endpoint callers { settings.callers.address, gateway.callerPort() };
    Common::Endpoint readiness { settings.readiness.address, gateway.readinessPort() };
    logListening(callers, settings.inner);
    Common::writeReadyFile({ { "id", settings.id }, { "role", "gateway" }, { "endpoint", callers.text() },
        { "readiness", readiness.text() } });
    Common::waitForStopSignal(logSettingsReload);
    gateway.drain();
}

int main(int argc, char** argv)
{
    Common::parseCommandLine(
        argc, argv, "Routes language-model traffic. See docs/OPERATIONS.md.\n  brassladder-router --settings=FILE");
    Common::returnLargeBlocks();
    auto served = absl::GetFlag(FLAGS_serve);
    if (served == "classes") {
        serveClasses();
    } else if (served == "routes") {
        serveRoutes();
    } else {
        std::cerr << "invalid --serve, expected classes or routes, got " << served << "\n";
        Common::exitProcess(Common::ExitCode::Usage);
    }
    Common::stopLogging();
    Common::exitProcess(Common::ExitCode::Success);
}
