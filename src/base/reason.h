// Error messages of functions that report failure by an empty std::optional or by false.
//
//     Reason reason;
//     std::optional<Endpoint> endpoint = parseEndpoint(text, &reason);
//     if (!endpoint)
//         log(reason.text());
#pragma once

#include <string>
#include <utility>

namespace cicadagap {

// The text of the most recent error, for a person to read. Functions that can fail take a `Reason
// *` as their last parameter; a null pointer means that the caller does not need the text. Do not
// confuse it with Cause (base/verdict.h), which programs evaluate.
class Reason
{
public:
    const std::string &text() const { return m_text; }
    void set(std::string text) { m_text = std::move(text); }

private:
    std::string m_text;
};

// Sets the text of `reason`, unless `reason` is null.
inline void setReason(Reason *reason, std::string text)
{
    if (reason)
        reason->set(std::move(text));
}

} // namespace cicadagap
