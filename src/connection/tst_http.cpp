// Tests of the HTTP client and server with texts that callers, operators or the store choose: a
// text either stays in its field, or nothing is sent.
#include "connection/http.h"

#include "mutatedtext.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadagap {
namespace {

using std::string_view_literals::operator""sv;

constexpr Millis CallTime(2000);

// The result of one call.
struct CallResult
{
    std::optional<HttpResponse> response;
    CallFailure failure;
};

// A server on the loopback interface and a client of it.
class HttpFields : public testing::Test
{
protected:
    HttpFields()
        : m_loop({.threads = 1})
    {
        Reason reason;
        m_server = HttpServer::listen(
            &m_loop, {.address = "127.0.0.1", .port = 0},
            [this](const HttpRequest &request, const Respond &respond) {
                received.push_back(request);
                respond(answer);
            },
            &reason);
        EXPECT_TRUE(m_server) << reason.text();
    }

    CallResult call(const HttpRequest &request)
    {
        std::optional<CallResult> result;
        callOnce(&m_loop, m_server->endpoint(), request, CallTime,
                 [&result](std::optional<HttpResponse> response, const CallFailure &failure) {
                     result = {.response = std::move(response), .failure = failure};
                 });
        while (!result)
            m_loop.context()->run_one();
        return *result;
    }

private:
    EventLoop m_loop;
    std::unique_ptr<HttpServer> m_server;

protected:
    std::vector<HttpRequest> received;
    HttpResponse answer;
};

struct OddRequest
{
    std::string name;
    HttpRequest request;
};

std::ostream &operator<<(std::ostream &output, const OddRequest &odd)
{
    return output << odd.name;
}

class OddHttpRequests : public HttpFields, public testing::WithParamInterface<OddRequest>
{
};

// Guards against this failure: a text in a header, the target or the method became another header
// or another request, or ended the process.
TEST_P(OddHttpRequests, AreNotSent)
{
    const CallResult result = call(GetParam().request);
    EXPECT_FALSE(result.response);
    EXPECT_FALSE(result.failure.sent);
    EXPECT_FALSE(result.failure.text.empty());
    EXPECT_TRUE(received.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All, OddHttpRequests,
    testing::Values(OddRequest{"headerWithALineEnd", {.headers = {{"x-name", "h0\r\nX-Other: 9"}}}},
                    OddRequest{"headerWithALineFeed", {.headers = {{"x-name", "h0\nX-Other: 9"}}}},
                    OddRequest{"headerWithACarriageReturn", {.headers = {{"x-name", "h0\r"}}}},
                    OddRequest{"headerWithANul", {.headers = {{"x-name", std::string("h\0x", 3)}}}},
                    OddRequest{"headerWithABlankAtItsEnd", {.headers = {{"x-name", "h0 "}}}},
                    OddRequest{"headerWithABlankAtItsStart", {.headers = {{"x-name", " h0"}}}},
                    OddRequest{"headerThatIsTooLong",
                               {.headers = {{"x-name", std::string(70'000, 'h')}}}},
                    OddRequest{"headerNameWithAColon", {.headers = {{"duty: x", "h0"}}}},
                    OddRequest{"emptyHeaderName", {.headers = {{"", "h0"}}}},
                    OddRequest{"targetWithABlank", {.target = "/rows-get?from=a b"}},
                    OddRequest{"targetWithALineEnd", {.target = "/a HTTP/1.1\r\nx: y\r\n\r\n"}},
                    OddRequest{"targetWithANul", {.target = std::string("/a\0b", 4)}},
                    OddRequest{"emptyTarget", {.target = ""}},
                    OddRequest{"methodWithABlank", {.method = "GET /other"}}),
    [](const auto &info) { return info.param.name; });

TEST_F(HttpFields, ArriveAsTheyWereSent)
{
    const CallResult result
        = call({.target = "/a?b=" + percentEncode("\r\n\0 &%/=+\xff\xc3\xa4"sv),
                .headers = {{"x-name", "host \"a\"; b, c: \xc3\xa4"}, {"x-empty", ""}}});
    ASSERT_TRUE(result.response);
    ASSERT_EQ(received.size(), 1U);
    EXPECT_EQ(received[0].headers.at("x-name"), "host \"a\"; b, c: \xc3\xa4");
    EXPECT_EQ(received[0].headers.at("x-empty"), "");
}

// Guards against this failure: a name in a response's header became another header of it.
TEST_F(HttpFields, OddResponseHeadersAreNotSent)
{
    for (const std::string &value : {std::string("a\r\nx-other: b"), std::string("a\r\n\r\n{}"),
                                     std::string("a\nx-other: b"), std::string(70'000, 'a')}) {
        answer = {.headers = {{"x-session", value}}, .body = "{}"};
        const CallResult result = call({.target = "/"});
        ASSERT_TRUE(result.response) << result.failure.text;
        EXPECT_EQ(result.response->status, 500);
        EXPECT_FALSE(result.response->headers.contains("x-other"));
        EXPECT_FALSE(result.response->headers.contains("x-session"));
    }
}

TEST(HttpQueries, SurviveARoundTrip)
{
    EXPECT_TRUE(rc::check([](const std::string &first, const std::string &second) {
        const std::string target
            = "/p?a=" + percentEncode(first) + "&b=" + percentEncode(second) + "&c=1";
        for (const char each : target.substr(target.find('?') + 1))
            RC_ASSERT((each >= '!' && each <= '~'));
        RC_ASSERT(queryValue(target, "a") == first);
        RC_ASSERT(queryValue(target, "b") == second);
        RC_ASSERT(queryValue(target, "c") == "1");
    }));
}

// Guards against this failure: two different texts in a query stood for one key.
TEST(HttpQueries, RefuseInvalidEscapes)
{
    for (const char *value : {"%", "%4", "a%", "a%f", "%zz", "%4z", "%-1", "%+1", "% 1", "%%41"})
        EXPECT_EQ(queryValue(std::string("/p?a=") + value, "a"), std::nullopt) << value;
    EXPECT_EQ(queryValue("/p?a=%4aB%C3", "a"), "JB\xc3");
}

// Guards against this failure: a group whose name has a blank or letters beyond ASCII could not be
// named in a path.
TEST(HttpPaths, AreSplitIntoDecodedNames)
{
    using Names = std::vector<std::string>;
    EXPECT_EQ(pathNames("/v1//teams/a%2Fb/g%20h%C3%A4?x=/y"),
              (Names{"v1", "teams", "a/b", "g h\xc3\xa4"}));
    EXPECT_EQ(pathNames("/"), Names{});
    EXPECT_EQ(pathNames("/a/%zz"), std::nullopt);
    // Such a name would make the JSON of the answer that repeats it invalid.
    EXPECT_EQ(pathNames("/a/%ff"), std::nullopt);
    EXPECT_EQ(pathNames("/a/\xc3"), std::nullopt);
    EXPECT_TRUE(rc::check([] {
        const std::string first = "a" + *anyUtf8();
        const std::string second = "b" + *anyUtf8();
        RC_ASSERT(pathNames("/" + percentEncode(first) + "/" + percentEncode(second) + "?q")
                  == (Names{first, second}));
    }));
}

} // namespace
} // namespace cicadagap
