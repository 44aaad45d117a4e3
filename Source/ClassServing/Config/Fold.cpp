// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Config/Fold.h"

#include "Common/Digest.h"

namespace Brassladder::ClassServing::Config {

using Common::Json;
using Common::member;

std::string encodeRecord(const ConfigRecord& record)
{
    Json json;
    if (const auto* publish = std::get_if<PublishRecord>(&record)) {
        json = { { "type", "publish" }, { "file", publish->file }, { "base", publish->base },
            { "publish_id", publish->publishId }, { "digest", publish->digest }, { "content", publish->content } };
    } else {
        const auto& snapshot = std::get<SnapshotRecord>(record);
        json = { { "type", "snapshot" }, { "file", snapshot.file }, { "version", snapshot.state.version },
            { "publish_id", snapshot.state.publishId }, { "digest", snapshot.state.digest },
            { "content", snapshot.state.content } };
    }
    return Common::dumpJson(json);
}

std::optional<ConfigRecord> decodeRecord(std::string_view text)
{
    Json json = Common::parseJson(text);
    auto type = member<std::string>(json, "type", "");
    auto file = member<std::string>(json, "file", "");
    auto publishId = member<std::string>(json, "publish_id", "");
    auto digest = member<std::string>(json, "digest", "");
    auto content = member<std::string>(json, "content", "");
    if (file.empty() || publishId.empty() || digest != Common::sha256Hex(content))
        return std::nullopt;
    if (type == "publish")
        return PublishRecord { file, member<uint64_t>(json, "base", 0), publishId, digest, content };
    if (type == "snapshot")
        return SnapshotRecord { file, { member<uint64_t>(json, "version", 0), publishId, digest, content, 0 } };
    return std::nullopt;
}

FoldVerdict Fold::apply(uint64_t offset, int64_t timeMs, std::string_view data)
{
    auto record = decodeRecord(data);
    if (!record)
        return FoldVerdict::Malformed;
    if (const auto* publish = std::get_if<PublishRecord>(&*record))
        return applyPublish(offset, timeMs, *publish);
    const auto& snapshot = std::get<SnapshotRecord>(*record);
    auto& current = m_files[snapshot.file];
    if (snapshot.state.version > current.version)
        current = snapshot.state;
    if (snapshot.state.version == current.version)
        current.recordedMs = timeMs;
    return FoldVerdict::Snapshot;
}

FoldVerdict Fold::applyPublish(uint64_t offset, int64_t timeMs, const PublishRecord& publish)
{
    auto found = m_files.find(publish.file);
    uint64_t version = found == m_files.end() ? 0 : found->second.version;
    if (version && found->second.publishId == publish.publishId) {
        // Either the accepted record itself, read after a peer sent the file, or a resend of it.
        if (offset == version)
            found->second.recordedMs = timeMs;
        return FoldVerdict::Repeated;
    }
    if (publish.base != version || offset <= version)
        return FoldVerdict::Conflict;
    m_files[publish.file] = { offset, publish.publishId, publish.digest, publish.content, timeMs };
    return FoldVerdict::Accepted;
}

bool Fold::merge(const std::string& file, const AcceptedFile& theirs)
{
    if (theirs.version <= versionOf(file) || theirs.digest != Common::sha256Hex(theirs.content))
        return false;
    m_files[file] = theirs;
    return true;
}

uint64_t Fold::versionOf(const std::string& file) const
{
    auto found = m_files.find(file);
    return found == m_files.end() ? 0 : found->second.version;
}

uint64_t Fold::digest() const
{
    uint64_t sum = 0;
    for (const auto& [name, file] : m_files)
        sum += Common::stableHash(name, file.version);
    return sum;
}

} // namespace Brassladder::ClassServing::Config
