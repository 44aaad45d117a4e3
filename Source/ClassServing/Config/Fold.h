// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"
#include "Common/Json.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Brassladder::ClassServing::Config {

// An accepted file. Its version is the offset of the record that published it, so versions rise with log order.
struct AcceptedFile {
    uint64_t version { 0 };
    std::string publishId;
    std::string digest; // SHA-256 of the content.
    std::string content;
    int64_t recordedMs { 0 }; // The log's time of the youngest record that holds this file.
    bool operator==(const AcceptedFile&) const = default;
};

// An operator's publish of a file, valid only against the version that it was written for.
struct PublishRecord {
    std::string file;
    uint64_t base { 0 }; // 0: the file does not exist yet.
    std::string publishId;
    std::string digest;
    std::string content;
};

// An accepted file written anew, so that it outlives the log's retention.
struct SnapshotRecord {
    std::string file;
    AcceptedFile state;
};

using ConfigRecord = std::variant<PublishRecord, SnapshotRecord>;

std::string encodeRecord(const ConfigRecord&);
// None when the text is not a record; every reader skips such records.
std::optional<ConfigRecord> decodeRecord(std::string_view);

enum class FoldVerdict { Accepted, Conflict, Repeated, Malformed, Snapshot };

// The state that the records of the stream add up to. The rule does not depend on the program's version: a publish is
// accepted if and only if its base is the version in force and its publish id is not the accepted one.
class Fold {
public:
    FoldVerdict apply(uint64_t offset, int64_t timeMs, std::string_view data);
    // Adopts a file of a peer when its version is higher and its digest right.
    bool merge(const std::string& file, const AcceptedFile&);

    const std::map<std::string, AcceptedFile>& files() const { return m_files; }
    uint64_t versionOf(const std::string& file) const;
    // Equal for equal sets of versions.
    uint64_t digest() const;

private:
    FoldVerdict applyPublish(uint64_t offset, int64_t timeMs, const PublishRecord&);

    std::map<std::string, AcceptedFile> m_files;
};

} // namespace Brassladder::ClassServing::Config
