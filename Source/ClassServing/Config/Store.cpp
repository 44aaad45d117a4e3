// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Config/Store.h"

#include "Common/Digest.h"
#include "Common/FiberRuntime.h"
#include "Common/Log.h"
#include "Common/Metrics.h"

namespace Brassladder::ClassServing::Config {

using Common::Json;
using Common::LogLevel;
using namespace std::chrono_literals;

// Upper bound of a long poll, which also bounds the time until a broken connection is detected.
static constexpr Common::Milliseconds longPollTimeout = 15s;
// Minimum number of reads within the retention of the log. Due snapshots are checked after each read.
static constexpr int readsPerRetention = 8;
static constexpr Common::Milliseconds readRetryDelay = 250ms;
// Time that a new instance waits for the configuration of a peer before it reads the log.
static constexpr Common::Milliseconds peerTimeout = 1500ms;
static constexpr Common::Milliseconds peerPollInterval = 50ms;

Store::Store(BackingServices::LogService log, Hooks hooks)
    : m_log(std::move(log))
    , m_hooks(std::move(hooks))
    , m_table(std::make_shared<Table>())
{
}

void Store::readLoop(const std::function<std::vector<std::string>()>& peers)
{
    auto timeout = Common::now() + peerTimeout;
    while (!m_ready && Common::now() < timeout) {
        for (const auto& peer : peers())
            requestFrom(peer);
        Common::sleepFor(peerPollInterval);
    }
    auto wait = longPollTimeout;
    while (true) {
        auto page = m_log.read(BackingServices::configStream, m_next, wait);
        if (isError(page)) {
            if (m_logReachable.exchange(false))
                Common::log(LogLevel::Warning, "config", "log.unreachable", { { "message", errorOf(page).message } });
            Common::sleepFor(readRetryDelay);
            continue;
        }
        m_logReachable = true;
        if (auto retention = valueOf(page).retentionMs)
            wait = std::min(longPollTimeout, Common::Milliseconds(retention / readsPerRetention));
        applyPage(valueOf(page));
        writeDueSnapshots(valueOf(page));
    }
}

void Store::applyPage(const BackingServices::LogPage& page)
{
    {
        std::lock_guard lock(m_mutex);
        // Offsets never decrease, so a smaller one means that the log was replaced. The configuration stays in force
        // until an operator intervenes.
        if (page.nextOffset < m_next) {
            if (!std::exchange(m_logReplaced, true))
                Common::log(LogLevel::Error, "config", "log.replaced",
                    { { "expected_offset", m_next }, { "next_offset", page.nextOffset } });
            return;
        }
        m_logReplaced = false;
        bool changed = false;
        for (const auto& record : page.records) {
            if (record.offset < m_next)
                continue;
            m_next = record.offset + 1;
            auto verdict = m_fold.apply(record.offset, record.timeMs, record.data);
            changed = changed || verdict == FoldVerdict::Accepted || verdict == FoldVerdict::Snapshot;
        }
        m_next = std::max(m_next, page.firstOffset);
        if (changed)
            compileLocked();
        m_ready = m_ready || !m_fold.files().empty();
    }
    if (!page.records.empty())
        m_hooks.onChange();
}

void Store::compileLocked()
{
    auto compiled = m_compiler.compile(m_fold);
    m_heldBack = std::move(compiled.heldBack);
    for (const auto& [name, faults] : m_heldBack)
        Common::log(
            LogLevel::Error, "config", "file.held_back", { { "file", name }, { "faults", Common::describe(faults) } });
    m_table.store(std::move(compiled.table));
    static auto& s_changes
        = Common::Metrics::counter("brassladder_config_changes_total", "Configuration tables put in force");
    s_changes.Increment();
}

// Appends a snapshot of each file whose newest record is older than half of the retention. A random delay of up to a
// quarter of the retention is added, so most routers read the snapshot of another router before their own is due.
void Store::writeDueSnapshots(const BackingServices::LogPage& page)
{
    if (!page.retentionMs || m_logReplaced)
        return;
    std::vector<SnapshotRecord> due;
    {
        std::lock_guard lock(m_mutex);
        auto jitter = static_cast<int64_t>(Common::randomNumber() % static_cast<uint64_t>(page.retentionMs / 4 + 1));
        for (const auto& [name, file] : m_fold.files()) {
            if (page.nowMs - file.recordedMs > page.retentionMs / 2 + jitter)
                due.push_back({ name, file });
        }
    }
    for (const auto& snapshot : due)
        m_log.append(BackingServices::configStream, encodeRecord(snapshot));
}

uint64_t Store::digest() const
{
    std::lock_guard lock(m_mutex);
    return m_fold.digest();
}

void Store::requestIfDifferent(const std::string& peer, uint64_t theirs)
{
    if (theirs != digest())
        requestFrom(peer);
}

void Store::requestFrom(const std::string& peer)
{
    Inner::Wire::Item item;
    auto& versions = *item.mutable_config_request()->mutable_versions();
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [name, file] : m_fold.files())
            versions[name] = file.version;
    }
    m_hooks.send(peer, std::move(item));
}

void Store::onRequest(const std::string& peer, const Inner::Wire::ConfigRequest& request)
{
    Inner::Wire::Item item;
    auto& state = *item.mutable_config_state();
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [name, file] : m_fold.files()) {
            auto theirs = request.versions().find(name);
            if (theirs != request.versions().end() && theirs->second >= file.version)
                continue;
            auto& entry = *state.add_files();
            entry.set_name(name);
            entry.set_version(file.version);
            entry.set_publish_id(file.publishId);
            entry.set_digest(file.digest);
            entry.set_content(file.content);
        }
    }
    if (state.files_size())
        m_hooks.send(peer, std::move(item));
}

void Store::onState(const Inner::Wire::ConfigState& state)
{
    bool changed = false;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& file : state.files())
            changed = m_fold.merge(file.name(), { file.version(), file.publish_id(), file.digest(), file.content(), 0 })
                || changed;
        if (changed)
            compileLocked();
        m_ready = m_ready || !m_fold.files().empty();
    }
    if (changed)
        m_hooks.onChange();
}

Json Store::status() const
{
    std::lock_guard lock(m_mutex);
    Json files = Json::object();
    for (const auto& [name, file] : m_fold.files())
        files[name] = { { "version", file.version }, { "digest", file.digest }, { "publish_id", file.publishId } };
    Json heldBack = Json::object();
    for (const auto& [name, faults] : m_heldBack)
        heldBack[name] = Common::describe(faults);
    return { { "ready", m_ready.load() }, { "files", files }, { "held_back", heldBack },
        { "log_reachable", m_logReachable.load() }, { "log_replaced", m_logReplaced }, { "next_offset", m_next } };
}

} // namespace Brassladder::ClassServing::Config
