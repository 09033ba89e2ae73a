// Limits retries to a share of first attempts, so that a failure does not multiply load. (Token
// bucket as in the "retry budget" of Beyer et al., "Site Reliability Engineering", 2016, ch. 22.)
#pragma once

#include <algorithm>

namespace cicadagap {

// Not thread-safe.
class RetryBudget
{
public:
    // `percent` of first attempts may be retried; up to `burst` retries are saved up, and available
    // at the start.
    RetryBudget(int percent, double burst)
        : m_share(percent / 100.0)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    void onFirstAttempt() { m_tokens = std::min(m_burst, m_tokens + m_share); }
    // Takes one retry from the budget; false if there is none.
    bool takeRetry()
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }
    // Changes the share after a change of settings.
    void setPercent(int percent) { m_share = percent / 100.0; }

private:
    double m_share;
    double m_burst;
    double m_tokens;
};

} // namespace cicadagap
