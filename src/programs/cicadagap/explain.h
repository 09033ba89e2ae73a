// From a request's id to why it ended as it did, out of log files.
#pragma once

#include "base/millis.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace cicadagap {

struct ExplainOptions
{
    std::string requestId;
    Millis before
        = Millis(5000); // Changes of belief that long before the request's first line count.
};

// Reads log lines from the streams and prints the request's own lines, and between them what the
// hosts that touched it came to believe about its instances, its configuration and the platform.
// False if no line mentions the request. Lines that are no JSON objects are skipped and counted.
bool explainRequest(const ExplainOptions &options, const std::vector<std::istream *> &logs,
                    std::ostream *output);

} // namespace cicadagap
