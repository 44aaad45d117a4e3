// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Config/Fold.h"
#include "ClassServing/Config/Model.h"

#include <memory>

namespace Brassladder::ClassServing::Config {

// The configuration in force, compiled for the path of a request. Immutable; published by read-copy-update.
struct Table {
    std::map<std::string, Pool, std::less<>> pools;
    // Shared, since schedulers hold on to policies across changes.
    std::map<std::string, std::shared_ptr<const RequestClass>, std::less<>> classes;
    std::map<std::string, Workspace, std::less<>> workspaces;
    std::unordered_map<std::string, const Workspace*> byKeyDigest; // Into `workspaces`.
    std::map<std::string, uint64_t> versions;

    const Pool* pool(std::string_view name) const;
    std::shared_ptr<const RequestClass> requestClass(std::string_view name) const;
    // The workspace that a caller's key belongs to. The key's digest is what is looked up, so the time of the search
    // tells nothing about the key; the digest found is compared in constant time.
    const Workspace* workspaceOfKey(std::string_view key) const;
};

// The outcome of compiling: files that do not compile are held back, with the last good content in their place.
struct CompileResult {
    std::shared_ptr<const Table> table;
    std::map<std::string, std::vector<Common::Fault>> heldBack;
};

// Compiles files one by one and remembers the last good one of each.
class Compiler {
public:
    CompileResult compile(const Fold&);

private:
    struct ValidFile {
        uint64_t version { 0 };
        File file;
        // Kept from one table to the next while the file stays, since schedulers compare and hold policies by address.
        std::vector<std::shared_ptr<const RequestClass>> classes;
    };
    static ValidFile makeValidFile(uint64_t version, File);
    std::map<std::string, ValidFile> m_validFiles;
};

} // namespace Brassladder::ClassServing::Config
