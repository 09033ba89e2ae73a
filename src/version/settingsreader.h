// Reads and validates settings files. All problems of a file are reported together, each with its
// file, line and key. A file that has a problem yields no settings.
//
//     Problems problems;
//     std::optional<TeamSettings> team = readTeamSettings(text, "valle.json", &problems);
//     for (const Problem &problem : problems)
//         std::cerr << problem.text() << '\n';
#pragma once

#include "version/locatedjson.h"
#include "version/settings.h"

#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

// Parse `text` and append all problems to `problems`. `file` is only used in the problems.
std::optional<TeamSettings> readTeamSettings(std::string_view text, const std::string &file,
                                             Problems *problems);
std::optional<HostSettings> readHostSettings(std::string_view text, const std::string &file,
                                             Problems *problems);

} // namespace cicadagap
