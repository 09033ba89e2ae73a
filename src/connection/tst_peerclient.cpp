// Tests of PeerClient and PeerServer on the loopback interface: bodies up to the limit, and above.
#include "connection/peerclient.h"
#include "process/eventloop.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace cicadagap {
namespace {

constexpr Millis CallTimeout(20'000);
constexpr PeerLimits SmallLimits{.maxBodyBytes = 100'000};

// A server that echoes bodies. On the path /enlarge it doubles them.
class PeerCalls : public testing::Test
{
protected:
    PeerCalls()
        : m_thread([this] { m_loop.run(); })
    {
    }
    ~PeerCalls() override
    {
        m_loop.stop();
        m_thread.join();
    }

    void start(PeerLimits clientLimits, PeerLimits serverLimits)
    {
        Reason reason;
        m_server = PeerServer::listen(
            &m_loop, {.address = "127.0.0.1", .port = 0},
            [this](const PeerRequest &request, const PeerRespond &respond) {
                ++handled;
                respond(request.path == "/enlarge" ? request.body + request.body : request.body);
            },
            &reason, serverLimits);
        ASSERT_TRUE(m_server) << reason.text();
        m_client = PeerClient::create(&m_loop, m_server->endpoint(), clientLimits);
    }

    std::future<PeerReply> call(const std::string &path, std::string body)
    {
        const auto result = std::make_shared<std::promise<PeerReply>>();
        m_client->call({.path = path, .body = std::move(body)}, CallTimeout,
                       [result](PeerReply reply) { result->set_value(std::move(reply)); });
        return result->get_future();
    }

    std::atomic<int> handled = 0;

private:
    EventLoop m_loop{{.threads = 2}};
    std::thread m_thread;
    std::unique_ptr<PeerServer> m_server;
    std::shared_ptr<PeerClient> m_client;
};

TEST_F(PeerCalls, CarryBodiesUpToTheLimitBesideOthers)
{
    start({}, {});
    std::string longest(PeerLimits().maxBodyBytes, 'x');
    longest.front() = '\0';
    longest.back() = '\xFF';
    auto first = call("/echo", longest);
    auto beside = call("/echo", "beside");
    auto second = call("/echo", longest);
    auto empty = call("/echo", "");
    EXPECT_EQ(beside.get().body, "beside");
    for (auto *answer : {&first, &second}) {
        const PeerReply reply = answer->get();
        EXPECT_EQ(reply.verdict, Verdict::Ran);
        EXPECT_TRUE(reply.body == longest);
    }
    EXPECT_EQ(empty.get().verdict, Verdict::Ran);
}

struct LongBody
{
    std::string name;
    PeerLimits client;
    PeerLimits server;
    std::string path;
    std::size_t bytes;
    Verdict verdict;
    bool handled;
};

class LongBodies : public PeerCalls, public testing::WithParamInterface<LongBody>
{
};

// Guards against this failure: a body of any length was collected in memory.
TEST_P(LongBodies, AreRefusedWhileOthersGoOn)
{
    const LongBody &sent = GetParam();
    start(sent.client, sent.server);
    auto before = call("/echo", "before");
    auto tooLong = call(sent.path, std::string(sent.bytes, 'x'));
    auto after = call("/echo", "after");
    const PeerReply reply = tooLong.get();
    EXPECT_EQ(reply.verdict, sent.verdict);
    EXPECT_TRUE(reply.body.empty());
    EXPECT_EQ(before.get().body, "before");
    EXPECT_EQ(after.get().body, "after");
    EXPECT_EQ(handled, sent.handled ? 3 : 2);
    // The connection is still in use.
    EXPECT_EQ(call("/echo", std::string(SmallLimits.maxBodyBytes, 'y')).get().verdict,
              Verdict::Ran);
}

INSTANTIATE_TEST_SUITE_P(
    All, LongBodies,
    testing::Values(
        LongBody{"requestAtTheClient", SmallLimits, SmallLimits, "/echo", 100'001, Verdict::NotRun,
                 false},
        LongBody{"requestAtTheServer", {}, SmallLimits, "/echo", 100'001, Verdict::NotRun, false},
        LongBody{
            "longRequestAtTheServer", {}, SmallLimits, "/echo", 15'000'000, Verdict::NotRun, false},
        LongBody{"response", SmallLimits, {}, "/enlarge", 50'001, Verdict::MayHaveRun, true}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace cicadagap
