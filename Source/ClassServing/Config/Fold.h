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

// An accepted file. Its version is the offset of the record that published it, so versions increase in log order.
struct AcceptedFile {
    uint64_t version { 0 };
    std::string publishId;
    std::string digest; // SHA-256 of the content.
    std::string content;
    int64_t recordedMs { 0 }; // Log time of the newest record that contains this version.
    bool operator==(const AcceptedFile&) const = default;
};

// A file that an operator publishes. It is accepted only if `base` is the version in force.
struct PublishRecord {
    std::string file;
    uint64_t base { 0 }; // 0: the file does not exist yet.
    std::string publishId;
    std::string digest;
    std::string content;
};

// A copy of an accepted file, appended before the original record exceeds the retention of the log.
struct SnapshotRecord {
    std::string file;
    AcceptedFile state;
};

using ConfigRecord = std::variant<PublishRecord, SnapshotRecord>;

std::string encodeRecord(const ConfigRecord&);
// Returns nullopt if the text is not a valid record. Every reader skips such records.
std::optional<ConfigRecord> decodeRecord(std::string_view);

enum class FoldVerdict { Accepted, Conflict, Repeated, Malformed, Snapshot };

// The configuration that results from the records of the stream. All program versions must apply the same rule: a
// publish is accepted if and only if its base is the version in force, its offset is higher than that version, and its
// publish id differs from that of the version in force. Not thread-safe.
class Fold {
public:
    FoldVerdict apply(uint64_t offset, int64_t timeMs, std::string_view data);
    // Adopts a file from a peer if its version is higher and its digest matches its content. Returns whether it was
    // adopted.
    bool merge(const std::string& file, const AcceptedFile&);

    const std::map<std::string, AcceptedFile>& files() const { return m_files; }
    uint64_t versionOf(const std::string& file) const;
    // Returns a hash of all file names and versions, independent of their order.
    uint64_t digest() const;

private:
    FoldVerdict applyPublish(uint64_t offset, int64_t timeMs, const PublishRecord&);

    std::map<std::string, AcceptedFile> m_files;
};

} // namespace Brassladder::ClassServing::Config
