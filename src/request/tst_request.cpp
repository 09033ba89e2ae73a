#include "request/burnrate.h"
#include "request/requestflow.h"
#include "request/sessiontoken.h"
#include "request/systemview.h"

#include "base/hash.h"
#include "connection/wire.h"
#include "mutatedtext.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace cicadagap {

TEST(SessionToken, IsValidUnderRotatedKeys)
{
    SessionToken token;
    token.advance("tensile:east", {3, 17});
    token.advance("tensile:east", {2, 99}); // A lower position is ignored.
    token.advance("b", {1, 1});
    const std::string text = token.encode({"new", "old"});
    for (const std::vector<std::string> &keys :
         {std::vector<std::string>{"new"}, std::vector<std::string>{"newer", "new"}}) {
        const auto decoded = SessionToken::decode(text, keys, nullptr);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->position("tensile:east"), (Position{3, 17}));
        EXPECT_EQ(decoded->position("unknown"), Position{});
    }
    EXPECT_FALSE(SessionToken::decode(text, {"other"}, nullptr));
}

// Guards against these failures: a group's name made the token malformed, so that the session lost
// its position in all groups, or became another header of the answer.
TEST(SessionToken, SurvivesARoundTripWithAnyGroups)
{
    EXPECT_TRUE(rc::check([] {
        SessionToken token;
        const auto groups = *rc::gen::container<std::vector<std::string>>(
            2, rc::gen::oneOf(anyUtf8(), rc::gen::arbitrary<std::string>()));
        for (const std::string &group : groups)
            token.advance(group, {*rc::gen::arbitrary<std::uint64_t>(), 7});
        const std::string text = token.encode({"key"});
        for (const char each : text)
            RC_ASSERT((each > ' ' && each <= '~' && each != ';' && each != '"'));
        const auto decoded = SessionToken::decode(text, {"key"}, nullptr);
        RC_ASSERT(decoded);
        for (const std::string &group : groups)
            RC_ASSERT(decoded->position(group) == token.position(group));
    }));
}

// A token that an earlier version signed, or that another holder of the key did.
TEST(SessionToken, DecodesOrRefusesAnyPayload)
{
    const auto decode = [](const std::string &entries) {
        const std::string payload = "1." + entries;
        return SessionToken::decode(payload + "." + signature("key", payload), {"key"}, nullptr);
    };
    EXPECT_EQ(decode("tensile:east:3:17")->position("tensile:east"), (Position{3, 17}));
    for (const char *entries : {"g", "g:1", "g:1:", "g::1", "g:1:x", "g:-1:1",
                                "g:18446744073709551616:1", "%:1:1", "%4:1:1", "%zz:1:1"})
        EXPECT_FALSE(decode(entries)) << entries;
    EXPECT_TRUE(rc::check([&decode] {
        const auto token = decode(mutated("g%20h:1:2,b:3:4"));
        RC_ASSERT((!token || token->position("no such group") == Position{}));
    }));
}

TEST(SessionToken, RejectsAnyAlteration)
{
    EXPECT_TRUE(rc::check([] {
        SessionToken token;
        token.advance("g", {3, 17});
        std::string text = token.encode({"key"});
        const auto index = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto replacement = *rc::gen::arbitrary<char>();
        RC_PRE(text[index] != replacement);
        text[index] = replacement;
        RC_ASSERT(!SessionToken::decode(text, {"key"}, nullptr));
    }));
}

TEST(RetryBudget, LimitsRetriesToAShareOfFirstAttempts)
{
    RetryBudget budget(10, 5);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt();
        retries += budget.takeRetry() ? 1 : 0;
    }
    EXPECT_GE(retries, 100);
    EXPECT_LE(retries, 105);
}

namespace {

GroupView view(std::uint64_t term, const std::string &primary)
{
    GroupView view{.primary = primary, .term = term};
    for (const std::string number : {"1", "2", "3"})
        view.instances.push_back({"t" + number, "d" + number, false, {"h" + number, "g" + number}});
    return view;
}

struct FlowCase
{
    std::string name;
    FlowRequest request;
    std::vector<GatewayReply> replies; // To the attempts, in this order.
    std::vector<std::string> attempts; // "<host> <instance>", or "wait".
    Verdict verdict;
};

std::ostream &operator<<(std::ostream &out, const FlowCase &c)
{
    return out << c.name;
}

FlowRequest write(const std::string &requestId = {})
{
    return {.write = true, .requestId = requestId, .deadline = Millis(1000)};
}

FlowRequest readOwnWrites()
{
    return {.token = Position{1, 5}, .deadline = Millis(1000)};
}

GatewayReply notRun(Cause cause)
{
    return {.verdict = Verdict::NotRun, .cause = cause};
}

GatewayReply mayHaveRun()
{
    return {.verdict = Verdict::MayHaveRun, .cause = Cause::ConnectionLost};
}

GatewayReply ran()
{
    return {.verdict = Verdict::Ran};
}

} // namespace

class RequestFlowTable : public testing::TestWithParam<FlowCase>
{
};

TEST_P(RequestFlowTable, TriesInOrderAndReportsNoMoreThanIsKnown)
{
    const GroupView group = view(1, "t1");
    RequestFlow flow(GetParam().request, "d2", 0);
    RetryBudget budget(10, 5);
    RouteHistory history;
    std::vector<std::string> attempts;
    std::size_t next = 0;
    Millis now(0);
    FlowAction action = flow.start(now, group, history);
    while (action.step != FlowStep::Finish && attempts.size() < 20) {
        if (action.step == FlowStep::Wait) {
            attempts.emplace_back("wait");
            now = action.wakeAt;
            action = flow.onWake(now, group, history);
            continue;
        }
        attempts.push_back(action.host + " " + action.instance
                           + (action.kind == RequestKind::OutcomeQuery ? " outcome" : ""));
        ASSERT_LT(next, GetParam().replies.size()) << testing::PrintToString(attempts);
        action = flow.onReply(now, group, GetParam().replies[next++], &budget, &history);
    }
    EXPECT_EQ(attempts, GetParam().attempts);
    EXPECT_EQ(action.reply.verdict, GetParam().verdict);
}

INSTANTIATE_TEST_SUITE_P(
    All, RequestFlowTable,
    testing::Values(FlowCase{"write", write(), {ran()}, {"h1 t1"}, Verdict::Ran},
                    FlowCase{"read of own writes: replica in the same data centre",
                             readOwnWrites(),
                             {ran()},
                             {"h2 t2"},
                             Verdict::Ran},
                    FlowCase{"replicas behind: the primary",
                             readOwnWrites(),
                             {notRun(Cause::Behind), notRun(Cause::Behind), ran()},
                             {"h2 t2", "h3 t3", "h1 t1"},
                             Verdict::Ran},
                    FlowCase{"reply to a read lost: next replica",
                             readOwnWrites(),
                             {mayHaveRun(), ran()},
                             {"h2 t2", "h3 t3"},
                             Verdict::Ran},
                    FlowCase{"reply to a write without a request id lost: never repeated",
                             write(),
                             {mayHaveRun()},
                             {"h1 t1"},
                             Verdict::MayHaveRun},
                    FlowCase{"reply to a write with a request id lost: repeated under the id",
                             write("r"),
                             {mayHaveRun(), ran()},
                             {"h1 t1", "wait", "g1 t1"},
                             Verdict::Ran},
                    FlowCase{"reply lost, then refused: still unknown",
                             write("r"),
                             {mayHaveRun(), notRun(Cause::Overloaded)},
                             {"h1 t1", "wait", "g1 t1"},
                             Verdict::MayHaveRun},
                    FlowCase{"reply lost, then cancelled: outcome resolved",
                             write("r"),
                             {mayHaveRun(), notRun(Cause::Cancelled)},
                             {"h1 t1", "wait", "g1 t1"},
                             Verdict::NotRun},
                    FlowCase{"refused for overload: no retry",
                             write(),
                             {notRun(Cause::Overloaded)},
                             {"h1 t1"},
                             Verdict::NotRun},
                    FlowCase{"gateway unreachable: its fallback",
                             write(),
                             {notRun(Cause::Unreachable), ran()},
                             {"h1 t1", "g1 t1"},
                             Verdict::Ran},
                    FlowCase{"reply to a commit lost: the ledger is queried",
                             {.kind = RequestKind::Commit,
                              .write = true,
                              .requestId = "r",
                              .deadline = Millis(1000),
                              .transactionHost = "h1",
                              .transactionInstance = "t1"},
                             {mayHaveRun(), ran()},
                             {"h1 t1", "g1 t1 outcome"},
                             Verdict::Ran},
                    FlowCase{"reply to a commit without a request id lost",
                             {.kind = RequestKind::Commit,
                              .write = true,
                              .deadline = Millis(1000),
                              .transactionHost = "h1",
                              .transactionInstance = "t1"},
                             {mayHaveRun()},
                             {"h1 t1"},
                             Verdict::MayHaveRun}));

TEST(GatewayHealth, BacksOffFromFailedGateways)
{
    GatewayHealth health;
    const std::vector<std::string> hosts{"a", "b"};
    health.recordFailure(Millis(1000), "a", "t1");
    EXPECT_EQ(health.preferred(Millis(1500), "t1", hosts), 1U);
    EXPECT_EQ(health.preferred(Millis(1500), "t2", hosts), 0U);
    EXPECT_EQ(health.preferred(Millis(2000), "t1", hosts), 0U);
    // The second failure in a row doubles the backoff.
    health.recordFailure(Millis(2000), "a", "t1");
    EXPECT_EQ(health.preferred(Millis(3999), "t1", hosts), 1U);
    health.recordFailure(Millis(3000), "b", "t1");
    // Both are in backoff; that of "a" ends first.
    EXPECT_EQ(health.preferred(Millis(3500), "t1", hosts), 0U);
    health.recordSuccess("a", "t1");
    EXPECT_EQ(health.preferred(Millis(3500), "t1", hosts), 0U);
}

TEST(RequestFlow, AbandonsTheOldPrimaryAtOnce)
{
    RetryBudget budget(10, 5);
    RouteHistory history;
    RequestFlow withRequestId(write("r"), "d2", 0);
    EXPECT_EQ(withRequestId.start(Millis(0), view(1, "t1"), history).host, "h1");
    const auto action = withRequestId.onViewChanged(Millis(10), view(2, "t3"), &budget, history);
    ASSERT_TRUE(action);
    EXPECT_EQ(action->host, "h3");
    // The first attempt may have run, and the refusal of the second one does not change that.
    const auto refused = withRequestId.onReply(Millis(20), view(2, "t3"), notRun(Cause::Overloaded),
                                               &budget, &history);
    EXPECT_EQ(refused.reply.verdict, Verdict::MayHaveRun);
    RequestFlow withoutRequestId(write(), "d2", 0);
    withoutRequestId.start(Millis(0), view(1, "t1"), history);
    EXPECT_FALSE(withoutRequestId.onViewChanged(Millis(10), view(2, "t3"), &budget, history));
}

TEST(BurnTracker, SumsItsWindows)
{
    BurnTracker tracker;
    for (int i = 0; i < 99; ++i)
        tracker.record(Millis(0), true);
    tracker.record(Millis(0), false);
    EXPECT_NEAR(burnRate(tracker.window(Millis(1000), BurnWindows[0]), 99.0), 1.0, 1e-9);
    EXPECT_EQ(tracker.window(Millis(400'000), BurnWindows[0]).bad, 0U);
    EXPECT_EQ(tracker.window(Millis(400'000), BurnWindows[1]).bad, 1U);
    EXPECT_EQ(burnRate({}, 99.0), 0.0);
}

TEST(SystemView, IsEmptyBeforeItHasSettings)
{
    SystemView view("h1", "cali");
    EXPECT_EQ(view.team("valle"), nullptr);
    EXPECT_EQ(view.group("valle", "g"), nullptr);
    const std::string body
        = R"({"team":"valle","groups":{"g":{"instances":{"t1":{"address":"127.0.0.1:1",)"
          R"("dataCentre":"cali"}}}},"statements":{"r":{"kind":"read"}},"tokenKeys":["k"]})";
    EXPECT_TRUE(view.merge({settingsKey("valle"), 4, body}));
    EXPECT_FALSE(view.merge({settingsKey("valle"), 3, body}));
    EXPECT_EQ(view.team("valle")->version, 4U);
    view.merge({primaryKey("valle", "g"), 7, encodePrimary("t1")});
    HostInfo host{.name = "h1", .dataCentre = "cali", .incarnation = 1};
    view.merge({hostKey("h1"), hostVersion(host), encodeHost(host)});
    const auto group = view.group("valle", "g");
    EXPECT_EQ(group->primary, "t1");
    EXPECT_EQ(group->term, 7U);
    EXPECT_EQ(group->instances[0].gateways, (std::vector<std::string>{"h1"}));
}

} // namespace cicadagap
