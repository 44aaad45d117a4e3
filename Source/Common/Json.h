// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace Brassladder::Common {

using Json = nlohmann::json;

// Maximum nesting of arrays and objects. Serialising and copying recurse for each level, and a fiber has
// a stack of 64 KB.
// In a release build, 400 levels fit and 450 levels overflow it (150 bytes per level).
inline constexpr size_t maxJsonDepth = 64;

// Parses text without throwing. Returns a discarded value if the text is not JSON, not UTF-8 or nested deeper than
// `maxJsonDepth`.
Json parseJson(std::string_view text);

// Serialises without throwing; bytes that are not UTF-8 are replaced.
inline std::string dumpJson(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

// Returns the text with a replacement character in place of bytes that are not UTF-8.
std::string replaceInvalidUtf8(std::string_view text);

// Returns a member of type T, or the fallback if it is absent or has another type.
template <typename T> T member(const Json& object, std::string_view key, T fallback)
{
    if (!object.is_object())
        return fallback;
    auto found = object.find(key);
    if (found == object.end())
        return fallback;
    if constexpr (std::is_same_v<T, std::string>)
        return found->is_string() ? found->get<std::string>() : fallback;
    else if constexpr (std::is_same_v<T, bool>)
        return found->is_boolean() ? found->get<bool>() : fallback;
    else
        return found->is_number() ? found->get<T>() : fallback;
}

} // namespace Brassladder::Common
