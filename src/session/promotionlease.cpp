#include "session/promotionlease.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace json = boost::json;

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
    if (!holder || !holder->is_string() || !token || !token->is_number() || !until
        || !until->is_int64()) {
        setReason(reason, "the lease's row is not an object with holder, fencingToken and untilMs");
        return std::nullopt;
    }
    const auto fencingToken = token->to_number<std::uint64_t>(error);
    if (error) {
        setReason(reason, "the fencing token is not a whole number");
        return std::nullopt;
    }
    PromotionLease lease{.holder = std::string(holder->get_string()),
                         .fencingToken = fencingToken,
                         .until = Millis(until->get_int64())};
    if (const json::value *epoch = object->if_contains("epoch"))
        lease.epoch = epoch->to_number<std::uint64_t>(error);
    if (error) {
        setReason(reason, "the lease's epoch is not a whole number");
        return std::nullopt;
    }
    const json::value *candidate = object->if_contains("candidate");
    const json::value *candidateUntil = object->if_contains("candidateUntilMs");
    if (!candidate && !candidateUntil)
        return lease;
    if (!candidate || !candidate->is_string() || !candidateUntil || !candidateUntil->is_int64()) {
        setReason(reason, "the lease's row has a candidate without a name or an end");
        return std::nullopt;
    }
    lease.candidate = candidate->get_string();
    lease.candidateUntil = Millis(candidateUntil->get_int64());
    return lease;
}

bool isOfEpoch(const std::optional<PromotionLease> &lease, std::uint64_t epoch)
{
    return epoch == 0 || (lease && lease->epoch == epoch);
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
    if (!current || current->holder != self || current->fencingToken != fencingToken)
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

} // namespace cicadagap
