// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Log.h"
#include "Common/Program.h"
#include "Router/Router.h"

#include <iostream>

using namespace Brassladder;

int main(int argc, char** argv)
{
    Common::parseCommandLine(
        argc, argv, "Routes language-model traffic. See docs/OPERATING.md.\n  brassladder-router --settings=FILE");
    auto settings = Router::RouterSettings::from(Common::loadSettings(Router::RouterSettings::table()));
    Common::blockStopSignals();
    Common::startProgramLogging(settings.id);
    auto& runtime = Common::FiberRuntime::start(settings.threads);
    // Lives until the process ends: fibers refer to it.
    auto& router = *new Router::Router(runtime, settings);
    if (auto status = router.start(); isError(status)) {
        std::cerr << errorOf(status).message << "\n";
        Common::finish(Common::ExitCode::Failure);
    }
    Common::Endpoint http { settings.http.address, router.httpPort() };
    Common::Endpoint inner { settings.inner.address, router.innerPort() };
    Common::log(Common::LogLevel::Info, "router", "listening", { { "http", http.text() }, { "inner", inner.text() } });
    Common::writeReadyFile({ { "id", settings.id }, { "role", "router" }, { "endpoint", http.text() },
        { "inner", inner.text() }, { "failure_domain", settings.failureDomain }, { "state", "live" } });
    Common::waitForStopSignal();
    router.drain();
    Common::stopLogging();
    Common::finish(Common::ExitCode::Success);
}
