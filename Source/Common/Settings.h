// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Json.h"

#include <span>
#include <string>
#include <vector>

namespace Brassladder::Common {

enum class SettingType { Integer, Number, Boolean, Text, EndpointText, ListenText, EndpointList, TextList };

// Describes one setting of a program.
struct SettingSpec {
    std::string_view pointer; // JSON pointer into the settings file.
    SettingType type;
    Json defaultValue; // Null: the setting is required.
    std::string_view unit;
    int64_t minimum { 0 };
    int64_t maximum { 0 };
    std::string_view help;
    std::vector<std::string_view> choices {}; // Allowed values of a text; empty: any.
};

// A validation error at one place of a file.
struct Fault {
    std::string pointer;
    std::string message;
};

// Validated settings: every setting of the table has a value of its type and within its bounds.
class Settings {
public:
    // Validates the whole file. Returns the settings, or all faults.
    static std::variant<Settings, std::vector<Fault>> check(std::span<const SettingSpec>, const Json& file);

    int64_t integer(std::string_view pointer) const;
    Milliseconds milliseconds(std::string_view pointer) const { return Milliseconds(integer(pointer)); }
    // Returns a setting in MB as bytes.
    size_t megabytes(std::string_view pointer) const { return static_cast<size_t>(integer(pointer)) * 1024 * 1024; }
    double number(std::string_view pointer) const;
    bool boolean(std::string_view pointer) const;
    std::string text(std::string_view pointer) const;
    std::vector<std::string> list(std::string_view pointer) const;
    const Json& json() const { return m_values; }

private:
    explicit Settings(Json values)
        : m_values(std::move(values))
    {
    }
    Json m_values;
};

// Reads a JSON file. Returns BadRequest with the path if the file cannot be read or is not JSON.
Result<Json> readJsonFile(const std::string& path);

// Formats the faults, one per line: pointer and message.
std::string describe(std::span<const Fault>);

// Formats the table, one setting per line: pointer, type, unit, bounds, default and help.
std::string describe(std::span<const SettingSpec>);

} // namespace Brassladder::Common
