// Finds instances that answer worse than the others of their group, and sets them aside for reads.
//
// Only answers count, and the time that they take: an instance may be called healthy and still fail
// what it is sent. It is set aside after several failures in a row, if it refuses far more than its
// siblings, or if its service time is far above theirs. At most half of a group, rounded down, is
// set aside at a time. After a while that doubles with each repetition it returns, with a share of
// its usual work that grows.
//
// Expected load: an answer a millisecond; groups of a few instances; one of them slow, refusing or
// failing, for some or for all of its callers; sometimes all of a group, which no choice can mend.
#pragma once

#include "base/millis.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// How an instance dealt with a statement.
enum class AnswerQuality {
    Good,
    Refused, // It had no room; nothing has run.
    Failed,  // An error, no answer in time, or a lost connection.
};

// An instance was set aside or has returned; for the log.
struct OutlierEvent
{
    std::string group;
    std::string instance;
    std::string_view event; // "instance.set-aside" or "instance.returned".
    std::string detail;     // The inputs of the decision, and their age.
};

// A deterministic state machine: performs no I/O and reads no clock. Not thread-safe.
//
//     detector.setGroups({{"g1", {"i1", "i2", "i3"}}});
//     detector.onAnswer(now, "i1", AnswerQuality::Failed);
//     if (detector.share(now, "i1") > 0)
//         useForReads("i1");
class OutlierDetector
{
public:
    struct Options
    {
        int failuresInARow = 5;
        int minAnswers = 20;             // Before rates and times of an instance are compared.
        double refusedShare = 0.5;       // More refusals than this, and
        double refusedFactor = 4;        // than this many times those of its siblings.
        double slowFactor = 5;           // Slower than its siblings by more than this factor
        Millis slowMargin = Millis(100); // and by more than this.
        Millis oldest = Millis(5000);    // Siblings without newer answers are not compared.
        Millis setAside = Millis(2000);
        Millis longestSetAside = Millis(16'000);
        Millis returnTime = Millis(4000); // For the share to grow from `firstShare` to 1.
        double firstShare = 0.1;
        Millis forgiveAfter = Millis(30'000); // Without repetition, the time aside starts anew.
    };

    OutlierDetector() = default;
    explicit OutlierDetector(Options options)
        : m_options(options)
    {
    }

    // All groups with their instances; others are forgotten.
    void setGroups(const std::map<std::string, std::set<std::string>> &groups);
    // An instance answered, or failed to. Unknown instances are ignored.
    void onAnswer(Millis now, const std::string &instance, AnswerQuality quality);
    // A statement took this long from being sent to its answer.
    void onServiceTime(Millis now, const std::string &instance, Millis took);
    // Of the instance's usual share of reads, how much it gets: 0 while it is set aside.
    double share(Millis now, const std::string &instance) const;
    // Removes and returns what was decided since the last call.
    std::vector<OutlierEvent> takeEvents(Millis now);

private:
    struct Instance
    {
        std::string group;
        int failures = 0;     // In a row.
        int answers = 0;      // Up to Options::minAnswers.
        double refused = 0;   // Moving average.
        int times = 0;        // Up to Options::minAnswers.
        double serviceMs = 0; // Moving average.
        Millis lastAnswer;
        Millis lastTime;
        Millis asideSince;
        Millis asideUntil; // Not after `asideSince` if it never was set aside.
        Millis asideFor;   // The last time.
        bool returnLogged = true;
    };

    std::string reason(Millis now, const std::string &name, const Instance &instance) const;
    void judge(Millis now, const std::string &name);

    Options m_options;
    std::map<std::string, Instance> m_instances;
    std::map<std::string, std::set<std::string>> m_groups;
    std::vector<OutlierEvent> m_events;
};

} // namespace cicadagap
