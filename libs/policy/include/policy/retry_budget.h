#pragma once

#include <algorithm>

namespace pollen {

// Token bucket that limits retries to a share of the requests, so that retries cannot amplify an overload.
class retry_budget {
public:
    // retriesPerRequest: retries added by each request. maximumRetries: capacity and initial level.
    retry_budget(double retriesPerRequest, double maximumRetries)
        : m_retriesPerRequest(retriesPerRequest)
        , m_maximumRetries(maximumRetries)
        , m_availableRetries(maximumRetries)
    {
    }

    void onRequest() { m_availableRetries = std::min(m_maximumRetries, m_availableRetries + m_retriesPerRequest); }

    // Takes one retry; returns false if the budget is exhausted.
    bool take()
    {
        if (m_availableRetries < 1)
            return false;
        m_availableRetries -= 1;
        return true;
    }

private:
    double m_retriesPerRequest;
    double m_maximumRetries;
    double m_availableRetries;
};

} // namespace pollen
