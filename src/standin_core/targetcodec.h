// Encodes and decodes the JSON messages of the stand-in target. A decode function returns
// std::nullopt if the text or value is malformed; those with a `reason` set it to the cause.
#pragma once

#include "base/reason.h"
#include "standin_core/targetinstance.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

std::optional<Operation> decodeOperation(const boost::json::value &value);
boost::json::object encodeOperation(const Operation &operation);
// Reads an object with the members "term", "readOnly", "inTransaction" and "ops".
std::optional<ExecuteRequest> decodeExecute(std::string_view text, Reason *reason);
std::string encodeExecuteAnswer(const ExecuteAnswer &answer);
std::string encodeReplicate(const ReplicateRequest &request);
std::optional<ReplicateRequest> decodeReplicate(std::string_view text, Reason *reason);
std::string encodeReplicateAnswer(const ReplicateAnswer &answer);
std::optional<ReplicateAnswer> decodeReplicateAnswer(std::string_view text, Reason *reason);
boost::json::object encodeEntry(const LogEntry &entry);
std::optional<LogEntry> decodeEntry(const boost::json::value &value);

} // namespace cicadagap
