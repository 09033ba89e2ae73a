// The service level report of `cicadagap burn`: sums the answer counts of all hosts and formats
// them as a table, as JSON or as an SVG picture.
#pragma once

#include "request/burnrate.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// One priority class of a team, with its objective: `goodPercent` of the answers must arrive within
// `latencyMs`.
struct BurnRow
{
    std::string team;
    std::string className;
    std::int64_t latencyMs = 0;
    double goodPercent = 0;
    std::array<AnswerCounts, BurnWindows.size()> windows; // In the order of BurnWindows.
};

// Adds the counts of one host's /v1/burn page to `rows`. Returns false if the page is malformed;
// the items before the malformed one have been added then.
bool addBurnPage(std::string_view page, std::vector<BurnRow> *rows);
// Returns the share of the error budget (the bad answers that the objective allows) that is left
// over the longest window, in percent; at least 0.
double budgetLeft(const BurnRow &row);
std::string burnTable(const std::vector<BurnRow> &rows);
std::string burnJson(const std::vector<BurnRow> &rows);
std::string burnSvg(const std::vector<BurnRow> &rows);

} // namespace cicadagap
