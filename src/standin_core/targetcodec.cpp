#include "standin_core/targetcodec.h"

#include "connection/wire.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace cicadagap {

namespace json = boost::json;

std::optional<Operation> decodeOperation(const json::value &value)
{
    const json::object *object = value.if_object();
    if (!object)
        return std::nullopt;
    const auto kind = OperationKindNames.value(textMember(*object, "op"));
    if (!kind)
        return std::nullopt;
    return Operation{*kind, textMember(*object, "table"), textMember(*object, "key"),
                     textMember(*object, "value")};
}

json::object encodeOperation(const Operation &operation)
{
    return {{"op", OperationKindNames.name(operation.kind)},
            {"table", operation.table},
            {"key", operation.key},
            {"value", operation.value}};
}

std::optional<ExecuteRequest> decodeExecute(std::string_view text, Reason *reason)
{
    const auto object = parseObject(text, reason);
    if (!object)
        return std::nullopt;
    ExecuteRequest request;
    request.term = static_cast<std::uint64_t>(numberMember(*object, "term"));
    request.readOnly = flagMember(*object, "readOnly");
    request.inTransaction = flagMember(*object, "inTransaction");
    const json::value *operations = object->if_contains("ops");
    const json::array *array = operations ? operations->if_array() : nullptr;
    if (!array) {
        setReason(reason, "expected an array \"ops\"");
        return std::nullopt;
    }
    for (const json::value &value : *array) {
        auto operation = decodeOperation(value);
        if (!operation) {
            setReason(reason, "malformed operation: " + json::serialize(value));
            return std::nullopt;
        }
        request.operations.push_back(std::move(*operation));
    }
    return request;
}

std::string encodeExecuteAnswer(const ExecuteAnswer &answer)
{
    json::object object{{"last", encodePosition(answer.position)}};
    if (answer.cause != Cause::None) {
        object["cause"] = CauseNames.name(answer.cause);
        object["operation"] = answer.failedOperation;
        return json::serialize(object);
    }
    json::array results;
    for (const OperationResult &result : answer.results) {
        json::array values;
        for (const std::string &value : result.values)
            values.emplace_back(value);
        results.push_back(json::object{{"values", std::move(values)}, {"count", result.count}});
    }
    object["results"] = std::move(results);
    return json::serialize(object);
}

std::string encodeReplicate(const ReplicateRequest &request)
{
    json::array entries;
    for (const LogEntry &entry : request.entries)
        entries.push_back(encodeEntry(entry));
    return json::serialize(json::object{{"term", request.term},
                                        {"primary", request.primary},
                                        {"previous", encodePosition(request.previous)},
                                        {"entries", std::move(entries)}});
}

std::optional<ReplicateRequest> decodeReplicate(std::string_view text, Reason *reason)
{
    const auto object = parseObject(text, reason);
    if (!object)
        return std::nullopt;
    ReplicateRequest request;
    request.term = static_cast<std::uint64_t>(numberMember(*object, "term"));
    request.primary = textMember(*object, "primary");
    request.previous = decodePosition(*object, "previous");
    const json::value *entries = object->if_contains("entries");
    if (!entries || !entries->is_array()) {
        setReason(reason, "expected an array \"entries\"");
        return std::nullopt;
    }
    for (const json::value &value : entries->get_array()) {
        auto entry = decodeEntry(value);
        if (!entry) {
            setReason(reason, "malformed log entry: " + json::serialize(value));
            return std::nullopt;
        }
        request.entries.push_back(std::move(*entry));
    }
    return request;
}

std::string encodeReplicateAnswer(const ReplicateAnswer &answer)
{
    return json::serialize(json::object{{"accepted", answer.accepted},
                                        {"term", answer.term},
                                        {"last", encodePosition(answer.last)},
                                        {"nextIndex", answer.nextIndex}});
}

std::optional<ReplicateAnswer> decodeReplicateAnswer(std::string_view text, Reason *reason)
{
    const auto object = parseObject(text, reason);
    if (!object)
        return std::nullopt;
    ReplicateAnswer answer;
    answer.accepted = flagMember(*object, "accepted");
    answer.term = static_cast<std::uint64_t>(numberMember(*object, "term"));
    answer.last = decodePosition(*object, "last");
    answer.nextIndex = static_cast<std::uint64_t>(numberMember(*object, "nextIndex"));
    return answer;
}

json::object encodeEntry(const LogEntry &entry)
{
    json::array operations;
    for (const Operation &operation : entry.operations)
        operations.push_back(encodeOperation(operation));
    return {{"term", entry.term}, {"ops", std::move(operations)}};
}

std::optional<LogEntry> decodeEntry(const json::value &value)
{
    const json::object *object = value.if_object();
    const json::value *operations = object ? object->if_contains("ops") : nullptr;
    if (!operations || !operations->is_array())
        return std::nullopt;
    LogEntry entry;
    entry.term = static_cast<std::uint64_t>(numberMember(*object, "term"));
    for (const json::value &item : operations->get_array()) {
        auto operation = decodeOperation(item);
        if (!operation)
            return std::nullopt;
        entry.operations.push_back(std::move(*operation));
    }
    return entry;
}

} // namespace cicadagap
