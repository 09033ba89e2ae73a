#include "version/settingsfile.h"

#include "version/settingsreader.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace cicadagap {

std::optional<std::string> readTextFile(const std::string &file)
{
    std::ifstream input(file);
    if (!input) {
        std::cerr << file << ": cannot be read\n";
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(input), {});
}

std::optional<HostSettings> loadHostSettings(const std::string &file)
{
    const auto text = readTextFile(file);
    if (!text)
        return std::nullopt;
    Problems problems;
    auto settings = readHostSettings(*text, file, &problems);
    for (const Problem &problem : problems)
        std::cerr << problem.text() << '\n';
    return settings;
}

} // namespace cicadagap
