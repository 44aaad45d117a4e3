// SPDX-License-Identifier: Apache-2.0
#include "Common/Json.h"

namespace Brassladder::Common {

// Returns the position of the quote that ends the string whose content begins at `begin`, or the end of the text.
static size_t endOfString(std::string_view text, size_t begin)
{
    while (true) {
        size_t quote = text.find('"', begin);
        if (quote == std::string_view::npos)
            return text.size();
        size_t backslashes = 0;
        while (quote - backslashes > begin && text[quote - backslashes - 1] == '\\')
            ++backslashes;
        bool isEscaped = backslashes % 2;
        if (!isEscaped)
            return quote;
        begin = quote + 1;
    }
}

// Counts brackets outside of strings. The count is exact for valid JSON; the parser rejects other text.
static bool isNestedTooDeeply(std::string_view text)
{
    size_t depth = 0;
    for (size_t position = 0; position < text.size(); ++position) {
        char byte = text[position];
        if (byte == '"')
            position = endOfString(text, position + 1);
        else if (byte == '[' || byte == '{')
            ++depth;
        else if ((byte == ']' || byte == '}') && depth)
            --depth;
        if (depth > maxJsonDepth)
            return true;
    }
    return false;
}

Json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text))
        return Json(Json::value_t::discarded);
    return Json::parse(text, nullptr, false);
}

std::string replaceInvalidUtf8(std::string_view text)
{
    return parseJson(dumpJson(Json(std::string(text)))).get<std::string>();
}

} // namespace Brassladder::Common
