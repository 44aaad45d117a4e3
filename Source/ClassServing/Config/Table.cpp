// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Config/Table.h"

#include "Common/Digest.h"

namespace Brassladder::ClassServing::Config {

const Pool* Table::pool(std::string_view name) const
{
    auto found = pools.find(name);
    return found == pools.end() ? nullptr : &found->second;
}

std::shared_ptr<const RequestClass> Table::requestClass(std::string_view name) const
{
    auto found = classes.find(name);
    return found == classes.end() ? nullptr : found->second;
}

const Workspace* Table::workspaceOfKey(std::string_view key) const
{
    auto digest = Common::sha256Hex(key);
    auto found = byKeyDigest.find(digest);
    if (found == byKeyDigest.end() || !Common::constantTimeEquals(found->first, digest))
        return nullptr;
    return found->second;
}

Compiler::ValidFile Compiler::makeValidFile(uint64_t version, File file)
{
    ValidFile valid { version, std::move(file), {} };
    if (const auto* classes = std::get_if<ClassesFile>(&valid.file)) {
        for (const auto& each : classes->classes)
            valid.classes.push_back(std::make_shared<RequestClass>(each));
    }
    return valid;
}

CompileResult Compiler::compile(const Fold& fold)
{
    CompileResult result;
    for (const auto& [name, accepted] : fold.files()) {
        auto& valid = m_validFiles[name];
        if (valid.version == accepted.version)
            continue;
        auto parsed = parseFile(name, Common::parseJson(accepted.content));
        if (auto* faults = std::get_if<std::vector<Common::Fault>>(&parsed)) {
            result.heldBack[name] = std::move(*faults);
            continue;
        }
        valid = makeValidFile(accepted.version, std::move(std::get<File>(parsed)));
    }
    auto table = std::make_shared<Table>();
    for (const auto& [name, valid] : m_validFiles) {
        if (!valid.version)
            continue;
        table->versions[name] = valid.version;
        if (const auto* pools = std::get_if<PoolsFile>(&valid.file)) {
            for (const auto& pool : pools->pools)
                table->pools[pool.name] = pool;
        }
        if (const auto* file = std::get_if<WorkspaceFile>(&valid.file))
            table->workspaces[file->workspace.name] = file->workspace;
        for (const auto& each : valid.classes)
            table->classes[each->policy.name] = each;
    }
    for (const auto& [name, workspace] : table->workspaces) {
        for (const auto& digest : workspace.keyDigests)
            table->byKeyDigest[digest] = &workspace;
    }
    result.table = std::move(table);
    return result;
}

} // namespace Brassladder::ClassServing::Config
