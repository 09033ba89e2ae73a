// Settings files as the programs read them at start: problems go to standard error, one a line.
#pragma once

#include "version/settings.h"

#include <optional>
#include <string>

namespace cicadagap {

// The file's text. Nothing, and a line on standard error, if it cannot be read.
std::optional<std::string> readTextFile(const std::string &file);

// The host settings in the file. Nothing, and all problems on standard error, if there are any.
std::optional<HostSettings> loadHostSettings(const std::string &file);

} // namespace cicadagap
