// SPDX-License-Identifier: Apache-2.0
#include "Common/TimeBudget.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace Brassladder::Common {

TimeBudget::TimeBudget(std::string guarantee, std::string path, Milliseconds bound)
    : m_guarantee(std::move(guarantee))
    , m_path(std::move(path))
    , m_bound(bound)
{
}

TimeBudget& TimeBudget::add(std::string_view name, Milliseconds longest, unsigned times)
{
    for (unsigned time = 0; time < times; ++time)
        m_waits.push_back({ std::string(name), longest });
    return *this;
}

Milliseconds TimeBudget::total() const
{
    return std::accumulate(m_waits.begin(), m_waits.end(), Milliseconds(0),
        [](Milliseconds sum, const Wait& wait) { return sum + wait.longest; });
}

static std::string inMilliseconds(Milliseconds time) { return std::to_string(time.count()) + " ms"; }

std::string TimeBudget::text() const
{
    std::string text = m_guarantee + ", " + m_path + ": ";
    for (const auto& wait : m_waits)
        text += (&wait == m_waits.data() ? "" : " + ") + wait.name + " " + inMilliseconds(wait.longest);
    return text + " = " + inMilliseconds(total()) + ", bound " + inMilliseconds(m_bound);
}

std::vector<TimeBudget> exceededBudgets(std::span<const TimeBudget> budgets)
{
    std::vector<TimeBudget> exceeded;
    std::copy_if(budgets.begin(), budgets.end(), std::back_inserter(exceeded),
        [](const auto& budget) { return !budget.isWithinBound(); });
    return exceeded;
}

} // namespace Brassladder::Common
