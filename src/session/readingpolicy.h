// Decides which hosts of a data centre read the platform's store themselves, and when they repeat a
// reading that failed. Load pattern: a version of the configuration that takes seconds on a narrow
// link. If all hosts begin to read it because the platform reader is not done yet, all links are
// full; if they repeat together what failed together, they stay so.
#pragma once

#include "base/hash.h"
#include "base/millis.h"
#include "session/platformcache.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace cicadagap {

// How old the data of the platform reader may be. A reader with older data is taken to be cut off
// from the platform.
struct ReaderAgeLimits
{
    Millis configuration;
    Millis instances;
    // A changed configuration has to be in force within this time. While the reader receives a
    // newer one, its configuration may be older by so much.
    Millis configurationBound;
};

// Whether the followers of the reader need not read the configuration themselves.
bool hasRecentConfiguration(const PlatformUpdate &update, const ReaderAgeLimits &limits);
// The same for the lists of instances and hosts.
bool hasRecentLists(const PlatformUpdate &update, const ReaderAgeLimits &limits);

// What a host knows of the platform reader that it follows, and when to ask it again. Load pattern:
// a reader that is cut off from the store without a word, while the configuration changes. Its
// followers must not depend on its noticing that.
struct ReaderJudgement
{
    bool configurationRecent = false;
    bool listsRecent = false;
    Millis pause; // Until the next request.
    Millis wait;  // For how long the reader may then wait for something newer.

    bool isRecent() const { return configurationRecent && listsRecent; }
};

// Judges the reader by its update. The next answer arrives when the configuration that this one
// told of gets too old, unless the reader has read a newer one by then. A reader that does not
// reach the store answers at once, so it is asked after a pause.
ReaderJudgement judgeReader(const PlatformUpdate &update, const ReaderAgeLimits &limits);

// Whether a transfer that has been arriving for so long is taken to fill this host's link, so that
// answers of instances wait behind it. Ends at the bound, so that an instance that failed meanwhile
// is noticed.
bool mayFillLink(std::optional<Millis> readingTime, const ReaderAgeLimits &limits);

// The time until a reading is repeated that has failed so many times in a row. The platform reader
// repeats it soon, and passes on what it gets. The other hosts double the delay and draw it from
// its upper half, so that they neither burden a store that refuses all of them nor meet there.
// `longest` bounds it.
Millis readingRetryDelay(Millis first, Millis longest, int failures, bool isReader, Random *random);

// When a host that reads the store itself may repeat one kind of reading. Load pattern: a store
// that refuses all hosts, or some of them, several times in a row.
//
//     ReadingBackoff backoff(Millis(250));
//     backoff.onReading(now, {.succeeded = false, .isReader = false}, &random);
//     Millis wait = backoff.remaining(now); // 125 to 250 ms
class ReadingBackoff
{
public:
    struct Result
    {
        bool succeeded = false;
        bool isReader = false; // Whether this host is the platform reader.
    };

    // `first` is the longest delay after a single failure.
    explicit ReadingBackoff(Millis first)
        : m_first(first)
    {
    }

    // Bounds the delay after many failures further than to a multiple of the first one.
    void setBound(Millis bound) { m_longest = std::min(bound, m_first * MaxDelayFactor); }

    void onReading(Millis now, const Result &result, Random *random);
    // A platform reader has recent data, so that the store answers again: earlier failures do not
    // delay this host's next reading, which is urgent when that reader is lost.
    void onFollowing();

    // Whether the latest reading failed, however long ago.
    bool lastFailed() const { return m_lastFailed; }
    // The time until the next reading may begin.
    Millis remaining(Millis now) const;

private:
    static constexpr std::int64_t MaxDelayFactor = 16;

    Millis m_first;
    Millis m_longest = m_first * MaxDelayFactor;
    Millis m_due = Millis(0);
    int m_failures = 0; // In a row, and since this host last followed.
    bool m_lastFailed = false;
};

} // namespace cicadagap
