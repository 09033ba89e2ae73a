// The last reason for an error, filled in beside an empty std::optional.
//
//     Reason reason;
//     std::optional<Endpoint> endpoint = parseEndpoint(text, &reason);
//     if (!endpoint)
//         log(reason.text());
#pragma once

#include <string>
#include <utility>

namespace cicadagap {

// Holds the text of the most recent error. Functions that can fail take a `Reason *` last; a null
// pointer means that the caller does not need the text.
class Reason
{
public:
    const std::string &text() const { return m_text; }
    void set(std::string text) { m_text = std::move(text); }

private:
    std::string m_text;
};

// Sets `reason` if it is not null.
inline void setReason(Reason *reason, std::string text)
{
    if (reason)
        reason->set(std::move(text));
}

} // namespace cicadagap
