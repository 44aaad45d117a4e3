// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::Common {

// The longest path of a guarantee with a time bound: the waits that may follow one another from the event that starts
// the bound until it has taken effect. A guarantee holds by design only if the sum of these waits is within its bound.
class TimeBudget {
public:
    struct Wait {
        std::string name;
        Milliseconds longest { 0 };
    };

    // `guarantee` names the bound, `path` one way on which the event takes effect under given faults.
    TimeBudget(std::string guarantee, std::string path, Milliseconds bound);

    // Adds the wait that follows those added so far, `times` in a row.
    TimeBudget& add(std::string_view name, Milliseconds longest, unsigned times = 1);

    const std::string& guarantee() const { return m_guarantee; }
    const std::string& path() const { return m_path; }
    Milliseconds bound() const { return m_bound; }
    std::span<const Wait> waits() const { return m_waits; }
    Milliseconds total() const;
    bool isWithinBound() const { return total() <= m_bound; }
    // Returns the sum, its parts and the bound, for logs and error messages.
    std::string text() const;

private:
    std::string m_guarantee;
    std::string m_path;
    Milliseconds m_bound;
    std::vector<Wait> m_waits;
};

// Returns the budgets that exceed their bound.
std::vector<TimeBudget> exceededBudgets(std::span<const TimeBudget>);

} // namespace Brassladder::Common
