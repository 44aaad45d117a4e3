// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Json.h"

#include <span>
#include <string>
#include <vector>

namespace Brassladder::Common {

enum class SettingType { Integer, Number, Boolean, Text, EndpointText, ListenText, EndpointList };

// One row of a program's table of settings.
struct SettingSpec {
    std::string_view pointer; // JSON pointer into the settings file.
    SettingType type;
    Json defaultValue; // Null: the setting must be given.
    std::string_view unit;
    int64_t minimum { 0 };
    int64_t maximum { 0 };
    std::string_view help;
    std::vector<std::string_view> choices {}; // Of a text; empty: any.
};

// What is wrong with one place of a file.
struct Fault {
    std::string pointer;
    std::string message;
};

// Checked settings: every row of the table has a value of its type and within its bounds.
class Settings {
public:
    // Checks the whole file and returns all faults in one go; none means that the settings may be read.
    static std::variant<Settings, std::vector<Fault>> check(std::span<const SettingSpec>, const Json& file);

    int64_t integer(std::string_view pointer) const;
    Milliseconds milliseconds(std::string_view pointer) const { return Milliseconds(integer(pointer)); }
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

// Reads a JSON file; the error names the file.
Result<Json> readJsonFile(const std::string& path);

// The faults as lines for a person: pointer, what is wrong.
std::string describe(std::span<const Fault>);

// The table as lines for a person: pointer, type, unit, bounds, default, help.
std::string describe(std::span<const SettingSpec>);

} // namespace Brassladder::Common
