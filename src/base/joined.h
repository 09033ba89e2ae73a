// Writes several texts as one, for a line of the log.
#pragma once

#include <string>
#include <string_view>

namespace cicadagap {

// The texts of a container in its order, with the separator between two of them.
template <typename Texts> std::string joined(const Texts &texts, std::string_view separator)
{
    std::string all;
    bool first = true;
    for (const std::string &text : texts) {
        if (!first)
            all += separator;
        first = false;
        all += text;
    }
    return all;
}

} // namespace cicadagap
