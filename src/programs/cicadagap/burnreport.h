// Adds up the hosts' service-level counts and shows them as a table, JSON or a picture.
#pragma once

#include "request/burnrate.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

struct BurnRow
{
    std::string team;
    std::string className;
    std::int64_t latencyMs = 0;
    double goodPercent = 0;
    std::array<AnswerCounts, BurnWindows.size()> windows;
};

// Adds one host's /v1/burn page to `rows`. False if it is malformed.
bool addBurnPage(std::string_view page, std::vector<BurnRow> *rows);
// The share of the allowance that is left over the longest window, in percent; at least 0.
double budgetLeft(const BurnRow &row);
std::string burnTable(const std::vector<BurnRow> &rows);
std::string burnJson(const std::vector<BurnRow> &rows);
std::string burnSvg(const std::vector<BurnRow> &rows);

} // namespace cicadagap
