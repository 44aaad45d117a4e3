// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/Types.h"
#include "Common/Clock.h"
#include "Common/Json.h"
#include "Common/Settings.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

// What operators declare. A file is the unit: `pools`, `classes` and one `workspace/NAME` for each workspace.
namespace Brassladder::ClassServing::Config {

enum class PoolKind { Engine, Service };

struct Pool {
    std::string name;
    PoolKind kind { PoolKind::Engine };
    uint32_t slotsPerUpstream { 8 };
    uint32_t shardSize { 16 }; // Upstreams that one home schedules.
    uint32_t guaranteedSlots { 1 }; // Of each shard, for classes that have waited past their bound.
};

struct RequestClass {
    Scheduling::ClassPolicy policy;
    std::string pool;
    bool noRepeat { false };
    // Each request with an Idempotency-Key states which attempt it is, and only the first may run while the log is out.
    bool vouchedAttempts { false };
    uint32_t maxAttempts { 3 };
};

struct Workspace {
    std::string name;
    std::vector<std::string> keyDigests; // SHA-256 of the keys, hexadecimal.
    std::string defaultClass;
    std::vector<std::string> classes; // Those it may use.
    double weight { 1 };
};

struct PoolsFile {
    std::vector<Pool> pools;
};
struct ClassesFile {
    std::vector<RequestClass> classes;
};
struct WorkspaceFile {
    Workspace workspace;
};

using File = std::variant<PoolsFile, ClassesFile, WorkspaceFile>;

inline constexpr std::string_view poolsName = "pools";
inline constexpr std::string_view classesName = "classes";
inline constexpr std::string_view workspacePrefix = "workspace/";

// Reads one file; all faults in one go, each with its JSON pointer.
std::variant<File, std::vector<Common::Fault>> parseFile(std::string_view name, const Common::Json&);

// Checks that the files agree: classes name pools that exist, workspaces name classes that exist.
std::vector<Common::Fault> checkCrossReferences(const std::map<std::string, File>&);

} // namespace Brassladder::ClassServing::Config
