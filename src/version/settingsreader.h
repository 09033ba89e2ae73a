// Reads and checks settings files. All problems of a file are reported at once, each with file,
// line and key; a file with a problem yields nothing.
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

std::optional<TeamSettings> readTeamSettings(std::string_view text, const std::string &file,
                                             Problems *problems);
std::optional<HostSettings> readHostSettings(std::string_view text, const std::string &file,
                                             Problems *problems);

} // namespace cicadagap
