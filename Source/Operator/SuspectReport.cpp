// SPDX-License-Identifier: Apache-2.0
#include "Operator/SuspectReport.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace Brassladder::Operator {

using Common::Json;
using Common::member;

static constexpr int64_t millisecondsPerSecond = 1000;

static auto evidenceOf(const Json& suspect)
{
    return std::tuple(member<uint64_t>(suspect, "in_turn", 0), member<uint64_t>(suspect, "crashes", 0),
        member<uint64_t>(suspect, "trials", 0));
}

Json mergeSuspects(std::span<const Json> lists)
{
    std::map<std::string, Json> byIdentity;
    for (const auto& list : lists) {
        for (const auto& suspect : list) {
            auto& known = byIdentity[member<std::string>(suspect, "identity", "")];
            if (known.is_null() || evidenceOf(known) < evidenceOf(suspect))
                known = suspect;
        }
    }
    std::vector<Json> sorted;
    sorted.reserve(byIdentity.size());
    for (auto& [identity, suspect] : byIdentity)
        sorted.push_back(std::move(suspect));
    std::stable_sort(
        sorted.begin(), sorted.end(), [](const auto& a, const auto& b) { return evidenceOf(a) > evidenceOf(b); });
    return sorted;
}

static std::string formatSeconds(int64_t milliseconds)
{
    return std::to_string(milliseconds / millisecondsPerSecond) + " s";
}

std::string toText(const Json& suspect)
{
    bool isPromptPart = member<std::string>(suspect, "kind", "request") == "prompt_part";
    auto text = member<std::string>(suspect, "identity", "?") + (isPromptPart ? "  part of prompts  " : "  ")
        + member<std::string>(suspect, "state", "?") + "  " + std::to_string(member<uint64_t>(suspect, "in_turn", 0))
        + " consecutive crashes of " + std::to_string(member<uint64_t>(suspect, "crashes", 0)) + "  workspace "
        + member<std::string>(suspect, "workspace", "") + "  " + member<std::string>(suspect, "target", "");
    if (suspect.contains("body_bytes"))
        text += "  " + std::to_string(member<uint64_t>(suspect, "body_bytes", 0)) + " bytes";
    if (suspect.contains("next_trial_in_ms"))
        text += "  next trial in " + formatSeconds(member<int64_t>(suspect, "next_trial_in_ms", 0));
    text += "\n";
    for (const auto& run : suspect.value("runs", Json::array()))
        text += "    " + member<std::string>(run, "upstream", "?") + "  crashed "
            + formatSeconds(member<int64_t>(run, "ago_ms", 0)) + " ago, "
            + std::to_string(member<int64_t>(run, "ms", 0)) + " ms after request "
            + member<std::string>(run, "request", "?") + " was sent there\n";
    return text;
}

} // namespace Brassladder::Operator
