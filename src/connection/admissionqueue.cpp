#include "connection/admissionqueue.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// The stride of a class, by which each service advances its pass, is this divided by its weight.
constexpr std::uint64_t StrideUnit = 1'000'000;

} // namespace

AdmissionQueue::AdmissionQueue(Options options)
    : m_options(std::move(options))
{
    for (const ClassOptions &classOptions : m_options.classes)
        m_classes.push_back({classOptions, {}, 0});
}

bool AdmissionQueue::push(std::size_t classIndex, const QueueEntry &entry)
{
    Class &target = m_classes.at(classIndex);
    if (target.entries.size() >= m_options.capacity)
        return false;
    // A class that was empty must not make up for the services it missed.
    if (target.entries.empty())
        target.pass = std::max(target.pass, m_virtualTime);
    target.entries.push_back(entry);
    return true;
}

std::optional<QueueEntry> AdmissionQueue::pop(Millis now, bool topOnly)
{
    ++m_popsSinceAged;
    if (!topOnly && m_popsSinceAged >= AgedShare) {
        if (Class *aged = agedClass(now)) {
            m_popsSinceAged = 0;
            return takeFrom(aged);
        }
    }
    if (Class *top = topClass())
        return takeFrom(top);
    if (topOnly)
        return std::nullopt;
    Class *weighted = weightedClass();
    if (!weighted)
        return std::nullopt;
    m_virtualTime = weighted->pass;
    weighted->pass += StrideUnit / static_cast<std::uint64_t>(weighted->options.weight);
    return takeFrom(weighted);
}

std::vector<QueueEntry> AdmissionQueue::takeExpired(Millis now)
{
    std::vector<QueueEntry> expired;
    for (Class &entry : m_classes) {
        std::erase_if(entry.entries, [now, &expired](const QueueEntry &queued) {
            const bool late = now >= queued.deadline;
            if (late)
                expired.push_back(queued);
            return late;
        });
    }
    return expired;
}

std::vector<QueueEntry> AdmissionQueue::takeAll()
{
    std::vector<QueueEntry> all;
    for (Class &entry : m_classes) {
        all.insert(all.end(), entry.entries.begin(), entry.entries.end());
        entry.entries.clear();
    }
    return all;
}

std::size_t AdmissionQueue::entriesAhead(std::size_t classIndex) const
{
    const Class &own = m_classes.at(classIndex);
    std::size_t topEntries = 0;
    std::size_t weightedEntries = 0;
    std::size_t activeWeight = 0;
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        const Class &other = m_classes[i];
        if (other.options.top && (!own.options.top || i <= classIndex))
            topEntries += other.entries.size();
        if (!other.options.top && !other.entries.empty()) {
            weightedEntries += other.entries.size();
            activeWeight += static_cast<std::size_t>(other.options.weight);
        }
    }
    if (own.options.top)
        return topEntries;
    // The class gets its weight's share of the places, so this many entries of the other classes
    // are served before a new one.
    const auto weight = static_cast<std::size_t>(own.options.weight);
    return topEntries
        + std::min(weightedEntries, own.entries.size() * std::max(activeWeight, weight) / weight);
}

std::size_t AdmissionQueue::size() const
{
    std::size_t size = 0;
    for (const Class &entry : m_classes)
        size += entry.entries.size();
    return size;
}

bool AdmissionQueue::isTop(std::size_t classIndex) const
{
    return m_classes.at(classIndex).options.top;
}

AdmissionQueue::Class *AdmissionQueue::agedClass(Millis now)
{
    Class *oldest = nullptr;
    for (Class &entry : m_classes) {
        if (entry.options.top || entry.entries.empty())
            continue;
        const Millis waiting = now - entry.entries.front().queuedAt;
        if (waiting < m_options.aging)
            continue;
        if (!oldest || entry.entries.front().queuedAt < oldest->entries.front().queuedAt)
            oldest = &entry;
    }
    return oldest;
}

AdmissionQueue::Class *AdmissionQueue::topClass()
{
    for (Class &entry : m_classes) {
        if (entry.options.top && !entry.entries.empty())
            return &entry;
    }
    return nullptr;
}

AdmissionQueue::Class *AdmissionQueue::weightedClass()
{
    Class *chosen = nullptr;
    for (Class &entry : m_classes) {
        if (entry.options.top || entry.entries.empty())
            continue;
        if (!chosen || entry.pass < chosen->pass)
            chosen = &entry;
    }
    return chosen;
}

QueueEntry AdmissionQueue::takeFrom(Class *chosen)
{
    const QueueEntry entry = chosen->entries.front();
    chosen->entries.pop_front();
    return entry;
}

} // namespace cicadagap
