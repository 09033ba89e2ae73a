// The queue in front of an instance: bounded, with priority classes.
//
// Top classes go first, in their order of declaration. Weighted classes share the rest by stride
// scheduling (Waldspurger and Weihl, 1995). So that nothing starves, work that waited longer than
// `aging` goes ahead, but takes at most one place in `AgedShare`.
//
//     AdmissionQueue queue({.classes = {{"entry", true, 1}, {"history", false, 1}},
//                           .capacity = 200});
//     queue.push(0, {.id = 1, .queuedAt = now, .deadline = now + Millis(500)});
//     std::optional<QueueEntry> next = queue.pop(now, /*topOnly=*/false);
//
// Pure and not thread-safe.
#pragma once

#include "base/millis.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

struct QueueEntry
{
    std::uint64_t id = 0;
    Millis queuedAt;
    Millis deadline;
};

class AdmissionQueue
{
public:
    // One in this many places may go to work that waited too long.
    static constexpr std::uint64_t AgedShare = 8;

    struct ClassOptions
    {
        std::string name;
        bool top = false;
        int weight = 1; // At least 1.
    };

    struct Options
    {
        std::vector<ClassOptions> classes;
        std::size_t capacity = 200; // Of each class.
        Millis aging = Millis(2000);
    };

    explicit AdmissionQueue(Options options);

    // False if the class's part of the queue is full.
    bool push(std::size_t classIndex, const QueueEntry &entry);
    // The next entry; only of top classes if `topOnly`.
    std::optional<QueueEntry> pop(Millis now, bool topOnly);
    // Removes and returns the entries whose deadline has passed.
    std::vector<QueueEntry> takeExpired(Millis now);
    // Removes and returns everything.
    std::vector<QueueEntry> takeAll();
    // How many entries would go before a new one of the class, as an estimate.
    std::size_t entriesAhead(std::size_t classIndex) const;
    std::size_t size() const;
    bool isTop(std::size_t classIndex) const;
    std::size_t classes() const { return m_classes.size(); }

private:
    struct Class
    {
        ClassOptions options;
        std::deque<QueueEntry> entries;
        std::uint64_t pass = 0; // Virtual time of the next service, in strides.
    };

    Class *agedClass(Millis now);
    Class *topClass();
    Class *weightedClass();
    static QueueEntry takeFrom(Class *chosen);

    Options m_options;
    std::vector<Class> m_classes;
    std::uint64_t m_virtualTime = 0;
    std::uint64_t m_popsSinceAged = AgedShare;
};

} // namespace cicadagap
