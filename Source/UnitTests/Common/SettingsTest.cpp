// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Frontend/ClassRouterSettings.h"
#include "Common/Settings.h"

#include <gtest/gtest.h>

namespace Brassladder::Common {

static Json validRouter()
{
    return { { "id", "r" }, { "fleet_key", "k" },
        { "platform", { { "log", "127.0.0.1:1" }, { "instance_list", "127.0.0.1:2" } } } };
}

TEST(SettingsTest, OmittedSettingsGetTheirDefaults)
{
    auto checked = Settings::check(ClassServing::Frontend::ClassRouterSettings::table(), validRouter());
    ASSERT_TRUE(std::holds_alternative<Settings>(checked));
    auto settings = ClassServing::Frontend::ClassRouterSettings::from(std::get<Settings>(checked));
    EXPECT_EQ(settings.threads, 2u);
    EXPECT_EQ(settings.log.port, 1);
}

TEST(SettingsTest, CheckReportsAllFaults)
{
    Json file = validRouter();
    file["threads"] = 0;
    file["http"]["max_body_bytes"] = "many";
    file["http"]["unknown"] = 1;
    file["platform"]["log"] = "localhost";
    file["scheduling"]["placement"] = "best";
    file.erase("id");
    auto checked = Settings::check(ClassServing::Frontend::ClassRouterSettings::table(), file);
    auto* faults = std::get_if<std::vector<Fault>>(&checked);
    ASSERT_NE(faults, nullptr);
    auto text = describe(*faults);
    for (const auto* pointer :
        { "/threads:", "/http/max_body_bytes:", "/http/unknown:", "/platform/log:", "/scheduling/placement:", "/id:" })
        EXPECT_NE(text.find(pointer), std::string::npos) << pointer << " in\n" << text;
    EXPECT_NE(text.find("integer in bytes from 1024"), std::string::npos) << text;
}

TEST(ErrorTest, TableIsInOrderAndComplete)
{
    size_t index = 0;
    for (const auto& row : errorTable()) {
        EXPECT_EQ(static_cast<size_t>(row.kind), index++);
        EXPECT_FALSE(row.name.empty());
        EXPECT_GE(row.httpStatus, 400u);
    }
    EXPECT_EQ(index, static_cast<size_t>(ErrorKind::Internal) + 1);
}

} // namespace Brassladder::Common
