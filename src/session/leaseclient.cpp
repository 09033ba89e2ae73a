#include "session/leaseclient.h"

#include "base/joined.h"
#include "process/log.h"
#include "session/epochstart.h"

#include <utility>

namespace cicadagap {

namespace {

// The lease in the row; nothing if there is none, or, with a reason, if it cannot be read.
std::optional<PromotionLease> storedLease(const std::optional<LeaseRecord> &record, Reason *reason)
{
    if (!record || record->row.version == 0)
        return std::nullopt;
    return parseLease(record->text, reason);
}

} // namespace

struct LeaseClient::Attempt
{
    std::string group;
    Millis requestedAt;
    std::function<void(const LeaseResult &)> done;
    // What the store answered, and when that arrived.
    std::optional<PromotionLease> current;
    StorePosition row;
    Millis storeNow;
    Millis readAt;
};

LeaseClient::LeaseClient(PlatformClient *platform, const Clock *clock, Options options)
    : m_platform(platform)
    , m_clock(clock)
    , m_options(std::move(options))
{
}

void LeaseClient::acquire(const std::string &group, std::function<void(const LeaseResult &)> done)
{
    Attempt attempt{.group = group, .requestedAt = m_clock->now(), .done = std::move(done)};
    m_platform->readLease(
        group, [this, attempt = std::move(attempt)](const std::optional<LeaseRecord> &record) {
            handleRecord(attempt, record);
        });
}

void LeaseClient::handleRecord(Attempt attempt, const std::optional<LeaseRecord> &record)
{
    Reason reason;
    attempt.current = storedLease(record, &reason);
    if (!record || (record->row.version > 0 && !attempt.current)) {
        logEvent(LogLevel::Warning, "duty.unreadable",
                 {{"group", attempt.group}, {"reason", reason.text()}});
        attempt.done({});
        return;
    }
    attempt.row = record->row;
    attempt.storeNow = record->storeNow;
    attempt.readAt = m_clock->now();
    const StoreInstant instant{.now = record->storeNow, .epoch = record->row.epoch};
    if (isOfEpoch(attempt.current, instant.epoch)) {
        decide(attempt, instant);
        return;
    }
    findEpochStart(m_platform, instant.epoch, [=, this](const std::optional<EpochStart> &start) {
        if (!start) {
            logEvent(LogLevel::Warning, "duty.epoch-unknown", {{"group", attempt.group}});
            attempt.done({});
            return;
        }
        decide(attempt, {.now = instant.now, .epoch = instant.epoch, .epochSeenAt = start->seenAt});
    });
}

void LeaseClient::decide(const Attempt &attempt, const StoreInstant &instant)
{
    const LeaseOffer offer = nextLease(attempt.current, m_options.host, instant,
                                       {.fencedPromotions = m_options.fencedPromotions});
    if (offer.lease) {
        write(attempt, *offer.lease);
        return;
    }
    logEvent(LogLevel::Info, "duty.held-elsewhere",
             {{"group", attempt.group},
              {"holder", attempt.current ? attempt.current->holder : std::string()},
              {"epoch", static_cast<std::int64_t>(instant.epoch)},
              {"leftMs", offer.heldFor.count()}});
    attempt.done({.heldFor = offer.heldFor});
}

void LeaseClient::write(const Attempt &attempt, const PromotionLease &lease)
{
    m_platform->writeLease(attempt.group, leaseText(lease), attempt.row, [=](Verdict verdict) {
        const bool acquired = verdict == Verdict::Ran;
        logEvent(LogLevel::Info, acquired ? "duty.claimed" : "duty.claim-failed",
                 {{"group", attempt.group},
                  {"fencingToken", static_cast<std::int64_t>(lease.fencingToken)},
                  {"rowVersion", static_cast<std::int64_t>(attempt.row.version)},
                  {"epoch", static_cast<std::int64_t>(attempt.row.epoch)},
                  {"storeMs", attempt.storeNow.count()},
                  {"verdict", VerdictNames.name(verdict)}});
        attempt.done(acquired ? acquiredLease(lease,
                                              {.requestedAt = attempt.requestedAt,
                                               .readAt = attempt.readAt,
                                               .storeNow = attempt.storeNow})
                              : LeaseResult{});
    });
}

void LeaseClient::replace(const std::string &group, const NextLease &next,
                          const std::function<void(bool, const std::string &)> &done)
{
    m_platform->readLease(group, [=, this](const std::optional<LeaseRecord> &record) {
        Reason reason;
        const std::optional<PromotionLease> lease
            = next(storedLease(record, &reason), record ? record->storeNow : Millis(0));
        if (!lease) {
            done(false, reason.text());
            return;
        }
        m_platform->writeLease(group, leaseText(*lease), record->row,
                               [done](Verdict verdict) { done(verdict == Verdict::Ran, {}); });
    });
}

void LeaseClient::recordCandidate(const std::string &group, const std::string &candidate,
                                  std::uint64_t fencingToken, std::function<void(bool)> done)
{
    const auto next = [=, this](const std::optional<PromotionLease> &current, Millis storeNow) {
        return leaseWithCandidate(current, m_options.host, fencingToken, candidate, storeNow);
    };
    replace(group, next, [=](bool recorded, const std::string &reason) {
        logEvent(recorded ? LogLevel::Info : LogLevel::Warning, "duty.candidate",
                 {{"group", group},
                  {"instance", candidate},
                  {"fencingToken", static_cast<std::int64_t>(fencingToken)},
                  {"recorded", recorded},
                  {"reason", reason}});
        done(recorded);
    });
}

void LeaseClient::recordResumes(const std::string &group, const std::set<std::string> &instances,
                                std::uint64_t fencingToken, std::function<void(bool)> done)
{
    const auto next = [=, this](const std::optional<PromotionLease> &current, Millis) {
        return leaseWithResumes(current, m_options.host, fencingToken, instances);
    };
    replace(group, next, [=](bool recorded, const std::string &reason) {
        logEvent(recorded ? LogLevel::Info : LogLevel::Warning, "duty.resumes",
                 {{"group", group},
                  {"instances", joined(instances, ",")},
                  {"fencingToken", static_cast<std::int64_t>(fencingToken)},
                  {"recorded", recorded},
                  {"reason", reason}});
        done(recorded);
    });
}

} // namespace cicadagap
