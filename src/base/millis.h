// Time in milliseconds, and the clocks that supply it.
//
// Millis represents both instants and durations. An instant comes from a Clock and is comparable
// only with other instants from the same clock of the same process. Deterministic state machines
// receive instants as arguments and never read a clock.
//
//     Millis deadline = now + Millis(250);
//     if (now >= deadline)
//         expire();
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <ctime>

namespace cicadagap {

// A signed count of milliseconds.
class Millis
{
public:
    constexpr Millis() = default;
    constexpr explicit Millis(std::int64_t count)
        : m_count(count)
    {
    }

    constexpr std::int64_t count() const { return m_count; }
    constexpr auto operator<=>(const Millis &) const = default;
    constexpr Millis operator+(Millis other) const { return Millis(m_count + other.m_count); }
    constexpr Millis operator-(Millis other) const { return Millis(m_count - other.m_count); }
    constexpr Millis operator*(std::int64_t factor) const { return Millis(m_count * factor); }
    constexpr Millis operator/(std::int64_t divisor) const { return Millis(m_count / divisor); }

private:
    std::int64_t m_count = 0;
};

// A source of instants. Every implementation is thread-safe.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    virtual Millis now() const = 0;
};

// The host's monotonic clock. It is unrelated to the time of day and to the clocks of other hosts.
class SteadyClock : public Clock
{
public:
    Millis now() const override
    {
        using std::chrono::duration_cast;
        using std::chrono::milliseconds;
        const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
        return Millis(duration_cast<milliseconds>(sinceStart).count());
    }
};

// A monotonic clock that also advances while the host is suspended, so that a lease or a sample
// cannot appear younger than it is after a suspension.
class BootClock : public Clock
{
public:
    Millis now() const override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        constexpr std::int64_t NanosPerMilli = 1'000'000;
        return Millis(std::int64_t(time.tv_sec) * 1000 + time.tv_nsec / NanosPerMilli);
    }
};

// The time of day in milliseconds since 1970 (UTC). Use it for logs, expiry dates and incarnation
// numbers only, because it can jump.
inline Millis timeOfDay()
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Millis(duration_cast<milliseconds>(sinceEpoch).count());
}

} // namespace cicadagap
