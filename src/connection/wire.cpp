#include "connection/wire.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace cicadagap {

namespace json = boost::json;

namespace {

const json::array &arrayMember(const json::object &object, std::string_view key)
{
    static const json::array none;
    const json::value *member = object.if_contains(key);
    const json::array *array = member ? member->if_array() : nullptr;
    return array ? *array : none;
}

const json::object &objectMember(const json::object &object, std::string_view key)
{
    static const json::object none;
    const json::value *member = object.if_contains(key);
    const json::object *inner = member ? member->if_object() : nullptr;
    return inner ? *inner : none;
}

// 64-bit hashes are sent as hexadecimal text, because other JSON implementations lose bits of large
// numbers.
std::string toHexadecimal(std::uint64_t value)
{
    std::array<char, 16> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, 16).ptr;
    return {buffer.data(), end};
}

std::uint64_t fromHexadecimal(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

std::string_view stringValue(const json::value &value)
{
    const json::string *text = value.if_string();
    return text ? std::string_view(text->data(), text->size()) : std::string_view();
}

// Returns `text`, the JSON text of an array of operations, or that of an empty array.
std::string_view textOrEmptyArray(const std::string &text)
{
    return text.empty() ? std::string_view("[]") : std::string_view(text);
}

std::string serializedMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    return member ? json::serialize(*member) : std::string();
}

json::object encodeLedgerOperation(std::string_view kind, const std::string &id,
                                   const std::string &value)
{
    return {{"op", kind}, {"table", "cicadagap_ledger"}, {"key", id}, {"value", value}};
}

// Returns the JSON array of operations in `text` with `operation` inserted in front.
std::string prependOperation(const json::object &operation, std::string_view text)
{
    std::string joined = "[" + json::serialize(operation);
    const std::string_view rest = text.substr(text.find('[') + 1);
    const bool empty = rest.find_first_not_of(" \t\r\n") == rest.find(']');
    return joined + (empty ? "" : ",") + std::string(rest);
}

} // namespace

std::optional<json::object> parseObject(std::string_view text, Reason *reason)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    if (error) {
        setReason(reason, "not JSON: " + error.message());
        return std::nullopt;
    }
    if (!value.is_object()) {
        setReason(reason, "expected a JSON object");
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::string textMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    return member ? std::string(stringValue(*member)) : std::string();
}

std::int64_t numberMember(const json::object &object, std::string_view key, std::int64_t fallback)
{
    const json::value *member = object.if_contains(key);
    return member && member->is_int64() ? member->get_int64() : fallback;
}

std::uint64_t unsignedMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    if (!member)
        return 0;
    if (member->is_uint64())
        return member->get_uint64();
    const std::int64_t *number = member->if_int64();
    return number && *number > 0 ? static_cast<std::uint64_t>(*number) : 0;
}

bool flagMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    return member && member->is_bool() && member->get_bool();
}

json::object encodePosition(Position position)
{
    return {{"term", position.term}, {"index", position.index}};
}

Position decodePosition(const json::object &object, std::string_view key)
{
    const json::object &position = objectMember(object, key);
    return {unsignedMember(position, "term"), unsignedMember(position, "index")};
}

std::optional<InstanceReport> decodeReport(std::string_view text, Reason *reason)
{
    const auto object = parseObject(text, reason);
    if (!object)
        return std::nullopt;
    InstanceReport report;
    report.name = textMember(*object, "name");
    report.primary = flagMember(*object, "primary");
    report.leaving = flagMember(*object, "leaving");
    report.term = unsignedMember(*object, "term");
    report.following = textMember(*object, "following");
    report.last = decodePosition(*object, "last");
    for (const json::value &value : arrayMember(*object, "replicas")) {
        if (!value.is_object())
            continue;
        const json::object &replica = value.get_object();
        report.replicas.push_back({textMember(replica, "name"), unsignedMember(replica, "term"),
                                   decodePosition(replica, "last"),
                                   Millis(numberMember(replica, "heardMsAgo"))});
    }
    if (report.name.empty()) {
        setReason(reason, "the status has no \"name\"");
        return std::nullopt;
    }
    return report;
}

std::string encodeReport(const InstanceReport &report)
{
    json::array replicas;
    for (const ReplicaSummary &replica : report.replicas) {
        replicas.push_back(json::object{{"name", replica.name},
                                        {"term", replica.term},
                                        {"last", encodePosition(replica.last)},
                                        {"heardMsAgo", replica.sinceLastContact.count()}});
    }
    return json::serialize(json::object{{"name", report.name},
                                        {"primary", report.primary},
                                        {"leaving", report.leaving},
                                        {"term", report.term},
                                        {"following", report.following},
                                        {"last", encodePosition(report.last)},
                                        {"replicas", std::move(replicas)}});
}

std::string encodeTargetCall(const TargetCall &call, Millis ledgerExpiry)
{
    std::string operations(textOrEmptyArray(call.operations));
    if (call.kind == TargetCallKind::ReadLedger)
        operations = "[" + json::serialize(encodeLedgerOperation("get", call.requestId, "")) + "]";
    if (!call.ledgerValue.empty()) {
        const std::string value = std::to_string(ledgerExpiry.count()) + " " + call.ledgerValue;
        operations
            = prependOperation(encodeLedgerOperation("insert", call.requestId, value), operations);
    }
    return "{\"term\":" + std::to_string(call.term)
        + ",\"readOnly\":" + (call.readOnly ? "true" : "false") + ",\"inTransaction\":"
        + (call.inTransaction ? "true" : "false") + ",\"ops\":" + operations + "}";
}

std::string encodeLedgerCleanup(Millis now)
{
    const std::string limit = std::to_string(now.count());
    return "[" + json::serialize(encodeLedgerOperation("expire", "", limit)) + "]";
}

std::optional<TargetAnswer> decodeTargetAnswer(const TargetCall &call, std::string_view text,
                                               Reason *reason)
{
    const auto object = parseObject(text, reason);
    if (!object)
        return std::nullopt;
    TargetAnswer answer;
    const std::string cause = textMember(*object, "cause");
    if (!cause.empty())
        answer.cause = CauseNames.value(cause).value_or(Cause::Invalid);
    answer.position = decodePosition(*object, "last");
    answer.ledgerConflict = answer.cause == Cause::Conflict && !call.ledgerValue.empty()
        && numberMember(*object, "operation", -1) == 0;
    if (answer.cause != Cause::None)
        return answer;
    if (call.kind == TargetCallKind::ReadLedger) {
        const json::array &results = arrayMember(*object, "results");
        if (!results.empty() && results[0].is_object()) {
            const json::array &values = arrayMember(results[0].get_object(), "values");
            answer.ledgerValue = values.empty() ? "" : std::string(stringValue(values[0]));
        }
        return answer;
    }
    if (call.ledgerValue.empty()) {
        answer.results = serializedMember(*object, "results");
        return answer;
    }
    // The first result is that of writing the ledger row, which is not for the caller.
    json::array results = arrayMember(*object, "results");
    if (!results.empty())
        results.erase(results.begin());
    answer.results = json::serialize(results);
    return answer;
}

std::string encodeForwardedRequest(const ForwardedRequest &forwarded)
{
    const GatewayRequest &request = forwarded.request;
    json::object object{{"team", forwarded.team},
                        {"group", forwarded.group},
                        {"instance", forwarded.instance},
                        {"request", forwarded.traceId},
                        {"budgetMs", forwarded.timeLeft.count()},
                        {"class", forwarded.className},
                        {"kind", RequestKindNames.name(request.kind)}};
    if (request.write)
        object["write"] = true;
    if (request.replicaAllowed)
        object["replica"] = true;
    if (!request.operations.empty())
        object["ops"] = request.operations;
    if (!request.requestId.empty())
        object["requestId"] = request.requestId;
    if (request.requiredPosition != Position{})
        object["required"] = encodePosition(request.requiredPosition);
    if (request.maxAge)
        object["maxAgeMs"] = request.maxAge->count();
    if (!request.transaction.empty())
        object["transaction"] = request.transaction;
    return json::serialize(object);
}

std::optional<ForwardedRequest> decodeForwardedRequest(std::string_view text, Reason *reason)
{
    const auto object = parseObject(text, reason);
    if (!object)
        return std::nullopt;
    const auto kind = RequestKindNames.value(textMember(*object, "kind"));
    if (!kind) {
        setReason(reason, "the request has no valid \"kind\"");
        return std::nullopt;
    }
    ForwardedRequest forwarded;
    forwarded.team = textMember(*object, "team");
    forwarded.group = textMember(*object, "group");
    forwarded.instance = textMember(*object, "instance");
    forwarded.traceId = textMember(*object, "request");
    forwarded.timeLeft = Millis(numberMember(*object, "budgetMs"));
    forwarded.className = textMember(*object, "class");
    forwarded.request.kind = *kind;
    forwarded.request.write = flagMember(*object, "write");
    forwarded.request.replicaAllowed = flagMember(*object, "replica");
    forwarded.request.operations = textMember(*object, "ops");
    forwarded.request.requestId = textMember(*object, "requestId");
    forwarded.request.requiredPosition = decodePosition(*object, "required");
    if (object->contains("maxAgeMs"))
        forwarded.request.maxAge = Millis(numberMember(*object, "maxAgeMs"));
    forwarded.request.transaction = textMember(*object, "transaction");
    return forwarded;
}

std::string encodeReply(const GatewayReply &reply)
{
    json::object object{{"verdict", VerdictNames.name(reply.verdict)},
                        {"cause", CauseNames.name(reply.cause)},
                        {"position", encodePosition(reply.position)}};
    if (!reply.results.empty())
        object["results"] = reply.results;
    if (!reply.transaction.empty())
        object["transaction"] = reply.transaction;
    if (reply.duplicate)
        object["duplicate"] = true;
    return json::serialize(object);
}

std::optional<GatewayReply> decodeReply(std::string_view text, Reason *reason)
{
    const auto object = parseObject(text, reason);
    if (!object)
        return std::nullopt;
    const auto verdict = VerdictNames.value(textMember(*object, "verdict"));
    const auto cause = CauseNames.value(textMember(*object, "cause"));
    if (!verdict || !cause) {
        setReason(reason, "the reply has no valid \"verdict\" or \"cause\"");
        return std::nullopt;
    }
    GatewayReply reply;
    reply.verdict = *verdict;
    reply.cause = *cause;
    reply.results = textMember(*object, "results");
    reply.position = decodePosition(*object, "position");
    reply.transaction = textMember(*object, "transaction");
    reply.duplicate = flagMember(*object, "duplicate");
    return reply;
}

json::object encodeRecord(const Record &record)
{
    json::object object{{"key", record.key}, {"version", record.version}, {"body", record.body}};
    if (record.epoch > 0)
        object["epoch"] = record.epoch;
    return object;
}

std::optional<Record> decodeRecord(const json::value &value)
{
    const json::object *object = value.if_object();
    if (!object)
        return std::nullopt;
    Record record;
    record.key = textMember(*object, "key");
    record.version = unsignedMember(*object, "version");
    record.body = textMember(*object, "body");
    record.epoch = unsignedMember(*object, "epoch");
    if (record.key.empty())
        return std::nullopt;
    return record;
}

std::string encodeGossip(const std::string &from, const GossipMessage &message)
{
    json::object object{{"from", from},
                        {"kind", GossipKindNames.name(message.kind)},
                        {"hash", toHexadecimal(message.hash)}};
    if (message.digest) {
        json::array digest;
        for (const std::uint64_t bucket : *message.digest)
            digest.emplace_back(toHexadecimal(bucket));
        object["digest"] = std::move(digest);
    }
    if (!message.ids.empty()) {
        json::array ids;
        for (const RecordId &id : message.ids)
            ids.push_back(id.epoch > 0 ? json::array{id.key, id.version, id.epoch}
                                       : json::array{id.key, id.version});
        object["ids"] = std::move(ids);
    }
    if (!message.records.empty()) {
        json::array records;
        for (const Record &record : message.records)
            records.push_back(encodeRecord(record));
        object["records"] = std::move(records);
    }
    return json::serialize(object);
}

std::optional<GossipMessage> decodeGossip(std::string_view text, std::string *from, Reason *reason)
{
    const auto object = parseObject(text, reason);
    if (!object)
        return std::nullopt;
    const auto kind = GossipKindNames.value(textMember(*object, "kind"));
    *from = textMember(*object, "from");
    if (!kind || from->empty()) {
        setReason(reason, "the message has no valid \"kind\" or no \"from\"");
        return std::nullopt;
    }
    GossipMessage message;
    message.kind = *kind;
    message.hash = fromHexadecimal(textMember(*object, "hash"));
    const json::array &digest = arrayMember(*object, "digest");
    if (digest.size() == RecordStore::BucketCount) {
        message.digest.emplace();
        for (std::size_t i = 0; i < digest.size(); ++i)
            message.digest->at(i) = fromHexadecimal(stringValue(digest[i]));
    }
    for (const json::value &value : arrayMember(*object, "ids")) {
        // The key, the version and, if there is one, the epoch.
        const json::array *id = value.if_array();
        const bool hasVersion = id && id->size() >= 2 && (*id)[1].is_number();
        if (!hasVersion)
            continue;
        boost::system::error_code error;
        message.ids.push_back(
            {.key = std::string(stringValue((*id)[0])),
             .version = (*id)[1].to_number<std::uint64_t>(error),
             .epoch = id->size() > 2 ? (*id)[2].to_number<std::uint64_t>(error) : 0});
    }
    for (const json::value &value : arrayMember(*object, "records")) {
        if (auto record = decodeRecord(value))
            message.records.push_back(std::move(*record));
    }
    return message;
}

std::string encodeHost(const HostInfo &host)
{
    return json::serialize(json::object{{"name", host.name},
                                        {"dataCentre", host.dataCentre},
                                        {"callers", host.callerAddress},
                                        {"peers", host.peerAddress},
                                        {"steward", host.stewardAddress},
                                        {"incarnation", host.incarnation},
                                        {"state", HostStateNames.name(host.state)}});
}

std::optional<HostInfo> decodeHost(std::string_view text, Reason *reason)
{
    const auto object = parseObject(text, reason);
    if (!object)
        return std::nullopt;
    HostInfo host;
    host.name = textMember(*object, "name");
    host.dataCentre = textMember(*object, "dataCentre");
    host.callerAddress = textMember(*object, "callers");
    host.peerAddress = textMember(*object, "peers");
    host.stewardAddress = textMember(*object, "steward");
    host.incarnation = unsignedMember(*object, "incarnation");
    host.state = HostStateNames.value(textMember(*object, "state")).value_or(HostState::Alive);
    if (host.name.empty()) {
        setReason(reason, "the host has no \"name\"");
        return std::nullopt;
    }
    return host;
}

std::string primaryKey(const std::string &team, const std::string &group)
{
    return "primary/" + team + "/" + group;
}

std::string encodePrimary(const std::string &instance)
{
    return json::serialize(json::object{{"instance", instance}});
}

std::string decodePrimary(std::string_view text)
{
    const auto object = parseObject(text, nullptr);
    return object ? textMember(*object, "instance") : std::string();
}

std::string settingsKey(const std::string &team)
{
    return "settings/" + team;
}

std::string leavingKey(const std::string &team, const std::string &instance)
{
    return "leaving/" + team + "/" + instance;
}

std::string encodeLeaving(bool leaving)
{
    return json::serialize(json::object{{"leaving", leaving}});
}

bool decodeLeaving(std::string_view text)
{
    const auto object = parseObject(text, nullptr);
    return object && flagMember(*object, "leaving");
}

std::string encodeViewUpdate(const ViewUpdate &update)
{
    json::array records;
    for (const Record &record : update.records)
        records.push_back(encodeRecord(record));
    return json::serialize(json::object{{"hash", toHexadecimal(update.hash)},
                                        {"settingsAgeMs", update.settingsAge.count()},
                                        {"records", std::move(records)}});
}

std::optional<ViewUpdate> decodeViewUpdate(std::string_view text, Reason *reason)
{
    const auto object = parseObject(text, reason);
    if (!object)
        return std::nullopt;
    ViewUpdate update;
    update.hash = fromHexadecimal(textMember(*object, "hash"));
    update.settingsAge = Millis(numberMember(*object, "settingsAgeMs"));
    for (const json::value &value : arrayMember(*object, "records")) {
        if (auto record = decodeRecord(value))
            update.records.push_back(std::move(*record));
    }
    return update;
}

std::string encodeHash(std::uint64_t hash)
{
    return json::serialize(json::object{{"hash", toHexadecimal(hash)}});
}

std::uint64_t decodeHash(std::string_view text)
{
    const auto object = parseObject(text, nullptr);
    return object ? fromHexadecimal(textMember(*object, "hash")) : 0;
}

} // namespace cicadagap
