#include "session/promotionlease.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace cicadagap {

namespace json = boost::json;

std::string leaseText(const PromotionLease &lease)
{
    return json::serialize(json::object{{"holder", lease.holder},
                                        {"fencingToken", lease.fencingToken},
                                        {"untilMs", lease.until.count()}});
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
    return PromotionLease{.holder = std::string(holder->get_string()),
                          .fencingToken = fencingToken,
                          .until = Millis(until->get_int64())};
}

std::optional<PromotionLease> nextLease(const std::optional<PromotionLease> &current,
                                        const std::string &self, Millis storeNow)
{
    if (current && current->holder != self && current->until > storeNow)
        return std::nullopt;
    return PromotionLease{.holder = self,
                          .fencingToken = (current ? current->fencingToken : 0) + 1,
                          .until = storeNow + LeaseDuration};
}

} // namespace cicadagap
