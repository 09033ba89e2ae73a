// The JSON bodies that the system's processes, targets and the platform exchange. Boost.JSON is the
// codec; this file gives the bodies their types.
//
// Every decode function returns nothing and sets `reason` if the body is not what it should be.
#pragma once

#include "base/reason.h"
#include "connection/gateway.h"
#include "process/gossip.h"
#include "process/membership.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

// Parses `text` as a JSON object.
std::optional<boost::json::object> parseObject(std::string_view text, Reason *reason);

// Members of an object with a default; a wrong type counts as absent.
std::string textMember(const boost::json::object &object, std::string_view key);
std::int64_t numberMember(const boost::json::object &object, std::string_view key,
                          std::int64_t fallback = 0);
bool flagMember(const boost::json::object &object, std::string_view key);

boost::json::object encodePosition(Position position);
Position decodePosition(const boost::json::object &object, std::string_view key);

// An instance's status and its answers to calls.
std::optional<InstanceReport> decodeReport(std::string_view text, Reason *reason);
std::string encodeReport(const InstanceReport &report);
std::string encodeTargetCall(const TargetCall &call, Millis ledgerExpiry);
// The operations that delete ledger rows which expired before `now` (ms since 1970).
std::string encodeLedgerCleanup(Millis now);
std::optional<TargetAnswer> decodeTargetAnswer(const TargetCall &call, std::string_view text,
                                               Reason *reason);

// Work on its way from an entry host to a gateway.
struct ForwardedRequest
{
    std::string team;
    std::string group;
    std::string instance;
    std::string traceId; // Follows the request through the logs.
    Millis timeLeft;     // Time left when it was sent.
    GatewayRequest work; // Without id, class index and deadline.
    std::string className;
};
std::string encodeForwardedRequest(const ForwardedRequest &routed);
std::optional<ForwardedRequest> decodeForwardedRequest(std::string_view text, Reason *reason);
std::string encodeReply(const GatewayReply &reply);
std::optional<GatewayReply> decodeReply(std::string_view text, Reason *reason);

// Records and gossip.
boost::json::object encodeRecord(const Record &record);
std::optional<Record> decodeRecord(const boost::json::value &value);
std::string encodeGossip(const std::string &from, const GossipMessage &message);
std::optional<GossipMessage> decodeGossip(std::string_view text, std::string *from, Reason *reason);
std::string encodeHost(const HostInfo &host);
std::optional<HostInfo> decodeHost(std::string_view text, Reason *reason);

// A group's primary, the body of "primary/<team>/<group>" records. The version is the term.
std::string primaryKey(const std::string &team, const std::string &group);
std::string encodePrimary(const std::string &instance);
std::string decodePrimary(std::string_view text);
std::string settingsKey(const std::string &team);

// Whether an instance is leaving, the body of "leaving/<team>/<instance>" records. The version is
// the time of day of the change in milliseconds.
std::string leavingKey(const std::string &team, const std::string &instance);
std::string encodeLeaving(bool leaving);
bool decodeLeaving(std::string_view text);

// What a steward hands to its daemon, and a hash to find out what was missed.
struct ViewUpdate
{
    std::uint64_t hash = 0;
    Millis settingsAge; // Since the settings were last confirmed with the platform.
    std::vector<Record> records;
};
std::string encodeViewUpdate(const ViewUpdate &push);
std::optional<ViewUpdate> decodeViewUpdate(std::string_view text, Reason *reason);
// The daemon's answer.
std::string encodeHash(std::uint64_t hash);
std::uint64_t decodeHash(std::string_view text);

} // namespace cicadagap
