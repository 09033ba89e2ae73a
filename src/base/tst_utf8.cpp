#include "base/utf8.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace cicadagap {
namespace {

using std::string_view_literals::operator""sv;

TEST(Utf8, AcceptsTheBoundsOfEachLength)
{
    for (const std::string_view text :
         {""sv, "\0\x7F"sv, "\xC2\x80\xDF\xBF"sv, "\xE0\xA0\x80\xED\x9F\xBF"sv,
          "\xEE\x80\x80\xEF\xBF\xBF"sv, "\xF0\x90\x80\x80\xF4\x8F\xBF\xBF"sv})
        EXPECT_TRUE(isUtf8(text)) << text;
}

TEST(Utf8, RefusesOtherBytes)
{
    for (const std::string_view text :
         {"\x80"sv, "a\xBF"sv, "\xC0\x80"sv, "\xC1\xBF"sv, "\xC2"sv, "\xC2\x41"sv, "\xE0\x9F\xBF"sv,
          "\xE1\x80"sv, "\xE1\x80\xC0"sv, "\xED\xA0\x80"sv, "\xF0\x8F\xBF\xBF"sv, "\xF1\x80\x80"sv,
          "\xF4\x90\x80\x80"sv, "\xF5\x80\x80\x80"sv, "\xFF"sv})
        EXPECT_FALSE(isUtf8(text)) << text;
}

} // namespace
} // namespace cicadagap
