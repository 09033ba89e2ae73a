#include "session/relaycodec.h"

#include "relaywire/relay.pb.h"
#include "session/relaymessage.h"

#include <algorithm>

namespace cicadagap {

namespace {

// The highest values that this version knows; messages with higher ones are refused.
constexpr auto LastKind = static_cast<std::uint32_t>(StatementKind::StepDown);
constexpr auto LastPurpose = static_cast<std::uint32_t>(SendPurpose::CloseTransaction);
constexpr auto LastPhase = static_cast<std::uint32_t>(SessionPhase::FailedTransaction);
constexpr auto LastCause = static_cast<std::uint32_t>(Cause::QuotaExceeded);

void write(const Position &position, relaywire::Position *out)
{
    out->set_term(position.term);
    out->set_index(position.index);
}

Position read(const relaywire::Position &in)
{
    return {.term = in.term(), .index = in.index()};
}

// Whether hosts relay such a statement for that purpose. A gateway sends no other ones to
// instances, as no caller has sent them.
bool isRelayable(const RelayedStatement &entry)
{
    const Statement &statement = entry.statement;
    const bool internal = statement.id == InternalStatementId && statement.text.empty();
    switch (statement.kind) {
    case StatementKind::Unknown:
        return false;
    case StatementKind::SetValue:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
    case StatementKind::Reset:
        return internal && entry.purpose == SendPurpose::Restore;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        return internal && entry.purpose == SendPurpose::OpenTransaction;
    case StatementKind::Rollback:
        return internal && entry.purpose == SendPurpose::CloseTransaction;
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
    case StatementKind::Commit:
        return statement.id != InternalStatementId && !statement.text.empty()
            && entry.purpose == SendPurpose::Work;
    case StatementKind::Status:
    case StatementKind::Pause:
    case StatementKind::Resume:
    case StatementKind::StepDown:
        return internal && entry.purpose == SendPurpose::Work;
    }
    return false;
}

// Whether the session's state is restored before anything runs, and a transaction is opened before
// its statements and closed after them, at most once.
bool isInOrder(const std::vector<RelayedStatement> &statements)
{
    const auto isLessOrOnce = [](const RelayedStatement &before, const RelayedStatement &after) {
        const bool mayRepeat
            = before.purpose == SendPurpose::Restore || before.purpose == SendPurpose::Work;
        return before.purpose < after.purpose || (mayRepeat && before.purpose == after.purpose);
    };
    return std::adjacent_find(
               statements.begin(), statements.end(),
               [&](const auto &before, const auto &after) { return !isLessOrOnce(before, after); })
        == statements.end();
}

void write(const RelayedStatement &entry, relaywire::Statement *out)
{
    const Statement &statement = entry.statement;
    if (statement.id != InternalStatementId)
        out->set_id(statement.id);
    out->set_kind(static_cast<std::uint32_t>(statement.kind));
    out->set_purpose(static_cast<std::uint32_t>(entry.purpose));
    out->set_text(statement.text);
    out->set_name(statement.text.empty() || statement.kind == StatementKind::Execute
                      ? statement.name
                      : std::string());
    out->set_argument(statement.argument);
    out->set_prepares_write(statement.preparesWrite);
    if (statement.requiredPosition)
        write(*statement.requiredPosition, out->mutable_after());
}

std::optional<RelayedStatement> read(const relaywire::Statement &in)
{
    if (in.kind() > LastKind || in.purpose() > LastPurpose)
        return std::nullopt;
    RelayedStatement entry{.purpose = static_cast<SendPurpose>(in.purpose())};
    Statement &statement = entry.statement;
    statement.id = in.id().empty() ? InternalStatementId : in.id();
    statement.kind = static_cast<StatementKind>(in.kind());
    statement.text = in.text();
    statement.name = in.name();
    statement.argument = in.argument();
    statement.preparesWrite = in.prepares_write();
    if (in.has_after())
        statement.requiredPosition = read(in.after());
    return entry;
}

void write(const StatementAnswer &answer, relaywire::Answer *out)
{
    out->set_cause(static_cast<std::uint32_t>(answer.cause));
    out->set_detail(answer.detail);
    for (const std::string &row : answer.rows)
        out->add_rows(row);
    out->set_signature(answer.signature);
    out->set_phase(static_cast<std::uint32_t>(answer.phase));
    if (answer.position)
        write(*answer.position, out->mutable_position());
    if (!answer.status)
        return;
    relaywire::Status *status = out->mutable_status();
    status->set_primary(answer.status->primary);
    status->set_term(answer.status->term);
    write(answer.status->received, status->mutable_received());
    status->set_held_term(answer.status->pausedTerm);
}

std::optional<StatementAnswer> read(const relaywire::Answer &in)
{
    if (in.cause() > LastCause || in.phase() > LastPhase)
        return std::nullopt;
    StatementAnswer answer{.cause = static_cast<Cause>(in.cause()),
                           .detail = in.detail(),
                           .rows = {in.rows().begin(), in.rows().end()},
                           .signature = in.signature(),
                           .phase = static_cast<SessionPhase>(in.phase())};
    if (in.has_position())
        answer.position = read(in.position());
    if (in.has_status())
        answer.status = InstanceStatus{.primary = in.status().primary(),
                                       .term = in.status().term(),
                                       .received = read(in.status().received()),
                                       .pausedTerm = in.status().held_term()};
    return answer;
}

void write(const InstanceLoad &load, relaywire::Load *out)
{
    out->set_instance(load.instance);
    out->set_wait_ms(static_cast<std::uint32_t>(load.wait.count()));
    out->set_queued(load.queued);
    out->set_running(load.running);
    out->set_service_ms(static_cast<std::uint32_t>(load.serviceTime.count()));
}

InstanceLoad read(const relaywire::Load &in)
{
    return {.instance = in.instance(),
            .wait = Millis(in.wait_ms()),
            .queued = in.queued(),
            .running = in.running(),
            .serviceTime = Millis(in.service_ms())};
}

} // namespace

std::string encodeRelayBatch(const RelayBatch &batch)
{
    relaywire::Batch out;
    out.set_origin(batch.origin);
    out.set_channel(batch.channel);
    out.set_instance(batch.instance);
    out.set_priority(static_cast<std::uint32_t>(batch.priority));
    out.set_urgent(!batch.needsSlot);
    out.set_tenant(batch.tenant);
    out.set_continues(batch.continues);
    out.set_patience_ms(static_cast<std::uint32_t>(batch.maxWait.count()));
    if (batch.maxAge)
        out.set_max_age_ms(static_cast<std::uint32_t>(batch.maxAge->count()));
    if (batch.primaryAge)
        out.set_primary_age_ms(static_cast<std::uint32_t>(batch.primaryAge->count()));
    for (const RelayedStatement &entry : batch.statements)
        write(entry, out.add_statements());
    return out.SerializeAsString();
}

std::string encodeRelayReply(const RelayReply &reply)
{
    relaywire::Reply out;
    for (const StatementAnswer &answer : reply.answers)
        write(answer, out.add_answers());
    out.set_ended(reply.ended);
    out.set_cause(static_cast<std::uint32_t>(reply.cause));
    out.set_sent(reply.sent);
    out.set_leader(reply.primary);
    for (const InstanceLoad &load : reply.loads) {
        if (load.isPlausible())
            write(load, out.add_loads());
    }
    return out.SerializeAsString();
}

std::string encodeRelayReply(const RelayReply &reply, bool onlyReads, std::size_t maxBytes,
                             Reason *reason)
{
    std::string encoded = encodeRelayReply(reply);
    RelayReply shortened = reply;
    shortened.loads.clear();
    if (encoded.size() > maxBytes && !reply.loads.empty())
        encoded = encodeRelayReply(shortened);
    if (encoded.size() <= maxBytes)
        return encoded;
    setReason(reason, "a reply of " + std::to_string(encoded.size()) + " bytes is too long");
    for (StatementAnswer &answer : shortened.answers) {
        if (answer.succeeded() && !answer.rows.empty()) {
            answer.cause = onlyReads ? Cause::TooLong : Cause::ConnectionLost;
            answer.signature.clear();
        }
        answer.rows.clear();
    }
    return encodeRelayReply(shortened);
}

std::optional<RelayBatch> decodeRelayBatch(std::string_view bytes, Reason *reason)
{
    relaywire::Batch in;
    if (!parseRelayMessage(bytes, "relay message", &in, reason))
        return std::nullopt;
    RelayBatch batch{.origin = in.origin(),
                     .channel = in.channel(),
                     .instance = in.instance(),
                     .continues = in.continues(),
                     .priority = static_cast<int>(in.priority()),
                     .tenant = in.tenant(),
                     .needsSlot = !in.urgent(),
                     .maxWait = Millis(in.patience_ms())};
    if (in.has_max_age_ms())
        batch.maxAge = Millis(in.max_age_ms());
    if (in.has_primary_age_ms())
        batch.primaryAge = Millis(in.primary_age_ms());
    for (const relaywire::Statement &statement : in.statements()) {
        std::optional<RelayedStatement> entry = read(statement);
        if (!entry) {
            setReason(reason, "the kind or purpose of a statement is unknown");
            return std::nullopt;
        }
        if (!isRelayable(*entry)) {
            setReason(reason, "a statement cannot be relayed for its purpose");
            return std::nullopt;
        }
        batch.statements.push_back(std::move(*entry));
    }
    if (!isInOrder(batch.statements)) {
        setReason(reason, "the statements are not in the order of their purposes");
        return std::nullopt;
    }
    return batch;
}

std::optional<RelayReply> decodeRelayReply(std::string_view bytes, Reason *reason)
{
    relaywire::Reply in;
    if (!parseRelayMessage(bytes, "relay message", &in, reason))
        return std::nullopt;
    if (in.cause() > LastCause) {
        setReason(reason, "the cause of the reply is unknown");
        return std::nullopt;
    }
    RelayReply reply{.ended = in.ended(),
                     .cause = static_cast<Cause>(in.cause()),
                     .sent = in.sent(),
                     .primary = in.leader()};
    for (const relaywire::Answer &encoded : in.answers()) {
        std::optional<StatementAnswer> answer = read(encoded);
        if (!answer) {
            setReason(reason, "the cause or phase of an answer is unknown");
            return std::nullopt;
        }
        reply.answers.push_back(std::move(*answer));
    }
    // The answers matter more than a load, so an implausible load does not refuse them.
    for (const relaywire::Load &encoded : in.loads()) {
        InstanceLoad load = read(encoded);
        if (load.isPlausible() && reply.loads.size() < MaxReportedLoads)
            reply.loads.push_back(std::move(load));
    }
    return reply;
}

} // namespace cicadagap
