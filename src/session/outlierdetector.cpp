#include "session/outlierdetector.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// Weights of a new value in the moving averages.
constexpr double RefusedWeight = 0.05;
constexpr double ServiceWeight = 0.1;

std::string rounded(double value)
{
    return std::to_string(static_cast<long>(value));
}

} // namespace

void OutlierDetector::setGroups(const std::map<std::string, std::set<std::string>> &groups)
{
    std::map<std::string, Instance> instances;
    for (const auto &[group, names] : groups) {
        for (const std::string &name : names) {
            const auto known = m_instances.find(name);
            Instance &instance = instances[name];
            if (known != m_instances.end() && known->second.group == group)
                instance = std::move(known->second);
            instance.group = group;
        }
    }
    m_instances = std::move(instances);
    m_groups = groups;
}

void OutlierDetector::onAnswer(Millis now, const std::string &instance, AnswerQuality quality)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    Instance &entry = found->second;
    entry.failures = quality == AnswerQuality::Good ? 0 : entry.failures + 1;
    entry.answers = std::min(entry.answers + 1, m_options.minAnswers);
    entry.refused
        += RefusedWeight * ((quality == AnswerQuality::Refused ? 1.0 : 0.0) - entry.refused);
    entry.lastAnswer = now;
    judge(now, instance);
}

void OutlierDetector::onServiceTime(Millis now, const std::string &instance, Millis took)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end() || took < Millis(0))
        return;
    Instance &entry = found->second;
    const auto tookMs = static_cast<double>(took.count());
    entry.serviceMs += (entry.times == 0 ? 1 : ServiceWeight) * (tookMs - entry.serviceMs);
    entry.times = std::min(entry.times + 1, m_options.minAnswers);
    entry.lastTime = now;
    judge(now, instance);
}

// Why the instance is an outlier, with the inputs and their age; empty if it is none.
std::string OutlierDetector::reason(Millis now, const std::string &name,
                                    const Instance &instance) const
{
    double siblingRefused = 0;
    double siblingMs = 0;
    Millis oldest;
    int siblings = 0;
    int timedSiblings = 0;
    bool allFail = true;
    for (const std::string &other : m_groups.at(instance.group)) {
        if (other == name)
            continue;
        const Instance &sibling = m_instances.at(other);
        allFail = allFail && sibling.failures >= m_options.failuresInARow;
        if (sibling.answers >= m_options.minAnswers
            && now - sibling.lastAnswer <= m_options.oldest) {
            siblingRefused = std::max(siblingRefused, sibling.refused);
            oldest = std::max(oldest, now - sibling.lastAnswer);
            ++siblings;
        }
        if (sibling.times >= m_options.minAnswers && now - sibling.lastTime <= m_options.oldest) {
            siblingMs = std::max(siblingMs, sibling.serviceMs);
            oldest = std::max(oldest, now - sibling.lastTime);
            ++timedSiblings;
        }
    }
    const std::string age = ", oldest answer " + std::to_string(oldest.count()) + " ms ago";
    if (instance.failures >= m_options.failuresInARow && !allFail)
        return std::to_string(instance.failures) + " failures in a row" + age;
    if (instance.answers >= m_options.minAnswers && siblings > 0
        && instance.refused > m_options.refusedShare
        && instance.refused > m_options.refusedFactor * siblingRefused)
        return "refused " + rounded(100 * instance.refused) + " percent, siblings "
            + rounded(100 * siblingRefused) + age;
    if (instance.times >= m_options.minAnswers && timedSiblings > 0
        && instance.serviceMs > m_options.slowFactor * siblingMs
        && instance.serviceMs > siblingMs + static_cast<double>(m_options.slowMargin.count()))
        return "takes " + rounded(instance.serviceMs) + " ms, siblings " + rounded(siblingMs) + age;
    return {};
}

void OutlierDetector::judge(Millis now, const std::string &name)
{
    Instance &instance = m_instances.at(name);
    if (now < instance.asideUntil)
        return;
    std::string why = reason(now, name, instance);
    if (why.empty())
        return;
    const std::set<std::string> &group = m_groups.at(instance.group);
    const auto aside = static_cast<std::size_t>(
        std::count_if(group.begin(), group.end(), [&](const std::string &other) {
            return now < m_instances.at(other).asideUntil;
        }));
    if (aside + 1 > group.size() / 2)
        return;
    const bool repeated
        = instance.asideFor > Millis(0) && now - instance.asideUntil < m_options.forgiveAfter;
    instance.asideFor = repeated ? std::min(instance.asideFor * 2, m_options.longestSetAside)
                                 : m_options.setAside;
    instance.asideSince = now;
    instance.asideUntil = now + instance.asideFor;
    instance.returnLogged = false;
    // It is judged by what it answers from now on.
    instance.failures = 0;
    instance.answers = 0;
    instance.refused = 0;
    instance.times = 0;
    instance.serviceMs = 0;
    why += ", for " + std::to_string(instance.asideFor.count()) + " ms";
    m_events.push_back({.group = instance.group,
                        .instance = name,
                        .event = "instance.set-aside",
                        .detail = std::move(why)});
}

double OutlierDetector::share(Millis now, const std::string &instance) const
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end() || found->second.asideFor == Millis(0))
        return 1;
    const Instance &entry = found->second;
    if (now < entry.asideUntil)
        return 0;
    const double passed = static_cast<double>((now - entry.asideUntil).count())
        / static_cast<double>(m_options.returnTime.count());
    return std::min(1.0, m_options.firstShare + (1 - m_options.firstShare) * passed);
}

std::vector<OutlierEvent> OutlierDetector::takeEvents(Millis now)
{
    for (auto &[name, instance] : m_instances) {
        if (instance.returnLogged || now < instance.asideUntil)
            continue;
        instance.returnLogged = true;
        m_events.push_back(
            {.group = instance.group,
             .instance = name,
             .event = "instance.returned",
             .detail = "after " + std::to_string((now - instance.asideSince).count()) + " ms"});
    }
    return std::exchange(m_events, {});
}

} // namespace cicadagap
