// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Config/Model.h"

#include <algorithm>
#include <set>

namespace Brassladder::ClassServing::Config {

using Common::Fault;
using Common::Json;
using Common::Milliseconds;

// Upper bound of all configured durations.
static constexpr int64_t maxDurationMs = 24 * 3600 * 1000;
static constexpr size_t digestHexLength = 64; // SHA-256 in hexadecimal.
static constexpr int64_t defaultGuaranteeAfterMs = 30'000;

namespace {

// Reads the members of a JSON object and collects all faults.
class ObjectReader {
public:
    ObjectReader(const Json& object, std::string pointer, std::vector<Fault>& faults)
        : m_object(object)
        , m_pointer(std::move(pointer))
        , m_faults(faults)
    {
        if (!object.is_object())
            fault("", "expected an object");
    }

    std::string text(std::string_view key)
    {
        const Json* value = findMember(key, true);
        if (!value)
            return {};
        if (!value->is_string() || value->get_ref<const std::string&>().empty())
            return fault(key, "expected a non-empty string"), std::string();
        return value->get<std::string>();
    }

    std::string choice(std::string_view key, std::span<const std::string_view> choices)
    {
        auto value = text(key);
        if (!value.empty() && std::find(choices.begin(), choices.end(), value) == choices.end())
            fault(key, "not one of the known values");
        return value;
    }

    int64_t integer(std::string_view key, std::string_view unit, int64_t minimum, int64_t maximum,
        std::optional<int64_t> fallback = {})
    {
        const Json* value = findMember(key, !fallback);
        if (!value)
            return fallback.value_or(minimum);
        if (value->is_number_integer() && value->get<int64_t>() >= minimum && value->get<int64_t>() <= maximum)
            return value->get<int64_t>();
        fault(key,
            "expected integer in " + std::string(unit) + " from " + std::to_string(minimum) + " to "
                + std::to_string(maximum));
        return minimum;
    }

    bool boolean(std::string_view key)
    {
        const Json* value = findMember(key, false);
        if (!value)
            return false;
        if (!value->is_boolean())
            fault(key, "expected true or false");
        return value->is_boolean() && value->get<bool>();
    }

    std::vector<std::string> texts(std::string_view key)
    {
        std::vector<std::string> list;
        const Json* value = findMember(key, true);
        if (!value)
            return list;
        bool fits = value->is_array() && !value->empty();
        fits = fits && std::all_of(value->begin(), value->end(), [](const Json& item) { return item.is_string(); });
        if (!fits)
            return fault(key, "expected a non-empty array of strings"), list;
        return value->get<std::vector<std::string>>();
    }

    std::vector<Json> objects(std::string_view key)
    {
        const Json* value = findMember(key, true);
        if (!value)
            return {};
        if (!value->is_array())
            return fault(key, "expected an array"), std::vector<Json>();
        return value->get<std::vector<Json>>();
    }

    // Reports members that were not read. Must be called last.
    void rejectUnknownMembers()
    {
        if (!m_object.is_object())
            return;
        for (const auto& [key, value] : m_object.items()) {
            if (!m_known.contains(key))
                fault(key, "unknown member");
        }
    }

    void fault(std::string_view key, std::string message)
    {
        m_faults.push_back({ key.empty() ? m_pointer : m_pointer + "/" + std::string(key), std::move(message) });
    }

private:
    const Json* findMember(std::string_view key, bool required)
    {
        m_known.emplace(key);
        if (!m_object.is_object())
            return nullptr;
        auto found = m_object.find(key);
        if (found != m_object.end())
            return &*found;
        if (required)
            fault(key, "missing");
        return nullptr;
    }

    const Json& m_object;
    std::string m_pointer;
    std::vector<Fault>& m_faults;
    std::set<std::string, std::less<>> m_known;
};

} // namespace

static Pool readPool(const Json& json, const std::string& pointer, std::vector<Fault>& faults)
{
    static constexpr std::array<std::string_view, 2> s_kinds { "engine", "service" };
    ObjectReader reader(json, pointer, faults);
    Pool pool;
    pool.name = reader.text("name");
    pool.kind = reader.choice("kind", s_kinds) == "service" ? PoolKind::Service : PoolKind::Engine;
    pool.slotsPerUpstream = static_cast<uint32_t>(reader.integer("slots_per_worker", "requests", 1, 4096));
    pool.shardSize = static_cast<uint32_t>(reader.integer("shard_size", "workers", 1, 256, 16));
    pool.guaranteedSlots = static_cast<uint32_t>(reader.integer("guaranteed_slots", "requests", 0, 64, 1));
    reader.rejectUnknownMembers();
    return pool;
}

static RequestClass readClass(const Json& json, const std::string& pointer, std::vector<Fault>& faults)
{
    ObjectReader reader(json, pointer, faults);
    RequestClass result;
    result.policy.name = reader.text("name");
    result.pool = reader.text("pool");
    result.policy.tier = static_cast<Scheduling::Tier>(
        reader.integer("tier", "tiers (0 is the highest)", 0, Scheduling::tierCount - 1));
    result.policy.target = Milliseconds(reader.integer("target_ms", "ms", 1, maxDurationMs));
    result.policy.maxWait = Milliseconds(reader.integer("max_wait_ms", "ms", 1, maxDurationMs));
    result.policy.guaranteeAfter
        = Milliseconds(reader.integer("guarantee_after_ms", "ms", 1, maxDurationMs, defaultGuaranteeAfterMs));
    result.policy.preemptible = reader.boolean("preemptible");
    result.noRepeat = reader.boolean("no_repeat");
    result.vouchedAttempts = reader.boolean("vouched_attempts");
    result.maxAttempts = static_cast<uint32_t>(reader.integer("max_attempts", "attempts", 1, 10, 3));
    reader.rejectUnknownMembers();
    if (result.noRepeat && result.policy.preemptible)
        reader.fault("preemptible", "cannot be combined with no_repeat");
    if (result.vouchedAttempts && !result.noRepeat)
        reader.fault("vouched_attempts", "requires no_repeat");
    return result;
}

static WorkspaceFile readWorkspace(std::string_view name, const Json& json, std::vector<Fault>& faults)
{
    ObjectReader reader(json, "", faults);
    WorkspaceFile file;
    auto& workspace = file.workspace;
    workspace.name = reader.text("name");
    workspace.keyDigests = reader.texts("key_digests");
    workspace.defaultClass = reader.text("default_class");
    workspace.classes = reader.texts("classes");
    workspace.weight = static_cast<double>(reader.integer("weight", "shares", 1, 1000, 1));
    reader.rejectUnknownMembers();
    if (std::string(workspacePrefix) + workspace.name != name)
        reader.fault("name", "differs from NAME in the file name workspace/NAME");
    for (const auto& digest : workspace.keyDigests) {
        if (digest.size() != digestHexLength || digest.find_first_not_of("0123456789abcdef") != std::string::npos)
            reader.fault("key_digests", "expected SHA-256 digests in lower-case hexadecimal");
    }
    if (std::find(workspace.classes.begin(), workspace.classes.end(), workspace.defaultClass)
        == workspace.classes.end())
        reader.fault("default_class", "not listed in classes");
    return file;
}

template <typename T, typename Read>
static std::vector<T> readList(const Json& json, std::string_view key, std::vector<Fault>& faults, Read read)
{
    ObjectReader reader(json, "", faults);
    std::vector<T> list;
    for (const auto& item : reader.objects(key)) {
        auto pointer = "/" + std::string(key) + "/" + std::to_string(list.size());
        list.push_back(read(item, pointer, faults));
    }
    reader.rejectUnknownMembers();
    return list;
}

template <typename T, typename Name>
static void checkUnique(const std::vector<T>& list, std::string_view key, std::vector<Fault>& faults, Name nameOf)
{
    std::set<std::string> names;
    for (const auto& item : list) {
        if (!names.insert(nameOf(item)).second)
            faults.push_back({ "/" + std::string(key), "the name " + nameOf(item) + " is used more than once" });
    }
}

std::variant<File, std::vector<Fault>> parseFile(std::string_view name, const Json& json)
{
    std::vector<Fault> faults;
    File file;
    if (name == poolsName) {
        PoolsFile pools { readList<Pool>(json, "pools", faults, readPool) };
        checkUnique(pools.pools, "pools", faults, [](const Pool& pool) { return pool.name; });
        file = std::move(pools);
    } else if (name == classesName) {
        ClassesFile classes { readList<RequestClass>(json, "classes", faults, readClass) };
        checkUnique(classes.classes, "classes", faults, [](const RequestClass& each) { return each.policy.name; });
        file = std::move(classes);
    } else if (name.starts_with(workspacePrefix) && name.size() > workspacePrefix.size()) {
        file = readWorkspace(name, json, faults);
    } else {
        faults.push_back({ "", "unknown file name: expected pools, classes or workspace/NAME" });
    }
    if (!faults.empty())
        return faults;
    return file;
}

namespace {

// Names that other files may refer to.
struct KnownNames {
    std::set<std::string> pools;
    std::set<std::string> classes;
};

} // namespace

static KnownNames knownNames(const std::map<std::string, File>& files)
{
    KnownNames known;
    for (const auto& [name, file] : files) {
        if (const auto* poolsFile = std::get_if<PoolsFile>(&file)) {
            for (const auto& pool : poolsFile->pools)
                known.pools.insert(pool.name);
        }
        if (const auto* classesFile = std::get_if<ClassesFile>(&file)) {
            for (const auto& each : classesFile->classes)
                known.classes.insert(each.policy.name);
        }
    }
    return known;
}

static void checkReferences(
    const std::string& name, const File& file, const KnownNames& known, std::vector<Fault>& faults)
{
    if (const auto* classesFile = std::get_if<ClassesFile>(&file)) {
        for (const auto& each : classesFile->classes) {
            if (!known.pools.contains(each.pool))
                faults.push_back({ name, "class " + each.policy.name + " refers to the unknown pool " + each.pool });
        }
    }
    if (const auto* workspaceFile = std::get_if<WorkspaceFile>(&file)) {
        for (const auto& each : workspaceFile->workspace.classes) {
            if (!known.classes.contains(each))
                faults.push_back({ name, "unknown class " + each });
        }
    }
}

std::vector<Fault> checkCrossReferences(const std::map<std::string, File>& files)
{
    auto known = knownNames(files);
    std::vector<Fault> faults;
    for (const auto& [name, file] : files)
        checkReferences(name, file, known, faults);
    return faults;
}

} // namespace Brassladder::ClassServing::Config
