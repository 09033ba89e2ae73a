// A retry budget: limits retries to a share of first attempts, so that a failure does not multiply
// the load. It is a token bucket. (Beyer et al., "Site Reliability Engineering", 2016, ch. 22.)
//
//     RetryBudget budget(10, 100);   // One retry for each ten first attempts, at most 100 saved
//     up. budget.onFirstAttempt(); if (budget.takeRetry())
//         retry();
#pragma once

#include <algorithm>

namespace cicadagap {

// Not thread-safe.
class RetryBudget
{
public:
    // Each first attempt adds `percent` / 100 of a retry to the budget, which holds `burst` retries
    // at most and begins with that many.
    RetryBudget(int percent, double burst)
        : m_share(percent / 100.0)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    void onFirstAttempt() { m_tokens = std::min(m_burst, m_tokens + m_share); }
    // Takes one retry from the budget. Returns false, and takes nothing, if less than one is left.
    bool takeRetry()
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }
    // Changes the share of first attempts that may be retried; what was saved up stays.
    void setPercent(int percent) { m_share = percent / 100.0; }

private:
    double m_share;  // Retries that one first attempt adds.
    double m_burst;  // The most retries that can be saved up.
    double m_tokens; // Retries that may be made now.
};

} // namespace cicadagap
