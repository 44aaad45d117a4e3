// SPDX-License-Identifier: Apache-2.0
#include "Common/Program.h"

#include "Common/FatalSignal.h"
#include "Common/Log.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "Settings file (JSON); defaults to the environment variable BRASSLADDER_SETTINGS");
ABSL_FLAG(std::vector<std::string>, set, {}, "Comma-separated overrides: /json/pointer=value");
ABSL_FLAG(bool, check_settings, false, "Validate the settings, print the faults, and exit");
ABSL_FLAG(bool, describe_settings, false, "Print all settings with type, unit, bounds and default, and exit");
ABSL_FLAG(
    std::string, ready_file, "", "File that is written once the program listens: a JSON object with its addresses");
ABSL_FLAG(std::string, log_level, "info", "Minimum log level: debug, info, warning or error");

namespace Brassladder::Common {

std::vector<std::string> parseCommandLine(int argc, char** argv, const std::string& usage)
{
    absl::SetProgramUsageMessage(usage);
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("brassladder " BRASSLADDER_VERSION "\n"); };
    // Lists the flags of this project, not those of the libraries.
    config.contains_helpshort_flags
        = [](absl::string_view file) { return file.find("Source/") != absl::string_view::npos; };
    config.contains_help_flags = config.contains_helpshort_flags;
    absl::SetFlagsUsageConfig(config);
    auto positional = absl::ParseCommandLine(argc, argv);
    return { positional.begin() + 1, positional.end() };
}

static Json overrideValue(std::string_view text)
{
    Json value = parseJson(text);
    return value.is_discarded() ? Json(std::string(text)) : value;
}

static constexpr const char* settingsVariable = "BRASSLADDER_SETTINGS";

static std::string settingsPath()
{
    auto path = absl::GetFlag(FLAGS_settings);
    const char* variable = std::getenv(settingsVariable);
    return path.empty() && variable ? std::string(variable) : path;
}

static Result<Json> readSettingsFile()
{
    auto path = settingsPath();
    if (path.empty())
        return Json::object();
    return readJsonFile(path);
}

// Returns BadRequest if an override does not have the form /json/pointer=value.
static Status applyOverrides(Json& file)
{
    for (const auto& item : absl::GetFlag(FLAGS_set)) {
        auto equals = item.find('=');
        if (equals == std::string::npos || !item.starts_with('/'))
            return makeError(ErrorKind::BadRequest, "invalid --set, expected /json/pointer=value, got " + item);
        file[Json::json_pointer(item.substr(0, equals))] = overrideValue(item.substr(equals + 1));
    }
    return Done {};
}

std::variant<Settings, std::vector<Fault>> readSettings(std::span<const SettingSpec> table)
{
    auto file = readSettingsFile();
    if (isError(file))
        return std::vector<Fault> { { "", errorOf(file).message } };
    if (auto status = applyOverrides(valueOf(file)); isError(status))
        return std::vector<Fault> { { "", errorOf(status).message } };
    return Settings::check(table, valueOf(file));
}

Settings loadSettings(std::span<const SettingSpec> table)
{
    if (absl::GetFlag(FLAGS_describe_settings)) {
        std::cout << describe(table);
        exitProcess(ExitCode::Success);
    }
    auto checked = readSettings(table);
    if (const auto* faults = std::get_if<std::vector<Fault>>(&checked)) {
        std::cerr << describe(*faults);
        exitProcess(ExitCode::Usage);
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << "settings are valid\n";
        exitProcess(ExitCode::Success);
    }
    return std::get<Settings>(checked);
}

Endpoint endpointOrExit(const std::string& text)
{
    auto endpoint = parseEndpoint(text);
    if (!isError(endpoint))
        return valueOf(endpoint);
    std::cerr << errorOf(endpoint).message << "\n";
    exitProcess(ExitCode::Usage);
}

void writeReadyFile(const Json& json)
{
    auto path = absl::GetFlag(FLAGS_ready_file);
    if (path.empty())
        return;
    // Renaming is atomic: a reader never sees a partial file.
    auto temporaryPath = path + ".draft";
    {
        std::ofstream file(temporaryPath);
        file << dumpJson(json) << "\n";
    }
    std::rename(temporaryPath.c_str(), path.c_str());
}

void startProgramLogging(std::string_view instance)
{
    auto text = absl::GetFlag(FLAGS_log_level);
    auto level = LogLevel::Info;
    if (text == "debug")
        level = LogLevel::Debug;
    if (text == "warning")
        level = LogLevel::Warning;
    if (text == "error")
        level = LogLevel::Error;
    installFatalSignalHandler(instance);
    startLogging(level, instance);
}

static sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

void blockSignals()
{
    auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal(const std::function<void()>& onReload)
{
    auto signals = handledSignals();
    while (true) {
        int received = 0;
        sigwait(&signals, &received);
        if (received != SIGHUP)
            return;
        if (onReload)
            onReload();
    }
}

void exitProcess(ExitCode code)
{
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(static_cast<int>(code));
}

} // namespace Brassladder::Common
