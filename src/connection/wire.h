// Encodes and decodes the JSON bodies that the system's processes, the targets and the platform
// exchange, with Boost.JSON.
//
// A decode function that takes a `reason` returns nothing and sets it if the body is not valid.
// `reason` may be null. All functions are thread-safe.
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

// Return a member of an object. If it is missing or has another type, they return an empty text,
// `fallback` or false.
std::string textMember(const boost::json::object &object, std::string_view key);
std::int64_t numberMember(const boost::json::object &object, std::string_view key,
                          std::int64_t fallback = 0);
bool flagMember(const boost::json::object &object, std::string_view key);
// A number that is not negative; 0 if it is missing or another value.
std::uint64_t unsignedMember(const boost::json::object &object, std::string_view key);

boost::json::object encodePosition(Position position);
Position decodePosition(const boost::json::object &object, std::string_view key);

// An instance's status, the calls to it, and its answers to them.
std::optional<InstanceReport> decodeReport(std::string_view text, Reason *reason);
std::string encodeReport(const InstanceReport &report);
// A ledger row that the call writes expires at `ledgerExpiry`, in milliseconds since 1970.
std::string encodeTargetCall(const TargetCall &call, Millis ledgerExpiry);
// Returns the operations that delete the ledger rows which expired before `now`, in milliseconds
// since 1970.
std::string encodeLedgerCleanup(Millis now);
// Decodes the answer to `call`. The result of writing the ledger row is left out of the results.
std::optional<TargetAnswer> decodeTargetAnswer(const TargetCall &call, std::string_view text,
                                               Reason *reason);

// A request that an entry host, the host that received it from a caller, forwards to a gateway.
struct ForwardedRequest
{
    std::string team;
    std::string group;
    std::string instance;
    std::string traceId;    // Identifies the caller's request in the logs of all hosts.
    Millis timeLeft;        // The time until the deadline when the request was sent.
    GatewayRequest request; // Without id, priorityClass and deadline, which the gateway sets.
    std::string className;  // The name of the priority class.
};
std::string encodeForwardedRequest(const ForwardedRequest &forwarded);
std::optional<ForwardedRequest> decodeForwardedRequest(std::string_view text, Reason *reason);
std::string encodeReply(const GatewayReply &reply);
std::optional<GatewayReply> decodeReply(std::string_view text, Reason *reason);

// Records and gossip messages.
boost::json::object encodeRecord(const Record &record);
std::optional<Record> decodeRecord(const boost::json::value &value);
std::string encodeGossip(const std::string &from, const GossipMessage &message);
std::optional<GossipMessage> decodeGossip(std::string_view text, std::string *from, Reason *reason);
std::string encodeHost(const HostInfo &host);
std::optional<HostInfo> decodeHost(std::string_view text, Reason *reason);

// Records with the key "primary/<team>/<group>" name the primary of a group. The record's version
// is the term.
std::string primaryKey(const std::string &team, const std::string &group);
std::string encodePrimary(const std::string &instance);
std::string decodePrimary(std::string_view text);
std::string settingsKey(const std::string &team);

// Records with the key "leaving/<team>/<instance>" tell whether an instance is leaving, that is,
// has announced that it will stop. The record's version is the time of the change, in milliseconds
// since 1970.
std::string leavingKey(const std::string &team, const std::string &instance);
std::string encodeLeaving(bool leaving);
bool decodeLeaving(std::string_view text);

// An update that a steward, the host's control process, sends to the host's cicadagapd.
struct ViewUpdate
{
    std::uint64_t hash = 0; // Of all records the steward has; differs if the daemon lacks some.
    Millis settingsAge;     // Time since the settings were last confirmed with the platform.
    std::vector<Record> records;
};
std::string encodeViewUpdate(const ViewUpdate &update);
std::optional<ViewUpdate> decodeViewUpdate(std::string_view text, Reason *reason);
// The reply to a ViewUpdate: the hash of all records that the daemon has.
std::string encodeHash(std::uint64_t hash);
std::uint64_t decodeHash(std::string_view text);

} // namespace cicadagap
