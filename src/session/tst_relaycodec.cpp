// Tests of the codec of relayed batches and replies.
#include "messagegenerators.h"
#include "relaywire/relay.pb.h"
#include "session/relaycodec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {
namespace {

template <typename Value> rc::Gen<std::optional<Value>> sometimes(rc::Gen<Value> gen)
{
    return rc::gen::oneOf(rc::gen::just(std::optional<Value>()),
                          rc::gen::map(std::move(gen), [](Value value) {
                              return std::optional<Value>(std::move(value));
                          }));
}

template <typename Enum> rc::Gen<Enum> anyOf(Enum last)
{
    return rc::gen::map(rc::gen::inRange(0, static_cast<int>(last) + 1),
                        [](int value) { return static_cast<Enum>(value); });
}

rc::Gen<Position> anyPosition()
{
    return rc::gen::build<Position>(
        rc::gen::set(&Position::term, rc::gen::arbitrary<std::uint64_t>()),
        rc::gen::set(&Position::index, rc::gen::arbitrary<std::uint64_t>()));
}

rc::Gen<Millis> anyDuration()
{
    return rc::gen::map(rc::gen::inRange<std::int64_t>(0, 0xFFFFFFFF),
                        [](std::int64_t value) { return Millis(value); });
}

rc::Gen<std::string> anyNonEmptyText()
{
    return rc::gen::suchThat(anyText(), [](const std::string &text) { return !text.empty(); });
}

// A statement as a sound host sends it for this purpose.
rc::Gen<RelayedStatement> anyRelayedStatement(SendPurpose purpose)
{
    return rc::gen::exec([purpose] {
        RelayedStatement entry{.purpose = purpose};
        Statement &statement = entry.statement;
        switch (purpose) {
        case SendPurpose::Restore:
            statement.kind = *rc::gen::element(StatementKind::SetValue, StatementKind::Prepare,
                                               StatementKind::Deallocate, StatementKind::Reset);
            statement.name = *anyText();
            statement.argument = *anyText();
            statement.preparesWrite = *rc::gen::arbitrary<bool>();
            break;
        case SendPurpose::OpenTransaction:
            statement.kind = *rc::gen::element(StatementKind::Begin, StatementKind::BeginReadOnly);
            break;
        case SendPurpose::Work:
            statement.id = *rc::gen::suchThat(
                anyNonEmptyText(), [](const auto &id) { return id != InternalStatementId; });
            statement.kind = *rc::gen::element(StatementKind::Read, StatementKind::Write,
                                               StatementKind::Execute, StatementKind::Commit);
            statement.text = *anyNonEmptyText();
            if (statement.kind == StatementKind::Execute)
                statement.name = *anyText();
            statement.argument = *anyText();
            break;
        case SendPurpose::CloseTransaction:
            statement.kind = StatementKind::Rollback;
            break;
        }
        statement.requiredPosition = *sometimes(anyPosition());
        return entry;
    });
}

rc::Gen<std::vector<RelayedStatement>> anyRelayedStatements()
{
    return rc::gen::exec([] {
        auto statements = *rc::gen::container<std::vector<RelayedStatement>>(
            anyRelayedStatement(SendPurpose::Restore));
        const bool inTransaction = *rc::gen::arbitrary<bool>();
        if (inTransaction)
            statements.push_back(*anyRelayedStatement(SendPurpose::OpenTransaction));
        const int works = *rc::gen::inRange(0, 3);
        for (int i = 0; i < works; ++i)
            statements.push_back(*anyRelayedStatement(SendPurpose::Work));
        if (inTransaction)
            statements.push_back(*anyRelayedStatement(SendPurpose::CloseTransaction));
        return statements;
    });
}

rc::Gen<RelayBatch> anyBatch()
{
    return rc::gen::exec([] {
        return RelayBatch{.origin = *anyText(),
                          .channel = *rc::gen::arbitrary<std::uint64_t>(),
                          .instance = *anyText(),
                          .continues = *rc::gen::arbitrary<bool>(),
                          .priority = *rc::gen::inRange(0, 100),
                          .needsSlot = *rc::gen::arbitrary<bool>(),
                          .maxWait = *anyDuration(),
                          .maxAge = *sometimes(anyDuration()),
                          .primaryAge = *sometimes(anyDuration()),
                          .statements = *anyRelayedStatements()};
    });
}

rc::Gen<StatementAnswer> anyAnswer()
{
    return rc::gen::exec([] {
        StatementAnswer answer{.cause = *anyOf(Cause::TooLong),
                               .detail = *anyText(),
                               .rows = *rc::gen::container<std::vector<std::string>>(anyText()),
                               .signature = *anyText(),
                               .phase = *anyOf(SessionPhase::FailedTransaction),
                               .position = *sometimes(anyPosition())};
        if (*rc::gen::arbitrary<bool>())
            answer.status = InstanceStatus{.primary = *rc::gen::arbitrary<bool>(),
                                           .term = *rc::gen::arbitrary<std::uint64_t>(),
                                           .received = *anyPosition(),
                                           .pausedTerm = *rc::gen::arbitrary<std::uint64_t>()};
        return answer;
    });
}

rc::Gen<InstanceLoad> anyLoad()
{
    return rc::gen::exec([] {
        const auto anyTime = rc::gen::inRange<std::int64_t>(0, 600'001);
        return InstanceLoad{.instance = *anyNonEmptyText(),
                            .wait = Millis(*anyTime),
                            .queued = *rc::gen::inRange<std::uint32_t>(0, 1'000'001),
                            .running = *rc::gen::inRange<std::uint32_t>(0, 1'000'001),
                            .serviceTime = Millis(*anyTime)};
    });
}

rc::Gen<RelayReply> anyReply()
{
    return rc::gen::exec([] {
        return RelayReply{
            .answers = *rc::gen::container<std::vector<StatementAnswer>>(anyAnswer()),
            .ended = *rc::gen::arbitrary<bool>(),
            .cause = *anyOf(Cause::TooLong),
            .sent = *rc::gen::arbitrary<bool>(),
            .primary = *anyText(),
            .loads = *rc::gen::resize(8, rc::gen::container<std::vector<InstanceLoad>>(anyLoad()))};
    });
}

TEST(RelayCodec, PreservesBatches)
{
    RelayBatch batch{.origin = "h/1",
                     .channel = 77,
                     .instance = "i",
                     .continues = true,
                     .priority = 2,
                     .needsSlot = false,
                     .maxWait = Millis(900),
                     .maxAge = Millis(1500)};
    batch.statements.push_back(
        {.statement = {.kind = StatementKind::SetValue, .name = "a", .argument = "b c"},
         .purpose = SendPurpose::Restore});
    batch.statements.push_back(
        {.statement = {.id = "q1",
                       .kind = StatementKind::Execute,
                       .text = "EXECUTE s 1",
                       .name = "rq",
                       .argument = "1",
                       .requiredPosition = Position{.term = 2, .index = 9}}});
    EXPECT_EQ(decodeRelayBatch(encodeRelayBatch(batch), nullptr), batch);
}

TEST(RelayCodec, PreservesReplies)
{
    RelayReply reply{.ended = true, .cause = Cause::TooOld, .sent = true, .primary = "i3"};
    reply.answers.push_back(
        {.cause = Cause::Behind,
         .detail = "later",
         .rows = {"x", ""},
         .signature = "s",
         .phase = SessionPhase::Transaction,
         .position = Position{.term = 1, .index = 2},
         .status = InstanceStatus{.primary = true, .term = 3, .pausedTerm = 4}});
    const std::optional<RelayReply> read = decodeRelayReply(encodeRelayReply(reply), nullptr);
    ASSERT_TRUE(read);
    EXPECT_EQ(encodeRelayReply(*read), encodeRelayReply(reply));
    EXPECT_EQ(read->answers.front().rows, reply.answers.front().rows);
    EXPECT_EQ(read->answers.front().status->pausedTerm, 4U);
}

// Guard against this failure: the receiver refused a message with bytes that are not UTF-8.
TEST(RelayCodec, PreservesBatchesOfAnyBytes)
{
    EXPECT_TRUE(rc::check("batch", [] {
        const RelayBatch batch = *anyBatch();
        Reason reason;
        RC_ASSERT(decodeRelayBatch(encodeRelayBatch(batch), &reason) == batch);
        RC_ASSERT(reason.text().empty());
    }));
}

TEST(RelayCodec, PreservesRepliesOfAnyBytes)
{
    EXPECT_TRUE(rc::check("reply", [] {
        const RelayReply reply = *anyReply();
        Reason reason;
        RC_ASSERT(decodeRelayReply(encodeRelayReply(reply), &reason) == reply);
        RC_ASSERT(reason.text().empty());
    }));
}

struct OddStatements
{
    std::string name;
    std::vector<RelayedStatement> statements;
};

// Statements that no sound host relays, or not for that purpose. A gateway must not send them to
// an instance: callers have not sent them, or they would run outside of their transaction.
class OddRelayedStatements : public testing::TestWithParam<OddStatements>
{
};

TEST_P(OddRelayedStatements, AreRefusedWithAReason)
{
    const std::string bytes = encodeRelayBatch({.statements = GetParam().statements});
    Reason reason;
    EXPECT_FALSE(decodeRelayBatch(bytes, &reason));
    EXPECT_FALSE(reason.text().empty());
}

RelayedStatement callers(StatementKind kind, const std::string &text)
{
    return {.statement = {.id = "q", .kind = kind, .text = text}};
}

RelayedStatement internal(StatementKind kind, SendPurpose purpose)
{
    return {.statement = {.kind = kind}, .purpose = purpose};
}

INSTANTIATE_TEST_SUITE_P(
    All, OddRelayedStatements,
    testing::Values(
        OddStatements{"unknownKind", {callers(StatementKind::Unknown, "ANALYZE x")}},
        OddStatements{"textMissing", {callers(StatementKind::Read, "")}},
        OddStatements{"internalRead", {internal(StatementKind::Read, SendPurpose::Work)}},
        OddStatements{"callersCommand", {callers(StatementKind::StepDown, "STEPDOWN 9")}},
        OddStatements{"callersReset", {callers(StatementKind::Reset, "RESET")}},
        OddStatements{"callersValue", {callers(StatementKind::SetValue, "SET a b")}},
        OddStatements{"readThatRestores", {internal(StatementKind::Read, SendPurpose::Restore)}},
        OddStatements{"writeThatOpens",
                      {internal(StatementKind::Write, SendPurpose::OpenTransaction)}},
        OddStatements{"commitThatCloses",
                      {internal(StatementKind::Commit, SendPurpose::CloseTransaction)}},
        OddStatements{"workBeforeItsTransaction",
                      {callers(StatementKind::Write, "WRITE a b"),
                       internal(StatementKind::Begin, SendPurpose::OpenTransaction)}},
        OddStatements{"workAfterItsTransaction",
                      {internal(StatementKind::Rollback, SendPurpose::CloseTransaction),
                       callers(StatementKind::Write, "WRITE a b")}},
        OddStatements{"stateAfterWork",
                      {callers(StatementKind::Write, "WRITE a b"),
                       internal(StatementKind::Reset, SendPurpose::Restore)}},
        OddStatements{"twoTransactions",
                      {internal(StatementKind::Begin, SendPurpose::OpenTransaction),
                       internal(StatementKind::Begin, SendPurpose::OpenTransaction)}}),
    [](const auto &info) { return info.param.name; });

// The rows of a reply that is too long for its connection are dropped. Its statements have run, so
// only those that read can be promised to leave nothing.
class LongReply : public testing::TestWithParam<bool>
{
};

TEST_P(LongReply, LosesItsRowsAndNotItsVerdict)
{
    constexpr std::size_t MaxBytes = 1000;
    const bool onlyReads = GetParam();
    RelayReply reply{.answers = {{.phase = SessionPhase::Transaction},
                                 {.rows = {std::string(MaxBytes, 'x')},
                                  .signature = "s",
                                  .phase = SessionPhase::Transaction},
                                 {.cause = Cause::Failed, .detail = "why"}}};
    Reason reason;
    const std::optional<RelayReply> read
        = decodeRelayReply(encodeRelayReply(reply, onlyReads, MaxBytes, &reason), nullptr);
    ASSERT_TRUE(read);
    EXPECT_FALSE(reason.text().empty());
    reply.answers[1].rows.clear();
    reply.answers[1].signature.clear();
    reply.answers[1].cause = onlyReads ? Cause::TooLong : Cause::ConnectionLost;
    EXPECT_EQ(*read, reply);
}

TEST_P(LongReply, LosesItsLoadsFirst)
{
    RelayReply reply{.answers = {{.rows = {"x"}}}, .loads = {{.instance = "i1"}}};
    const std::size_t length = encodeRelayReply(reply).size();
    const std::string encoded = encodeRelayReply(reply, GetParam(), length - 1, nullptr);
    reply.loads.clear();
    EXPECT_EQ(decodeRelayReply(encoded, nullptr), reply);
}

TEST_P(LongReply, IsKeptUpToTheLimit)
{
    const RelayReply reply{.answers = {{.rows = {std::string(1000, 'x')}}}};
    const std::string encoded = encodeRelayReply(reply);
    Reason reason;
    EXPECT_EQ(encodeRelayReply(reply, GetParam(), encoded.size(), &reason), encoded);
    EXPECT_TRUE(reason.text().empty());
    EXPECT_LT(encodeRelayReply(reply, GetParam(), encoded.size() - 1, &reason).size(), 100U);
}

INSTANTIATE_TEST_SUITE_P(All, LongReply, testing::Bool(), [](const auto &info) {
    return std::string(info.param ? "onlyReads" : "writes");
});

// A load that no sound gateway reports is ignored; the answers beside it are kept.
TEST(RelayCodec, IgnoresImplausibleLoads)
{
    const InstanceLoad sound{.instance = "i1", .wait = Millis(7), .queued = 2, .running = 4};
    relaywire::Reply reply;
    reply.add_answers()->set_signature("s");
    for (int row = 0; row < 5 + int(MaxReportedLoads); ++row) {
        relaywire::Load *load = reply.add_loads();
        load->set_instance(row == 0 ? "" : "i1");
        load->set_wait_ms(row == 1 ? 0xFFFFFFFF : 7);
        load->set_queued(row == 2 ? 0xFFFFFFFF : 2);
        load->set_running(row == 3 ? 0xFFFFFFFF : 4);
        load->set_service_ms(row == 4 ? 600'001 : 0);
    }
    reply.add_loads()->set_instance("one too many");
    const std::optional<RelayReply> read = decodeRelayReply(reply.SerializeAsString(), nullptr);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->answers.size(), 1U);
    EXPECT_EQ(read->loads, std::vector<InstanceLoad>(MaxReportedLoads, sound));
    EXPECT_TRUE(decodeRelayReply(encodeRelayReply({.loads = {{}}}), nullptr)->loads.empty());
}

TEST(RelayCodec, DoesNotCrashOnArbitraryBytes)
{
    EXPECT_TRUE(rc::check("bytes", [](const std::string &bytes) {
        decodeRelayBatch(bytes, nullptr);
        decodeRelayReply(bytes, nullptr);
    }));
}

// What is decoded from a damaged message is either nothing, with a reason, or a message within the
// limits of its types, which can be passed on.
TEST(RelayCodec, RefusesDamagedBatchesOrReadsThemWithinLimits)
{
    EXPECT_TRUE(rc::check("batch", [] {
        const std::string bytes = *damaged(encodeRelayBatch(*anyBatch()));
        Reason reason;
        const std::optional<RelayBatch> read = decodeRelayBatch(bytes, &reason);
        RC_ASSERT(read.has_value() == reason.text().empty());
        if (!read)
            return;
        for (const RelayedStatement &entry : read->statements) {
            RC_ASSERT(entry.statement.kind <= StatementKind::StepDown);
            RC_ASSERT(entry.purpose <= SendPurpose::CloseTransaction);
            RC_ASSERT(!entry.statement.id.empty());
        }
        RC_ASSERT(decodeRelayBatch(encodeRelayBatch(*read), nullptr).has_value());
    }));
}

TEST(RelayCodec, RefusesDamagedRepliesOrReadsThemWithinLimits)
{
    EXPECT_TRUE(rc::check("reply", [] {
        const std::string bytes = *damaged(encodeRelayReply(*anyReply()));
        Reason reason;
        const std::optional<RelayReply> read = decodeRelayReply(bytes, &reason);
        RC_ASSERT(read.has_value() == reason.text().empty());
        if (!read)
            return;
        RC_ASSERT(read->cause <= Cause::TooLong);
        for (const StatementAnswer &answer : read->answers) {
            RC_ASSERT(answer.cause <= Cause::TooLong);
            RC_ASSERT(answer.phase <= SessionPhase::FailedTransaction);
        }
        RC_ASSERT(decodeRelayReply(encodeRelayReply(*read), nullptr) == read);
    }));
}

} // namespace
} // namespace cicadagap
