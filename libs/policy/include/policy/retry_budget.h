#pragma once

#include <algorithm>

namespace pollen {

// Bounds retries to a share of the requests, so that retries cannot amplify an overload.
class retry_budget {
public:
    // share: retries allowed for each request. reserve: retries that may be saved up.
    retry_budget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_saved(reserve)
    {
    }

    void onRequest() { m_saved = std::min(m_reserve, m_saved + m_share); }

    // Takes one retry out of the budget; false when it is spent.
    bool take()
    {
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    double m_share;
    double m_reserve;
    double m_saved;
};

} // namespace pollen
