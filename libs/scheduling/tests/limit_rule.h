#pragma once

#include <algorithm>
#include <base/clock.h>
#include <cstddef>
#include <deque>
#include <vector>

namespace pollen {

// The users' rule: within any four seconds a server gets at most one and a half times what its limit allows, and five
// requests.
inline constexpr duration limitRuleWindow = std::chrono::seconds(4);
inline constexpr double limitRuleFactor = 1.5;
inline constexpr double limitRuleSlack = 5;

inline double allowedInWindow(double limit)
{
    return limit * toSeconds(limitRuleWindow) * limitRuleFactor + limitRuleSlack;
}

// The most arrivals within any window. arrivals: in the order of time.
inline double mostInWindow(const std::vector<time_point>& arrivals)
{
    size_t most = 0;
    std::deque<time_point> window;
    for (const time_point arrival : arrivals) {
        window.push_back(arrival);
        while (arrival - window.front() > limitRuleWindow)
            window.pop_front();
        most = std::max(most, window.size());
    }
    return static_cast<double>(most);
}

} // namespace pollen
