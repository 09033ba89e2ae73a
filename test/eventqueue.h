// The events of a simulation in simulated time.
#pragma once

#include "base/millis.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

namespace cicadagap {

// Events in the order of their times; those of one time in the order in which they were added.
//
//     while (const std::optional<EventQueue::Event> event = events.takeUntil(end)) {
//         now = event->when;
//         event->function();
//     }
class EventQueue
{
public:
    struct Event
    {
        Millis when;
        std::uint64_t sequence = 0;
        std::function<void()> function;

        bool operator<(const Event &other) const
        {
            return std::tie(other.when, other.sequence) < std::tie(when, sequence);
        }
    };

    void at(Millis when, std::function<void()> function)
    {
        m_events.push({when, ++m_sequence, std::move(function)});
    }

    // The next event, if it is due by `end`.
    std::optional<Event> takeUntil(Millis end)
    {
        if (m_events.empty() || m_events.top().when > end)
            return std::nullopt;
        Event event = m_events.top();
        m_events.pop();
        return event;
    }

private:
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace cicadagap
