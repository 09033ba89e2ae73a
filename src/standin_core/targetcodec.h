// The JSON that the stand-in target accepts and answers.
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
// Reads {"term", "readOnly", "ops"}.
std::optional<ExecuteRequest> decodeExecute(std::string_view text, Reason *reason);
std::string encodeExecuteAnswer(const ExecuteAnswer &answer);
std::string encodeReplicate(const ReplicateRequest &request);
std::optional<ReplicateRequest> decodeReplicate(std::string_view text, Reason *reason);
std::string encodeReplicateAnswer(const ReplicateAnswer &answer);
std::optional<ReplicateAnswer> decodeReplicateAnswer(std::string_view text, Reason *reason);
boost::json::object encodeEntry(const LogEntry &entry);
std::optional<LogEntry> decodeEntry(const boost::json::value &value);

} // namespace cicadagap
