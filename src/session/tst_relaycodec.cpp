// Tests of the codec of relayed batches and replies.
#include "messagegenerators.h"
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

// A caller's statement is passed on as its text, so it needs its name only to be executed.
rc::Gen<RelayedStatement> anyRelayedStatement()
{
    return rc::gen::exec([] {
        RelayedStatement entry{.purpose = *anyOf(SendPurpose::CloseTransaction)};
        Statement &statement = entry.statement;
        statement.id = *rc::gen::suchThat(anyText(), [](const auto &id) { return !id.empty(); });
        statement.kind = *anyOf(StatementKind::StepDown);
        statement.text = *anyText();
        if (statement.text.empty() || statement.kind == StatementKind::Execute)
            statement.name = *anyText();
        statement.argument = *anyText();
        statement.preparesWrite = *rc::gen::arbitrary<bool>();
        statement.requiredPosition = *sometimes(anyPosition());
        return entry;
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
                          .statements = *rc::gen::container<std::vector<RelayedStatement>>(
                              anyRelayedStatement())};
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

rc::Gen<RelayReply> anyReply()
{
    return rc::gen::exec([] {
        return RelayReply{.answers = *rc::gen::container<std::vector<StatementAnswer>>(anyAnswer()),
                          .ended = *rc::gen::arbitrary<bool>(),
                          .cause = *anyOf(Cause::TooLong),
                          .sent = *rc::gen::arbitrary<bool>(),
                          .primary = *anyText()};
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
