// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Config/Fold.h"
#include "ClassServing/Config/Model.h"

#include <memory>

namespace Brassladder::ClassServing::Config {

// The configuration in force, indexed for lookups by requests. Immutable; published by read-copy-update.
struct Table {
    std::map<std::string, Pool, std::less<>> pools;
    // Shared, because schedulers keep references to policies after a configuration change.
    std::map<std::string, std::shared_ptr<const RequestClass>, std::less<>> classes;
    std::map<std::string, Workspace, std::less<>> workspaces;
    std::unordered_map<std::string, const Workspace*> byKeyDigest; // Points into `workspaces`.
    std::map<std::string, uint64_t> versions;

    const Pool* pool(std::string_view name) const;
    std::shared_ptr<const RequestClass> requestClass(std::string_view name) const;
    // Returns the workspace of a caller's API key, or nullptr. Looks up the digest of the key and compares it in
    // constant time, so the duration does not reveal the key.
    const Workspace* workspaceOfKey(std::string_view key) const;
};

// A compiled table. `heldBack` lists the faults of invalid files; the last valid version of these files stays in
// force.
struct CompileResult {
    std::shared_ptr<const Table> table;
    std::map<std::string, std::vector<Common::Fault>> heldBack;
};

// Compiles the files of a configuration and keeps the last valid version of each. Not thread-safe.
class Compiler {
public:
    CompileResult compile(const Fold&);

private:
    struct ValidFile {
        uint64_t version { 0 };
        File file;
        // Shared by all tables until the file changes, because schedulers keep pointers to policies.
        std::vector<std::shared_ptr<const RequestClass>> classes;
    };
    static ValidFile makeValidFile(uint64_t version, File);
    std::map<std::string, ValidFile> m_validFiles;
};

} // namespace Brassladder::ClassServing::Config
