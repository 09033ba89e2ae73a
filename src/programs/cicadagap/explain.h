// `cicadagap explain`: finds in log files how a request was handled and what led to it.
#pragma once

#include "base/millis.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace cicadagap {

struct ExplainOptions
{
    std::string requestId;
    // How long before the request's first line a state change may have been logged to be printed.
    Millis before = Millis(5000);
};

// Reads log lines from the streams and prints the request's own lines and, between them, the state
// changes that the hosts which handled it logged: which instance they took for the primary, their
// configuration, their view of the platform and the like. Returns false if no line belongs to the
// request. Lines that are not JSON objects are skipped and counted.
bool explainRequest(const ExplainOptions &options, const std::vector<std::istream *> &logs,
                    std::ostream *output);

} // namespace cicadagap
