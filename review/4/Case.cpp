// SPDX-License-Identifier: Apache-2.0
// A caller sends a request whose head is within the limits of the configuration, and one of its fields is longer than
// 65,533 bytes: do the routers that read it live on, and answer the others whose requests they have passed on?
#include "../standin-2/LostCase.h"

using namespace Review;

static constexpr size_t headerLimit = 131072;
static constexpr size_t longField = 66000;
static constexpr size_t shortField = 30000;

int main(int, char** argv)
{
    auto bytes = isTroubleLeftOut() ? shortField : longField;
    playLostCase(argv[1], lostCaseConfiguration(headerLimit),
        [bytes](const std::string& id) { return head(id, "Cookie: " + std::string(bytes, 'c') + "\r\n"); });
}
