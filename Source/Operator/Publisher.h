// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/BackingServices/LogService.h"
#include "ClassServing/Config/Fold.h"
#include "ClassServing/Config/Model.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

// Validates, compares and publishes configuration.
namespace Brassladder::Operator {

// Content of configuration files, by name.
using FileSet = std::map<std::string, std::string>;

// Reads all .json files of a folder and its subfolders: `pools.json`, `classes.json` and `workspace/NAME.json`. Returns
// BadRequest if the folder cannot be read or has no .json files.
Common::Result<FileSet> readConfigurationFolder(const std::string& path);

// Validates each file and then all files together. Returns all faults, whose pointers begin with the name of the file.
std::vector<Common::Fault> validate(const FileSet&);

enum class Change { Same, New, Changed };
struct FileChange {
    std::string file;
    Change change { Change::Same };
    uint64_t version { 0 }; // The active version.
    Common::Json patch; // JSON patch (RFC 6902) from the active version.
};

struct PublishResult {
    std::string file;
    ClassServing::Config::FoldVerdict verdict { ClassServing::Config::FoldVerdict::Conflict };
    uint64_t version { 0 }; // Version of the accepted record, or of the conflicting one.
};

class Publisher {
public:
    explicit Publisher(ClassServing::BackingServices::LogService log)
        : m_log(std::move(log))
    {
    }

    // Reads the log and returns its fold, the active configuration.
    Common::Result<ClassServing::Config::Fold> readFold();
    Common::Result<std::vector<FileChange>> diff(const FileSet&);
    // Publishes the files that differ from the active version. The base of a file is its active version, or its entry
    // in `baseVersions`. The verdict is read back from the log, so a lost response to an append
    // does not matter.
    Common::Result<std::vector<PublishResult>> publish(
        const FileSet&, const std::map<std::string, uint64_t>& baseVersions = {});

private:
    Common::Result<PublishResult> publishOne(const ClassServing::Config::PublishRecord&);

    ClassServing::BackingServices::LogService m_log;
};

} // namespace Brassladder::Operator
