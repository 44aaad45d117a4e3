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

// The configuration that operators publish, in files: `pools`, `classes` and one `workspace/NAME` per workspace.
namespace Brassladder::ClassServing::Config {

enum class PoolKind { Engine, Service };

struct Pool {
    std::string name;
    PoolKind kind { PoolKind::Engine };
    uint32_t slotsPerUpstream { 8 };
    uint32_t shardSize { 16 }; // Maximum number of upstreams in a shard.
    uint32_t guaranteedSlots { 1 }; // Per shard, for classes whose requests waited longer than guaranteeAfter.
};

struct RequestClass {
    Scheduling::ClassPolicy policy;
    std::string pool;
    bool noRepeat { false };
    // Each request with an Idempotency-Key states its attempt number. Only the first attempt may run while the log is
    // unavailable.
    bool vouchedAttempts { false };
    uint32_t maxAttempts { 3 };
};

struct Workspace {
    std::string name;
    std::vector<std::string> keyDigests; // SHA-256 of the keys, hexadecimal.
    std::string defaultClass;
    std::vector<std::string> classes; // The classes that the workspace may use.
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

// Parses one file. Returns all faults at once, each with its JSON pointer.
std::variant<File, std::vector<Common::Fault>> parseFile(std::string_view name, const Common::Json&);

// Checks that each class refers to an existing pool and each workspace refers to existing classes.
std::vector<Common::Fault> checkCrossReferences(const std::map<std::string, File>&);

} // namespace Brassladder::ClassServing::Config
