// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Config/Model.h"

#include <gtest/gtest.h>

namespace Brassladder::ClassServing::Config {

namespace {

struct InvalidFile {
    const char* name;
    const char* text;
    std::vector<std::string> pointers; // Faults that must be reported by one call.
};

class InvalidFileTest : public testing::TestWithParam<InvalidFile> { };

} // namespace

TEST_P(InvalidFileTest, ReportsEachFault)
{
    auto parsed = parseFile(GetParam().name, Common::parseJson(GetParam().text));
    const auto* faults = std::get_if<std::vector<Common::Fault>>(&parsed);
    ASSERT_NE(faults, nullptr);
    for (const auto& pointer : GetParam().pointers) {
        bool named
            = std::any_of(faults->begin(), faults->end(), [&](const auto& fault) { return fault.pointer == pointer; });
        EXPECT_TRUE(named) << pointer << " in\n" << Common::describe(*faults);
    }
}

INSTANTIATE_TEST_SUITE_P(Files, InvalidFileTest,
    testing::Values(InvalidFile { "pools", "[]", { "" } },
        InvalidFile { "pools", R"({"pools":[{}]})", { "/pools/0/name", "/pools/0/kind" } },
        InvalidFile { "pools", R"({"pools":[{"name":"a","kind":"engine","slots_per_worker":0,"extra":1}]})",
            { "/pools/0/slots_per_worker", "/pools/0/extra" } },
        InvalidFile { "pools",
            R"({"pools":[{"name":"a","kind":"engine","slots_per_worker":1},{"name":"a","kind":"engine","slots_per_worker":1}]})",
            { "/pools" } },
        InvalidFile { "classes", R"({"classes":[{"name":"a","pool":"p","tier":9,"target_ms":-1,"max_wait_ms":1.5}]})",
            { "/classes/0/tier", "/classes/0/target_ms", "/classes/0/max_wait_ms" } },
        InvalidFile { "classes",
            R"({"classes":[{"name":"a","pool":"p","tier":0,"target_ms":1,"max_wait_ms":1,"no_repeat":true,"preemptible":true}]})",
            { "/classes/0/preemptible" } },
        InvalidFile { "workspace/a", R"({"name":"b","key_digests":["x"],"default_class":"c","classes":["d"]})",
            { "/name", "/key_digests", "/default_class" } },
        InvalidFile { "elsewhere", "{}", { "" } }));

} // namespace Brassladder::ClassServing::Config
