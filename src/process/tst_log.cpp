// Log lines stay valid and bounded whatever texts callers, instances, operators and the store
// choose for their fields.
#include "process/log.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {
namespace {

using namespace std::string_literals;

constexpr std::size_t MebiByte = 1'048'576;

// Parses a line strictly; nothing if it is not a single JSON object in UTF-8.
std::optional<boost::json::object> parseLine(const std::string &line)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(line, error);
    const bool isOneLine = std::none_of(
        line.begin(), line.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20; });
    if (error || !value.is_object() || !isOneLine)
        return std::nullopt;
    return value.as_object();
}

bool isUtf8(std::string_view text)
{
    boost::system::error_code error;
    boost::json::parse(boost::json::serialize(boost::json::string(text)), error);
    return !error;
}

std::string textOf(const boost::json::object &line, std::string_view field)
{
    const boost::json::string &text = line.at(field).as_string();
    return {text.data(), text.size()};
}

// A text in a field between ordinary fields, and what the line says instead of it.
struct TextCase
{
    std::string name;
    std::string text;
    std::string logged;
};

std::ostream &operator<<(std::ostream &out, const TextCase &textCase)
{
    return out << textCase.name;
}

class LoggedText : public testing::TestWithParam<TextCase>
{
};

// Guards against this failure: a line is not JSON, or is two lines, as a request id or the like
// held bytes that JSON does not permit.
TEST_P(LoggedText, GivesOneValidLine)
{
    const std::vector<LogField> fields{
        {"session", 17}, {"request", GetParam().text}, {"cause", "none"}, {"waitedMs", -3}};
    const std::string line = logLine(LogLevel::Warning, "request.failed", fields);
    const std::optional<boost::json::object> parsed = parseLine(line);
    ASSERT_TRUE(parsed) << line;
    EXPECT_EQ(textOf(*parsed, "request"), GetParam().logged);
    EXPECT_EQ(textOf(*parsed, "level"), "warning");
    EXPECT_EQ(textOf(*parsed, "event"), "request.failed");
    EXPECT_EQ(parsed->at("session").as_int64(), 17);
    EXPECT_EQ(textOf(*parsed, "cause"), "none");
    EXPECT_EQ(parsed->at("waitedMs").as_int64(), -3);
    EXPECT_FALSE(parsed->contains("cut"));
}

INSTANTIATE_TEST_SUITE_P(
    Texts, LoggedText,
    testing::Values(TextCase{"empty", "", ""},
                    TextCase{"plain", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8"},
                    TextCase{"blanks", "  a  b ", "  a  b "}, TextCase{"nul", "a\0b"s, "a\0b"s},
                    TextCase{"controls", "\x01\b\t\n\v\f\r\x1f\x7f", "\x01\b\t\n\v\f\r\x1f\x7f"},
                    TextCase{"lineBreak", "a\r\n{\"at\":1}\r\n", "a\r\n{\"at\":1}\r\n"},
                    TextCase{"quotes", R"("\",",\u0000)", R"("\",",\u0000)"},
                    TextCase{"twoBytes", "\xc2\x80\xdf\xbf", "\xc2\x80\xdf\xbf"},
                    TextCase{"threeBytes", "\xe0\xa0\x80\xed\x9f\xbf\xee\x80\x80\xef\xbf\xbf",
                             "\xe0\xa0\x80\xed\x9f\xbf\xee\x80\x80\xef\xbf\xbf"},
                    TextCase{"fourBytes", "\xf0\x90\x80\x80\xf4\x8f\xbf\xbf",
                             "\xf0\x90\x80\x80\xf4\x8f\xbf\xbf"},
                    TextCase{"noUtf8", "a\xff\x80z", "a\ufffd\ufffdz"},
                    TextCase{"incomplete", "a\xe2\x82", "a\ufffd\ufffd"},
                    TextCase{"interrupted", "\xf0\x90\x80q", "\ufffd\ufffd\ufffdq"},
                    TextCase{"overlong", "\xc0\xaf\xe0\x9f\xbf", "\ufffd\ufffd\ufffd\ufffd\ufffd"},
                    TextCase{"overlongFourBytes", "\xf0\x8f\xbf\xbf", "\ufffd\ufffd\ufffd\ufffd"},
                    TextCase{"surrogate", "\xed\xa0\x80", "\ufffd\ufffd\ufffd"},
                    TextCase{"beyondUnicode", "\xf4\x90\x80\x80\xf5",
                             "\ufffd\ufffd\ufffd\ufffd\ufffd"}),
    [](const auto &info) { return info.param.name; });

// A text that is too long for a line: a unit that is repeated to the length.
struct LongCase
{
    std::string name;
    std::string unit;
    std::size_t bytes = 0;
};

std::ostream &operator<<(std::ostream &out, const LongCase &longCase)
{
    return out << longCase.name;
}

class LongText : public testing::TestWithParam<LongCase>
{
protected:
    LongText()
    {
        while (text.size() < GetParam().bytes)
            text += GetParam().unit;
    }

    std::string text;
};

// Guards against this failure: a name or id of a megabyte fills the log, or its line is lost.
TEST_P(LongText, IsCutAndTheLineSaysSo)
{
    const std::vector<LogField> fields{
        {"session", 17}, {"request", "r1"}, {"database", text}, {"cause", "none"}};
    const std::string line = logLine(LogLevel::Info, "session.refused", fields);
    EXPECT_LE(line.size(), MaxLogLineBytes);
    const std::optional<boost::json::object> parsed = parseLine(line);
    ASSERT_TRUE(parsed) << line;
    const std::string logged = textOf(*parsed, "database");
    EXPECT_LE(logged.size(), MaxLogFieldBytes);
    EXPECT_FALSE(logged.empty());
    if (isUtf8(GetParam().unit)) {
        EXPECT_TRUE(text.starts_with(logged));
        EXPECT_EQ(logged.size() % GetParam().unit.size(), 0U);
    }
    ASSERT_TRUE(parsed->contains("cut"));
    const boost::json::object cut{{"database", text.size()}};
    EXPECT_EQ(parsed->at("cut").as_object(), cut);
    EXPECT_EQ(textOf(*parsed, "request"), "r1");
    EXPECT_EQ(textOf(*parsed, "cause"), "none");
}

// Guards against this failure: a line with several long texts exceeds the bound, or loses the short
// ones.
TEST_P(LongText, LeavesTheOtherFieldsWhole)
{
    const std::string whole(MaxLogFieldBytes, 'w');
    const std::vector<LogField> fields{
        {"a", text}, {"b", text},  {"request", whole}, {"c", text}, {"d", text}, {"e", text},
        {"f", text}, {"g", whole}, {"h", text},        {"i", text}, {"j", text}, {"attempts", 5}};
    const std::string line = logLine(LogLevel::Info, "request.answered", fields);
    EXPECT_LE(line.size(), MaxLogLineBytes);
    const std::optional<boost::json::object> parsed = parseLine(line);
    ASSERT_TRUE(parsed) << line;
    EXPECT_EQ(textOf(*parsed, "request"), whole);
    EXPECT_EQ(textOf(*parsed, "g"), whole);
    EXPECT_EQ(parsed->at("attempts").as_int64(), 5);
    EXPECT_EQ(parsed->at("cut").as_object().size(), 9U);
}

// Guards against this failure: a line with more fields than any event has exceeds the bound.
TEST_P(LongText, KeepsTheBoundWithAnyNumberOfFields)
{
    const std::vector<LogField> fields(1000, LogField("database", text));
    const std::string line = logLine(LogLevel::Info, "session.refused", fields);
    EXPECT_LE(line.size(), MaxLogLineBytes);
    EXPECT_TRUE(parseLine(line)) << line;
    const std::vector<LogField> numbers(1000, LogField("number", -1));
    EXPECT_LE(logLine(LogLevel::Info, "session.refused", numbers).size(), MaxLogLineBytes);
    EXPECT_TRUE(parseLine(logLine(LogLevel::Info, "session.refused", numbers)));
}

INSTANTIATE_TEST_SUITE_P(Texts, LongText,
                         testing::Values(LongCase{"letters", "x", MebiByte},
                                         LongCase{"oneByteTooLong", "x", MaxLogFieldBytes + 1},
                                         LongCase{"wideCharacters", "\xf0\x9f\x90\x9e", MebiByte},
                                         LongCase{"controls", "\x01", MebiByte},
                                         LongCase{"nul", "\0"s, MebiByte},
                                         LongCase{"quotes", "\"", MebiByte},
                                         LongCase{"noUtf8", "\xff", MebiByte}),
                         [](const auto &info) { return info.param.name; });

// Guards against this failure: some bytes in some field give a line that cannot be read, or change
// another field.
TEST(LogLine, IsValidAndBoundedForAnyBytesInAnyField)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::string> &texts, std::int64_t number) {
        const std::vector<std::string> names{"a", "b", "c", "d", "e", "f", "g", "h"};
        const std::size_t count = std::min(texts.size(), names.size());
        const std::size_t repeats = *rc::gen::element<std::size_t>(1, 1, 100);
        std::vector<std::string> values;
        for (std::size_t i = 0; i < count; ++i) {
            values.emplace_back();
            for (std::size_t j = 0; j < repeats; ++j)
                values.back() += texts[i];
        }
        std::vector<LogField> fields{{"request", "r1"}};
        for (std::size_t i = 0; i < count; ++i)
            fields.emplace_back(names[i], values[i]);
        fields.emplace_back("number", number);
        const std::string line = logLine(LogLevel::Info, "request.answered", fields);
        RC_ASSERT(line.size() <= MaxLogLineBytes);
        const std::optional<boost::json::object> parsed = parseLine(line);
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(textOf(*parsed, "request") == "r1");
        RC_ASSERT(parsed->at("number").as_int64() == number);
        for (std::size_t i = 0; i < count; ++i) {
            const std::string logged = textOf(*parsed, names[i]);
            const bool isCut
                = parsed->contains("cut") && parsed->at("cut").as_object().contains(names[i]);
            if (!isUtf8(values[i]))
                continue;
            RC_ASSERT(values[i].starts_with(logged));
            RC_ASSERT(isCut == (logged.size() < values[i].size()));
        }
    }));
}

// Guards against this failure: a text of a caller ends its field and writes another one.
TEST(LogLine, HoldsTheFieldsThatWereGivenAndNoOthers)
{
    EXPECT_TRUE(rc::check([](const std::string &text) {
        const std::vector<LogField> fields{{"request", text}, {"cause", "none"}};
        const std::optional<boost::json::object> parsed
            = parseLine(logLine(LogLevel::Info, "request.answered", fields));
        RC_ASSERT(parsed.has_value());
        for (const auto &member : *parsed) {
            const std::vector<std::string_view> known{"at",    "level",   "program", "host",
                                                      "event", "request", "cause",   "cut"};
            RC_ASSERT(std::find(known.begin(), known.end(), std::string_view(member.key()))
                      != known.end());
        }
    }));
}

} // namespace
} // namespace cicadagap
