#pragma once

#include <algorithm>

namespace pollen {

// Bounds retries to a share of the requests, so that retries cannot amplify an overload.
class retry_budget {
public:
    // retriesPerRequest: retries allowed for each request. maximumRetries: retries that may be saved up.
    retry_budget(double retriesPerRequest, double maximumRetries)
        : m_retriesPerRequest(retriesPerRequest)
        , m_maximumRetries(maximumRetries)
        , m_availableRetries(maximumRetries)
    {
    }

    void onRequest() { m_availableRetries = std::min(m_maximumRetries, m_availableRetries + m_retriesPerRequest); }

    // Takes one retry out of the budget; false when it is spent.
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
