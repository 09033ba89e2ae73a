// The text encoding UTF-8 (RFC 3629). JSON and protobuf readers refuse other bytes in texts, so a
// text from outside is checked before it becomes part of such a message.
#pragma once

#include <string_view>

namespace cicadagap {

// Whether all of `text` is valid UTF-8: without overlong forms, surrogates and code points beyond
// U+10FFFF.
bool isUtf8(std::string_view text);

} // namespace cicadagap
