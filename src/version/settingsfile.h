// Reads settings files when a program starts. Problems are printed on standard error, one per line.
#pragma once

#include "version/settings.h"

#include <optional>
#include <string>

namespace cicadagap {

// Reads the text of a file. If that fails, prints a line on standard error and returns nothing.
std::optional<std::string> readTextFile(const std::string &file);

// Reads the host settings in a file. If there are problems, prints all of them on standard error
// and returns nothing.
std::optional<HostSettings> loadHostSettings(const std::string &file);

} // namespace cicadagap
