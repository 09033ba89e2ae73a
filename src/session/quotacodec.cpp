#include "session/quotacodec.h"

#include "relaywire/relay.pb.h"
#include "session/relaymessage.h"

#include <algorithm>
#include <set>

namespace cicadagap {

namespace {

constexpr auto LastState = static_cast<std::uint32_t>(QuotaState::CannotGrant);
// Higher counts would overflow when they are added up.
constexpr std::uint32_t MaxCount = 1U << 30U;

// Whether the entry names a tenant that none of the `seen` ones does; adds it to them.
bool isNewTenant(const std::string &tenant, std::set<std::string> *seen, Reason *reason)
{
    if (!tenant.empty() && seen->insert(tenant).second)
        return true;
    setReason(reason, "a tenant has no name, or stands twice");
    return false;
}

bool areCounts(std::uint32_t left, std::uint32_t right, Reason *reason)
{
    if (left <= MaxCount && right <= MaxCount)
        return true;
    setReason(reason, "a count is too high");
    return false;
}

} // namespace

std::string encodeQuotaRequest(const QuotaRequest &request)
{
    relaywire::QuotaRequest out;
    out.set_host(request.host);
    out.set_start(request.start);
    out.set_number(request.number);
    out.set_sets(static_cast<std::uint32_t>(request.sets.to_ulong()));
    for (const QuotaWant &want : request.wants) {
        relaywire::QuotaWant *entry = out.add_wants();
        entry->set_tenant(want.tenant);
        entry->set_unused(want.unused);
        entry->set_wanted(want.wanted);
    }
    return out.SerializeAsString();
}

std::string encodeQuotaReply(const QuotaReply &reply)
{
    relaywire::QuotaReply out;
    for (const QuotaGrant &grant : reply.grants) {
        relaywire::QuotaGrant *entry = out.add_grants();
        entry->set_tenant(grant.tenant);
        entry->set_kept(grant.kept);
        entry->set_granted(grant.granted);
        entry->set_state(static_cast<std::uint32_t>(grant.state));
    }
    return out.SerializeAsString();
}

std::optional<QuotaRequest> decodeQuotaRequest(std::string_view bytes, Reason *reason)
{
    relaywire::QuotaRequest in;
    if (!parseRelayMessage(bytes, "quota message", &in, reason))
        return std::nullopt;
    if (in.host().empty()) {
        setReason(reason, "the host has no name");
        return std::nullopt;
    }
    QuotaRequest request{.host = in.host(),
                         .start = in.start(),
                         .number = in.number(),
                         .sets = std::bitset<QuotaSets>(in.sets()),
                         .wants = {}};
    std::set<std::string> seen;
    for (const relaywire::QuotaWant &entry : in.wants()) {
        if (!isNewTenant(entry.tenant(), &seen, reason)
            || !areCounts(entry.unused(), entry.wanted(), reason))
            return std::nullopt;
        request.wants.push_back(
            {.tenant = entry.tenant(), .unused = entry.unused(), .wanted = entry.wanted()});
    }
    return request;
}

std::optional<QuotaReply> decodeQuotaReply(std::string_view bytes, Reason *reason)
{
    relaywire::QuotaReply in;
    if (!parseRelayMessage(bytes, "quota message", &in, reason))
        return std::nullopt;
    QuotaReply reply;
    std::set<std::string> seen;
    for (const relaywire::QuotaGrant &entry : in.grants()) {
        if (!isNewTenant(entry.tenant(), &seen, reason)
            || !areCounts(entry.kept(), entry.granted(), reason))
            return std::nullopt;
        if (entry.state() > LastState) {
            setReason(reason, "the state of a grant is unknown");
            return std::nullopt;
        }
        reply.grants.push_back({.tenant = entry.tenant(),
                                .kept = entry.kept(),
                                .granted = entry.granted(),
                                .state = static_cast<QuotaState>(entry.state())});
    }
    return reply;
}

} // namespace cicadagap
