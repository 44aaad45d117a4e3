// SPDX-License-Identifier: Apache-2.0
#include "Operator/Publisher.h"

#include "Common/Digest.h"
#include "Common/FiberRuntime.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace Brassladder::Operator {

using Common::ErrorKind;
using Common::Fault;
using Common::Json;
using Common::Result;
using namespace std::chrono_literals;

// Maximum attempts to append a record while it is unknown whether it was appended.
static constexpr int maxPublishAttempts = 20;
static constexpr Common::Milliseconds publishRetryDelay = 250ms;

Result<FileSet> readConfigurationFolder(const std::string& path)
{
    namespace fs = std::filesystem;
    FileSet files;
    std::error_code error;
    for (const auto& entry : fs::recursive_directory_iterator(path, error)) {
        if (entry.path().extension() != ".json")
            continue;
        std::ifstream file(entry.path());
        std::stringstream text;
        text << file.rdbuf();
        auto name = fs::relative(entry.path(), path).replace_extension().generic_string();
        files[name] = text.str();
    }
    if (error || files.empty())
        return Common::makeError(ErrorKind::BadRequest, "no configuration files in " + path);
    return files;
}

std::vector<Fault> validate(const FileSet& texts)
{
    std::vector<Fault> faults;
    std::map<std::string, ClassServing::Config::File> files;
    for (const auto& [name, text] : texts) {
        auto parsed = ClassServing::Config::parseFile(name, Common::parseJson(text));
        if (auto* wrong = std::get_if<std::vector<Fault>>(&parsed)) {
            for (auto& fault : *wrong)
                faults.push_back({ name + ":" + fault.pointer, std::move(fault.message) });
        } else {
            files[name] = std::move(std::get<ClassServing::Config::File>(parsed));
        }
    }
    auto together = ClassServing::Config::checkCrossReferences(files);
    faults.insert(faults.end(), together.begin(), together.end());
    return faults;
}

Result<ClassServing::Config::Fold> Publisher::readFold()
{
    ClassServing::Config::Fold fold;
    uint64_t next = 1;
    while (true) {
        auto page = m_log.read(ClassServing::BackingServices::configStream, next, 0ms);
        if (isError(page))
            return errorOf(page);
        for (const auto& record : valueOf(page).records) {
            fold.apply(record.offset, record.timeMs, record.data);
            next = record.offset + 1;
        }
        next = std::max(next, valueOf(page).firstOffset);
        if (next >= valueOf(page).nextOffset)
            return fold;
    }
}

Result<std::vector<FileChange>> Publisher::diff(const FileSet& files)
{
    auto fold = readFold();
    if (isError(fold))
        return errorOf(fold);
    std::vector<FileChange> changes;
    for (const auto& [name, text] : files) {
        FileChange change { name, Change::New, valueOf(fold).versionOf(name), Json::array() };
        if (change.version) {
            auto current = Common::parseJson(valueOf(fold).files().at(name).content);
            change.patch = Json::diff(current, Common::parseJson(text));
            change.change = change.patch.empty() ? Change::Same : Change::Changed;
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

Result<std::vector<PublishResult>> Publisher::publish(
    const FileSet& files, const std::map<std::string, uint64_t>& baseVersions)
{
    auto changes = diff(files);
    if (isError(changes))
        return errorOf(changes);
    std::vector<PublishResult> results;
    for (const auto& change : valueOf(changes)) {
        if (change.change == Change::Same)
            continue;
        const auto& content = files.at(change.file);
        auto base = baseVersions.find(change.file);
        ClassServing::Config::PublishRecord record { change.file,
            base == baseVersions.end() ? change.version : base->second, Common::randomId(), Common::sha256Hex(content),
            content };
        auto published = publishOne(record);
        if (isError(published))
            return errorOf(published);
        results.push_back(valueOf(published));
    }
    return results;
}

Result<PublishResult> Publisher::publishOne(const ClassServing::Config::PublishRecord& record)
{
    auto encoded = ClassServing::Config::encodeRecord(record);
    Common::Error last;
    for (int attempt = 0; attempt < maxPublishAttempts; ++attempt) {
        auto appended = m_log.append(ClassServing::BackingServices::configStream, encoded);
        auto fold = readFold();
        if (isError(fold)) {
            last = errorOf(fold);
            last.ran = Common::Ran::Maybe;
        } else {
            auto found = valueOf(fold).files().find(record.file);
            bool exists = found != valueOf(fold).files().end();
            if (exists && found->second.publishId == record.publishId)
                return PublishResult { record.file, ClassServing::Config::FoldVerdict::Accepted,
                    found->second.version };
            // The record was appended but is not the active version, or the file no longer has the base version, so a
            // retry would be rejected.
            if (!isError(appended) || valueOf(fold).versionOf(record.file) != record.base)
                return PublishResult { record.file, ClassServing::Config::FoldVerdict::Conflict,
                    valueOf(fold).versionOf(record.file) };
            last = errorOf(appended);
        }
        Common::sleepFor(publishRetryDelay);
    }
    return last;
}

} // namespace Brassladder::Operator
