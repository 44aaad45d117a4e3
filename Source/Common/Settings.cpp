// SPDX-License-Identifier: Apache-2.0
#include "Common/Settings.h"

#include "Common/Endpoint.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Brassladder::Common {

static std::string_view typeName(SettingType type)
{
    switch (type) {
    case SettingType::Integer:
        return "integer";
    case SettingType::Number:
        return "number";
    case SettingType::Boolean:
        return "true or false";
    case SettingType::Text:
        return "string";
    case SettingType::EndpointText:
        return "string ADDRESS:PORT";
    case SettingType::ListenText:
        return "string ADDRESS:PORT, port 0 for any";
    case SettingType::EndpointList:
        return "array of strings ADDRESS:PORT";
    case SettingType::TextList:
        return "array of strings";
    }
    return "";
}

static std::string describeExpectedValue(const SettingSpec& spec)
{
    std::string text = "expected " + std::string(typeName(spec.type));
    if (!spec.unit.empty())
        text += " in " + std::string(spec.unit);
    if (spec.type == SettingType::Integer || spec.type == SettingType::Number)
        text += " from " + std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum);
    for (const auto& choice : spec.choices)
        text.append(choice == spec.choices.front() ? ": one of " : ", ").append(choice);
    return text;
}

static bool isEndpoint(const Json& value)
{
    return value.is_string() && !isError(parseEndpoint(value.get_ref<const std::string&>()));
}

static bool isListenAddress(const Json& value)
{
    return value.is_string() && !isError(parseListenEndpoint(value.get_ref<const std::string&>()));
}

static bool isValidValue(const SettingSpec& spec, const Json& value)
{
    switch (spec.type) {
    case SettingType::Integer:
        return value.is_number_integer() && value.get<int64_t>() >= spec.minimum
            && value.get<int64_t>() <= spec.maximum;
    case SettingType::Number:
        return value.is_number() && value.get<double>() >= static_cast<double>(spec.minimum)
            && value.get<double>() <= static_cast<double>(spec.maximum);
    case SettingType::Boolean:
        return value.is_boolean();
    case SettingType::Text:
        if (!value.is_string())
            return false;
        return spec.choices.empty()
            || std::find(spec.choices.begin(), spec.choices.end(), value.get_ref<const std::string&>())
            != spec.choices.end();
    case SettingType::ListenText:
        return isListenAddress(value);
    case SettingType::EndpointText:
        return isEndpoint(value);
    case SettingType::EndpointList:
        return value.is_array() && std::all_of(value.begin(), value.end(), isEndpoint);
    case SettingType::TextList:
        return value.is_array()
            && std::all_of(value.begin(), value.end(), [](const auto& element) { return element.is_string(); });
    }
    return false;
}

// Whether the pointer names an object that contains settings of the table.
static bool isKnownGroup(std::span<const SettingSpec> table, const std::string& pointer)
{
    return std::any_of(
        table.begin(), table.end(), [&](const auto& spec) { return spec.pointer.starts_with(pointer + "/"); });
}

static void collectUnknownSettings(
    std::span<const SettingSpec> table, const Json& value, const std::string& pointer, std::vector<Fault>& faults)
{
    auto known = std::any_of(table.begin(), table.end(), [&](const auto& spec) { return spec.pointer == pointer; });
    if (known)
        return;
    if (!value.is_object() || (!pointer.empty() && !isKnownGroup(table, pointer))) {
        faults.push_back({ pointer, "unknown setting" });
        return;
    }
    for (const auto& [key, child] : value.items())
        collectUnknownSettings(table, child, std::string(pointer).append("/").append(key), faults);
}

std::variant<Settings, std::vector<Fault>> Settings::check(std::span<const SettingSpec> table, const Json& file)
{
    std::vector<Fault> faults;
    if (!file.is_object())
        return std::vector<Fault> { { "", "expected an object" } };
    collectUnknownSettings(table, file, "", faults);
    Json values = Json::object();
    for (const auto& spec : table) {
        Json::json_pointer pointer { std::string(spec.pointer) };
        if (!file.contains(pointer)) {
            if (spec.defaultValue.is_null())
                faults.push_back({ std::string(spec.pointer), "missing; " + describeExpectedValue(spec) });
            else
                values[pointer] = spec.defaultValue;
            continue;
        }
        if (!isValidValue(spec, file[pointer]))
            faults.push_back(
                { std::string(spec.pointer), describeExpectedValue(spec) + ", got " + dumpJson(file[pointer]) });
        else
            values[pointer] = file[pointer];
    }
    if (!faults.empty())
        return faults;
    return Settings(std::move(values));
}

int64_t Settings::integer(std::string_view pointer) const
{
    return m_values.at(Json::json_pointer(std::string(pointer))).get<int64_t>();
}

double Settings::number(std::string_view pointer) const
{
    return m_values.at(Json::json_pointer(std::string(pointer))).get<double>();
}

bool Settings::boolean(std::string_view pointer) const
{
    return m_values.at(Json::json_pointer(std::string(pointer))).get<bool>();
}

std::string Settings::text(std::string_view pointer) const
{
    return m_values.at(Json::json_pointer(std::string(pointer))).get<std::string>();
}

std::vector<std::string> Settings::list(std::string_view pointer) const
{
    return m_values.at(Json::json_pointer(std::string(pointer))).get<std::vector<std::string>>();
}

Result<Json> readJsonFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(ErrorKind::BadRequest, "cannot read " + path);
    std::stringstream text;
    text << file.rdbuf();
    Json json = parseJson(text.str());
    if (json.is_discarded())
        return makeError(ErrorKind::BadRequest, path + " is not valid JSON");
    return json;
}

std::string describe(std::span<const Fault> faults)
{
    std::string text;
    for (const auto& fault : faults)
        text += (fault.pointer.empty() ? "/" : fault.pointer) + ": " + fault.message + "\n";
    return text;
}

std::string describe(std::span<const SettingSpec> table)
{
    std::string text;
    for (const auto& spec : table) {
        text += std::string(spec.pointer) + ": " + describeExpectedValue(spec);
        text += spec.defaultValue.is_null() ? ", must be given" : ", default " + dumpJson(spec.defaultValue);
        text += ". " + std::string(spec.help) + "\n";
    }
    return text;
}

} // namespace Brassladder::Common
