#include "connection/http.h"
#include "connection/wire.h"

#include "mutatedtext.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace cicadagap {

namespace {

rc::Gen<Position> anyPosition()
{
    return rc::gen::build<Position>(
        rc::gen::set(&Position::term, rc::gen::inRange<std::uint64_t>(0, 1ULL << 40U)),
        rc::gen::set(&Position::index, rc::gen::inRange<std::uint64_t>(0, 1ULL << 40U)));
}

// Generates ASCII text. Texts in real messages were JSON before, so they are always valid text.
rc::Gen<std::string> anyText()
{
    return rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
}

} // namespace

TEST(Wire, RequestSurvivesARoundTrip)
{
    EXPECT_TRUE(rc::check([] {
        ForwardedRequest sent;
        sent.team = *anyText();
        sent.request.kind = *rc::gen::element(RequestKind::Execute, RequestKind::OutcomeQuery,
                                              RequestKind::Commit);
        sent.request.write = *rc::gen::arbitrary<bool>();
        sent.request.operations = *anyText();
        sent.request.requiredPosition = *anyPosition();
        if (*rc::gen::arbitrary<bool>())
            sent.request.maxAge = Millis(*rc::gen::inRange(0, 100000));
        const auto decoded = decodeForwardedRequest(encodeForwardedRequest(sent), nullptr);
        RC_ASSERT(decoded);
        RC_ASSERT(decoded->team == sent.team);
        RC_ASSERT(decoded->request.kind == sent.request.kind);
        RC_ASSERT(decoded->request.write == sent.request.write);
        RC_ASSERT(decoded->request.operations == sent.request.operations);
        RC_ASSERT(decoded->request.requiredPosition == sent.request.requiredPosition);
        RC_ASSERT(decoded->request.maxAge == sent.request.maxAge);
    }));
}

TEST(Wire, GossipSurvivesARoundTrip)
{
    RecordStore store;
    store.merge({"a", 0xffffffffffffffffULL, "body"});
    GossipMessage sent{.kind = GossipKind::Request, .hash = store.hash(), .digest = store.digest()};
    sent.ids = {{"a", 3}, {"b", 1ULL << 60U}};
    sent.records = {{"a", 0xffffffffffffffffULL, "body"}};
    std::string from;
    const auto decoded = decodeGossip(encodeGossip("h1", sent), &from, nullptr);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(from, "h1");
    EXPECT_EQ(decoded->digest, sent.digest);
    EXPECT_EQ(decoded->hash, sent.hash);
    EXPECT_EQ(decoded->records, sent.records);
    ASSERT_EQ(decoded->ids.size(), 2U);
    EXPECT_EQ(decoded->ids[1].version, 1ULL << 60U);
}

// A peer may send any bytes; decoding must return nothing for what is not valid, and must not
// crash.
TEST(Wire, RejectsTruncatedMessages)
{
    EXPECT_TRUE(rc::check([] {
        std::string text = encodeReply({.verdict = Verdict::Ran, .results = "[1]"});
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text.resize(at);
        std::string from;
        RC_ASSERT(!decodeReply(text, nullptr));
        RC_ASSERT(!decodeGossip(text, &from, nullptr));
        RC_ASSERT(!decodeForwardedRequest(text, nullptr));
        RC_ASSERT(!decodeReport(text, nullptr));
        RC_ASSERT(!decodeHost(text, nullptr));
    }));
}

TEST(Wire, RejectsDeeplyNestedMessages)
{
    for (const std::string &text :
         {std::string(100'000, '['), "{\"name\":" + std::string(100'000, '{')}) {
        std::string from;
        Reason reason;
        EXPECT_FALSE(decodeReply(text, &reason));
        EXPECT_FALSE(decodeGossip(text, &from, &reason));
        EXPECT_FALSE(decodeForwardedRequest(text, &reason));
        EXPECT_FALSE(decodeReport(text, &reason));
        EXPECT_FALSE(decodeHost(text, &reason));
        EXPECT_FALSE(decodeViewUpdate(text, &reason));
        EXPECT_FALSE(decodeTargetAnswer({}, text, &reason));
    }
}

// Guards against this failure: a record with a negative version replaced all later ones.
TEST(Wire, CountsNoNegativeNumberAsAGreatOne)
{
    for (const char *number : {"-1", "-9223372036854775808", "1.5", "\"7\"", "null", "1e30"}) {
        const std::string text = std::string(R"({"records":[{"key":"a","version":)") + number
            + R"(,"epoch":)" + number + R"(,"body":"x"}]})";
        const auto view = decodeViewUpdate(text, nullptr);
        ASSERT_TRUE(view);
        ASSERT_EQ(view->records.size(), 1U);
        EXPECT_EQ(view->records[0].version, 0U) << number;
        EXPECT_EQ(view->records[0].epoch, 0U) << number;
    }
}

TEST(Wire, RecordsOfAnyTextsSurviveARoundTrip)
{
    EXPECT_TRUE(rc::check([] {
        const Record record{.key = "k" + *anyUtf8(),
                            .version = *rc::gen::arbitrary<std::uint64_t>(),
                            .body = *anyUtf8(),
                            .epoch = *rc::gen::arbitrary<std::uint64_t>()};
        const ViewUpdate sent{.hash = *rc::gen::arbitrary<std::uint64_t>(), .records = {record}};
        const auto update = decodeViewUpdate(encodeViewUpdate(sent), nullptr);
        RC_ASSERT(update);
        RC_ASSERT(update->hash == sent.hash);
        RC_ASSERT(update->records == sent.records);
        std::string from;
        const std::string sender = "h" + *anyUtf8();
        const GossipMessage message{.kind = GossipKind::Request, .records = {record}};
        const auto gossip = decodeGossip(encodeGossip(sender, message), &from, nullptr);
        RC_ASSERT(gossip);
        RC_ASSERT(from == sender);
        RC_ASSERT(gossip->records == message.records);
        RC_ASSERT(decodePrimary(encodePrimary(record.body)) == record.body);
    }));
}

TEST(Wire, HostsOfAnyNamesSurviveARoundTrip)
{
    EXPECT_TRUE(rc::check([] {
        const HostInfo host{.name = "h" + *anyUtf8(),
                            .dataCentre = *anyUtf8(),
                            .callerAddress = *anyUtf8(),
                            .incarnation = *rc::gen::arbitrary<std::uint64_t>()};
        const auto decoded = decodeHost(encodeHost(host), nullptr);
        RC_ASSERT(decoded);
        RC_ASSERT(decoded->name == host.name);
        RC_ASSERT(decoded->dataCentre == host.dataCentre);
        RC_ASSERT(decoded->callerAddress == host.callerAddress);
        RC_ASSERT(decoded->incarnation == host.incarnation);
    }));
}

// The check parses the message by itself: the ledger's operation has the caller's request id as its
// key, and the caller's operations follow unchanged.
TEST(Wire, RequestIdsStayInTheirOperation)
{
    EXPECT_TRUE(rc::check([] {
        boost::json::array operations;
        for (const std::string &text : *rc::gen::container<std::vector<std::string>>(anyUtf8()))
            operations.push_back(boost::json::object{{"op", text}});
        const TargetCall call{.term = 4,
                              .operations = boost::json::serialize(operations),
                              .requestId = *anyUtf8(),
                              .ledgerValue = "ran"};
        const auto message = boost::json::parse(encodeTargetCall(call, Millis(77)));
        const boost::json::array &sent = message.at("ops").as_array();
        RC_ASSERT(sent.size() == operations.size() + 1);
        RC_ASSERT(sent[0].at("key").as_string() == boost::json::string(call.requestId));
        for (std::size_t index = 0; index < operations.size(); ++index)
            RC_ASSERT(sent[index + 1] == operations[index]);
    }));
}

TEST(Wire, DoesNotCrashOnMutatedMessages)
{
    const std::string gossip = encodeGossip(
        "h", {.kind = GossipKind::Request, .ids = {{"a", 1, 2}}, .records = {{"a", 1, "b", 2}}});
    const std::string request = encodeForwardedRequest({.team = "t", .group = "g"});
    const std::string reply = encodeReply({.verdict = Verdict::Ran, .results = "[1]"});
    const std::string report
        = encodeReport({.name = "i", .replicas = {{"j", 1, {1, 2}, Millis(3)}}});
    const std::string host = encodeHost({.name = "h"});
    const std::string update = encodeViewUpdate({.records = {{"a", 1, "b", 2}}});
    const std::string answer
        = R"({"last":{"term":4,"index":2},"results":[{"values":["1 ran"]}],"operation":0})";
    EXPECT_TRUE(rc::check([&] {
        std::string from;
        if (const auto decoded = decodeGossip(mutated(gossip), &from, nullptr))
            RC_ASSERT(!from.empty());
        decodeForwardedRequest(mutated(request), nullptr);
        decodeReply(mutated(reply), nullptr);
        if (const auto decoded = decodeReport(mutated(report), nullptr))
            RC_ASSERT(!decoded->name.empty());
        if (const auto decoded = decodeHost(mutated(host), nullptr))
            RC_ASSERT(!decoded->name.empty());
        decodeViewUpdate(mutated(update), nullptr);
        decodeTargetAnswer({.kind = TargetCallKind::ReadLedger}, mutated(answer), nullptr);
        decodeTargetAnswer({.ledgerValue = "ran"}, mutated(answer), nullptr);
        decodeHash(mutated(R"({"hash":"ff"})"));
        decodeLeaving(mutated(R"({"leaving":true})"));
    }));
}

// One odd record of a peer's message does not keep the others from being used.
TEST(Wire, KeepsTheOthersBesideOddRecords)
{
    const std::string records
        = R"("records":[7,{"key":"a","version":1,"body":"x"},{"key":[[]],"version":1},)"
          R"({"version":1e999,"body":"y"},{"key":"b","version":2,"body":"z"}])";
    std::string from;
    Reason reason;
    const auto gossip = decodeGossip(
        R"({"kind":"push","from":"h","ids":[[],["a",1e999],7],)" + records + "}", &from, &reason);
    const auto view = decodeViewUpdate("{" + records + "}", &reason);
    ASSERT_TRUE(gossip) << reason.text();
    ASSERT_TRUE(view) << reason.text();
    for (const std::vector<Record> &list : {gossip->records, view->records}) {
        ASSERT_EQ(list.size(), 2U);
        EXPECT_EQ(list[0].key, "a");
        EXPECT_EQ(list[1].key, "b");
    }
}

TEST(Wire, PutsTheLedgerOperationFirst)
{
    TargetCall call{.term = 4, .operations = " [ ] ", .requestId = "r", .ledgerValue = "ran"};
    EXPECT_EQ(encodeTargetCall(call, Millis(77)),
              R"({"term":4,"readOnly":false,"inTransaction":false,"ops":[{"op":"insert",)"
              R"("table":"cicadagap_ledger","key":"r","value":"77 ran"} ] })");
    const auto answer
        = decodeTargetAnswer(call, R"({"last":{"term":4,"index":2},"results":[1,2]})", nullptr);
    EXPECT_EQ(answer->results, "[2]");
    const auto conflict
        = decodeTargetAnswer(call, R"({"cause":"conflict","operation":0})", nullptr);
    EXPECT_TRUE(conflict->ledgerConflict);
    const auto callers = decodeTargetAnswer(call, R"({"cause":"conflict","operation":1})", nullptr);
    EXPECT_FALSE(callers->ledgerConflict);
}

TEST(Http, ReadsQueries)
{
    EXPECT_EQ(targetPath("/a/b?c=d"), "/a/b");
    EXPECT_EQ(queryValue("/a?key=x%2Fy&b=", "key"), "x/y");
    EXPECT_EQ(queryValue("/a?key=x&b=", "b"), "");
    EXPECT_EQ(queryValue("/a", "b"), std::nullopt);
    EXPECT_EQ(percentEncode("a/b c"), "a%2Fb%20c");
}

} // namespace cicadagap
