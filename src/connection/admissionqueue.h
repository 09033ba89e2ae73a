// The queue of requests in front of an instance: bounded, with priority classes.
//
// Top classes are served first, in the order in which they are declared. Weighted classes share
// what is left in proportion to their weights, by stride scheduling (Waldspurger and Weihl, 1995).
// So that nothing starves, an entry of a weighted class that waited for at least `aging` is served
// ahead of all others, but such entries get at most one of every `AgedShare` places.
//
//     AdmissionQueue queue({.classes = {{"entry", true, 1}, {"history", false, 1}},
//                           .capacity = 200});
//     queue.push(0, {.id = 1, .queuedAt = now, .deadline = now + Millis(500)});
//     std::optional<QueueEntry> next = queue.pop(now, /*topOnly=*/false);
//
// Performs no I/O and reads no clock. Not thread-safe.
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
    std::uint64_t id = 0; // Chosen by the caller; the queue only returns it.
    Millis queuedAt;
    Millis deadline;
};

class AdmissionQueue
{
public:
    // One in this many places may go to an entry that waited for at least Options::aging.
    static constexpr std::uint64_t AgedShare = 8;

    struct ClassOptions
    {
        std::string name;
        bool top = false; // Whether it is a top class; otherwise it is a weighted class.
        int weight = 1;   // Of a weighted class; at least 1.
    };

    struct Options
    {
        std::vector<ClassOptions> classes;
        std::size_t capacity = 200; // The greatest number of entries of each class.
        Millis aging = Millis(2000);
    };

    explicit AdmissionQueue(Options options);

    // Adds an entry to the class, which is an index into Options::classes. Returns false and adds
    // nothing if the class is full.
    bool push(std::size_t classIndex, const QueueEntry &entry);
    // Removes and returns the next entry to serve, if any; only of top classes if `topOnly`.
    std::optional<QueueEntry> pop(Millis now, bool topOnly);
    // Removes and returns the entries whose deadline has passed.
    std::vector<QueueEntry> takeExpired(Millis now);
    // Removes and returns all entries.
    std::vector<QueueEntry> takeAll();
    // Estimates how many entries would be served before a new one of the class.
    std::size_t entriesAhead(std::size_t classIndex) const;
    std::size_t size() const;
    bool isTop(std::size_t classIndex) const;
    std::size_t classes() const { return m_classes.size(); }

private:
    struct Class
    {
        ClassOptions options;
        std::deque<QueueEntry> entries;
        std::uint64_t pass = 0; // The virtual time at which a weighted class is served next.
    };

    // The weighted class whose first entry waited longest, and for at least `aging`; null if none.
    Class *agedClass(Millis now);
    // The first top class that has entries; null if none.
    Class *topClass();
    // The weighted class with entries that is due first in virtual time; null if none.
    Class *weightedClass();
    static QueueEntry takeFrom(Class *chosen);

    Options m_options;
    std::vector<Class> m_classes;
    std::uint64_t m_virtualTime = 0; // The pass of the weighted class that was served last.
    std::uint64_t m_popsSinceAged = AgedShare; // Calls of pop() since an aged entry was served.
};

} // namespace cicadagap
