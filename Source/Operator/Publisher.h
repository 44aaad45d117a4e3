// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/BackingServices/LogService.h"
#include "ClassServing/Config/Fold.h"
#include "ClassServing/Config/Model.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

// What operators do: check, compare and publish configuration. Calls suspend the calling fiber.
namespace Brassladder::Operator {

// Configuration files by name, as text.
using FileSet = std::map<std::string, std::string>;

// Reads a folder: `pools.json`, `classes.json`, `workspace/NAME.json`. BadRequest when it cannot be read.
Common::Result<FileSet> readConfigurationFolder(const std::string& path);

// All faults of the files, each by itself and together; the pointer begins with the file's name.
std::vector<Common::Fault> validate(const FileSet&);

enum class Change { Same, New, Changed };
struct FileChange {
    std::string file;
    Change change { Change::Same };
    uint64_t version { 0 }; // In force.
    Common::Json patch; // JSON patch (RFC 6902) from what is in force.
};

struct PublishResult {
    std::string file;
    ClassServing::Config::FoldVerdict verdict { ClassServing::Config::FoldVerdict::Conflict };
    uint64_t version { 0 }; // Of the accepted record, or of the one that won.
};

class Publisher {
public:
    explicit Publisher(ClassServing::BackingServices::LogService log)
        : m_log(std::move(log))
    {
    }

    // What the log adds up to now.
    Common::Result<ClassServing::Config::Fold> readFold();
    Common::Result<std::vector<FileChange>> diff(const FileSet&);
    // Publishes what differs, each file against the version in force, or against `baseVersions` where a version is
    // given there. The verdict is read back from the log, so that an append whose answer was lost is settled too.
    Common::Result<std::vector<PublishResult>> publish(
        const FileSet&, const std::map<std::string, uint64_t>& baseVersions = {});

private:
    Common::Result<PublishResult> publishOne(const ClassServing::Config::PublishRecord&);

    ClassServing::BackingServices::LogService m_log;
};

} // namespace Brassladder::Operator
