#include "session/promotionlease.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace json = boost::json;

namespace {

// The greatest number that is used from a row: whole numbers up to it are exact in all JSON
// readers, and what is added to them does not overflow.
constexpr std::int64_t MaxStoredNumber = std::int64_t(1) << 53;

// A whole number from `least` to MaxStoredNumber, in any form of a JSON number; nothing if the
// value is none.
std::optional<std::int64_t> storedWhole(const json::value &value, std::int64_t least)
{
    boost::system::error_code error;
    const auto number = value.is_number() ? value.to_number<std::int64_t>(error) : 0;
    if (!value.is_number() || error || number < least || number > MaxStoredNumber)
        return std::nullopt;
    return number;
}

std::optional<std::uint64_t> storedNumber(const json::value &value)
{
    const std::optional<std::int64_t> number = storedWhole(value, 0);
    return number ? std::optional(static_cast<std::uint64_t>(*number)) : std::nullopt;
}

std::optional<Millis> storedInstant(const json::value &value)
{
    const std::optional<std::int64_t> count = storedWhole(value, -MaxStoredNumber);
    return count ? std::optional(Millis(*count)) : std::nullopt;
}

bool isLeaseOf(const std::optional<PromotionLease> &lease, const std::string &host,
               std::uint64_t fencingToken)
{
    return lease && lease->holder == host && lease->fencingToken == fencingToken;
}

json::array namesOf(const std::set<std::string> &instances)
{
    json::array names;
    for (const std::string &id : instances)
        names.emplace_back(id);
    return names;
}

json::object endsOf(const std::map<std::string, Millis> &openResumes)
{
    json::object ends;
    for (const auto &[id, until] : openResumes)
        ends[id] = until.count();
    return ends;
}

// Reads the members that name resumes; false if one of them has another type.
bool readResumes(const json::object &row, PromotionLease *lease)
{
    const json::value *resumes = row.if_contains("resumes");
    const json::value *open = row.if_contains("openResumes");
    if ((resumes && !resumes->is_array()) || (open && !open->is_object()))
        return false;
    if (resumes) {
        for (const json::value &id : resumes->get_array()) {
            if (!id.is_string())
                return false;
            lease->resumes.emplace(id.get_string());
        }
    }
    if (open) {
        for (const auto &entry : open->get_object()) {
            const std::optional<Millis> until = storedInstant(entry.value());
            if (!until)
                return false;
            lease->openResumes[std::string(entry.key())] = *until;
        }
    }
    return true;
}

// The resumes of earlier holders, as the next holder has to know them: those that `current` names
// itself may have been sent until its end.
std::map<std::string, Millis> openResumesAfter(const PromotionLease &current, Millis storeNow)
{
    std::map<std::string, Millis> open = current.openResumes;
    for (const std::string &id : current.resumes)
        open[id] = std::max(open[id], current.until + LateCommandLimit);
    std::erase_if(open, [storeNow](const auto &row) { return row.second <= storeNow; });
    return open;
}

} // namespace

std::string leaseText(const PromotionLease &lease)
{
    json::object row{{"holder", lease.holder},
                     {"fencingToken", lease.fencingToken},
                     {"untilMs", lease.until.count()}};
    if (lease.epoch > 0)
        row["epoch"] = lease.epoch;
    if (lease.candidateUntil > Millis(0)) {
        row["candidate"] = lease.candidate;
        row["candidateUntilMs"] = lease.candidateUntil.count();
    }
    if (!lease.resumes.empty())
        row["resumes"] = namesOf(lease.resumes);
    if (!lease.openResumes.empty())
        row["openResumes"] = endsOf(lease.openResumes);
    return json::serialize(row);
}

std::optional<PromotionLease> parseLease(std::string_view text, Reason *reason)
{
    boost::system::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *holder = object ? object->if_contains("holder") : nullptr;
    const json::value *token = object ? object->if_contains("fencingToken") : nullptr;
    const json::value *until = object ? object->if_contains("untilMs") : nullptr;
    if (!holder || !holder->is_string() || !token || !until) {
        setReason(reason, "the lease's row is not an object with holder, fencingToken and untilMs");
        return std::nullopt;
    }
    const std::optional<std::uint64_t> fencingToken = storedNumber(*token);
    const std::optional<Millis> end = storedInstant(*until);
    const json::value *epochMember = object->if_contains("epoch");
    const std::optional<std::uint64_t> epoch
        = epochMember ? storedNumber(*epochMember) : std::optional<std::uint64_t>(0);
    if (!fencingToken || !end || !epoch) {
        setReason(reason,
                  "the lease's fencing token, end or epoch is no whole number or out of range");
        return std::nullopt;
    }
    PromotionLease lease{.holder = std::string(holder->get_string()),
                         .fencingToken = *fencingToken,
                         .until = *end,
                         .epoch = *epoch};
    if (!readResumes(*object, &lease)) {
        setReason(reason, "the lease's resumes are not a list of names and a table of ends");
        return std::nullopt;
    }
    const json::value *candidate = object->if_contains("candidate");
    const json::value *candidateUntil = object->if_contains("candidateUntilMs");
    if (!candidate && !candidateUntil)
        return lease;
    const std::optional<Millis> candidateEnd
        = candidateUntil ? storedInstant(*candidateUntil) : std::nullopt;
    if (!candidate || !candidate->is_string() || !candidateEnd) {
        setReason(reason, "the lease's row has a candidate without a name or an end");
        return std::nullopt;
    }
    lease.candidate = candidate->get_string();
    lease.candidateUntil = *candidateEnd;
    return lease;
}

bool isOfEpoch(const std::optional<PromotionLease> &lease, std::uint64_t epoch)
{
    return epoch == 0 || (lease && lease->epoch == epoch);
}

LeaseResult acquiredLease(const PromotionLease &lease, const LeaseAttempt &attempt)
{
    // The store's clock was read before the reading arrived.
    const Millis lead = attempt.storeNow - attempt.readAt;
    LeaseResult result{.fencingToken = lease.fencingToken,
                       .actUntil = attempt.requestedAt + LeaseActingTime,
                       .openCandidate = lease.candidate,
                       .openUntil = lease.candidateUntil - lead};
    for (const auto &[id, until] : lease.openResumes)
        result.openResumes[id] = until - lead;
    return result;
}

LeaseOffer nextLease(const std::optional<PromotionLease> &current, const std::string &self,
                     const StoreInstant &instant, const LeaseRules &rules)
{
    Millis freeAt = instant.now;
    if (current && current->holder != self)
        freeAt = std::max(freeAt, current->until);
    const bool known = isOfEpoch(current, instant.epoch);
    if (!known)
        freeAt = std::max(freeAt,
                          instant.epochSeenAt
                              + (rules.fencedPromotions ? LeaseDuration : LatePromotionLimit));
    if (freeAt > instant.now)
        return {.heldFor = freeAt - instant.now};

    const std::uint64_t lastToken = current ? current->fencingToken : 0;
    PromotionLease next{.holder = self,
                        .fencingToken = std::max(lastToken, instant.epoch * TokensPerEpoch) + 1,
                        .until = instant.now + LeaseDuration,
                        .epoch = instant.epoch};
    if (current)
        next.openResumes = openResumesAfter(*current, instant.now);
    const Millis forgottenUntil = instant.epochSeenAt + ForgottenRequestLimit;
    if (!known && rules.fencedPromotions && forgottenUntil > instant.now) {
        next.candidateUntil = forgottenUntil;
    } else if (current && current->candidateUntil > instant.now) {
        next.candidate = current->candidate;
        next.candidateUntil = current->candidateUntil;
    }
    return {.lease = std::move(next)};
}

std::optional<PromotionLease> leaseWithCandidate(const std::optional<PromotionLease> &current,
                                                 const std::string &self,
                                                 std::uint64_t fencingToken,
                                                 const std::string &candidate, Millis storeNow)
{
    if (!isLeaseOf(current, self, fencingToken))
        return std::nullopt;
    PromotionLease next = *current;
    const Millis until = candidate.empty() ? Millis(0) : storeNow + LatePromotionLimit;
    const bool forgottenIsOpen = current->candidate.empty() && current->candidateUntil > storeNow;
    if (forgottenIsOpen) {
        next.candidateUntil = std::max(current->candidateUntil, until);
        return next;
    }
    next.candidate = candidate;
    next.candidateUntil = until;
    return next;
}

std::optional<PromotionLease> leaseWithResumes(const std::optional<PromotionLease> &current,
                                               const std::string &self, std::uint64_t fencingToken,
                                               const std::set<std::string> &instances)
{
    if (!isLeaseOf(current, self, fencingToken))
        return std::nullopt;
    PromotionLease next = *current;
    next.resumes = instances;
    return next;
}

} // namespace cicadagap
