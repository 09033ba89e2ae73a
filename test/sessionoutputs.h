// Outputs of a SessionEngine for tests.
#pragma once

#include "session/sessionengine.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {

// Ignores all actions except the end of a session.
class NullOutput : public SessionOutput
{
public:
    void openTarget(ConnectionId, const RegisteredInstance &, const std::string &) override { }
    void sendToTarget(ConnectionId, const std::vector<Statement> &) override { }
    void closeTarget(ConnectionId) override { }
    void relayToGateway(ConnectionId, const std::string &, RelayBatch) override { }
    void dropAtGateway(ConnectionId, const std::string &) override { }
    void acquireLease(const std::string &) override { }
    void requestPromotion(const std::string &, const std::string &, std::uint64_t) override { }
    void recordCandidate(const std::string &, const std::string &, std::uint64_t) override { }
    void recordResumes(const std::string &, const std::set<std::string> &, std::uint64_t) override
    {
    }
    void logGroupEvent(const std::string &, std::string_view, const std::string &, std::uint64_t,
                       const std::string &) override
    {
    }
    void answerCaller(SessionId, const StatementAnswer &) override { }
    void closeCaller(SessionId, Cause cause) override { closed = cause; }
    void logRequest(const RequestEvent &) override { }
    void logNewName(const NewPreparedName &) override { }
    void logRelayedStatement(const RelayedStatementEvent &) override { }

    Cause closed = Cause::None;
};

// Keeps what is sent to instances, gateways and callers.
class SendingOutput : public NullOutput
{
public:
    void openTarget(ConnectionId connection, const RegisteredInstance &instance,
                    const std::string &) override
    {
        opened.push_back(connection);
        connections[instance.id] = connection;
    }
    void sendToTarget(ConnectionId, const std::vector<Statement> &statements) override
    {
        sent.insert(sent.end(), statements.begin(), statements.end());
    }

    void relayToGateway(ConnectionId, const std::string &, RelayBatch batch) override
    {
        relayed.push_back(std::move(batch));
    }
    void answerCaller(SessionId, const StatementAnswer &answer) override
    {
        answers.push_back(answer);
    }

    // Whether a statement with this id was sent to an instance.
    bool hasSent(const std::string &id) const
    {
        return std::any_of(sent.begin(), sent.end(),
                           [&id](const Statement &statement) { return statement.id == id; });
    }

    std::vector<ConnectionId> opened;
    std::map<std::string, ConnectionId>
        connections; // The last one that was opened to each instance.
    std::vector<Statement> sent;
    std::vector<RelayBatch> relayed;
    std::vector<StatementAnswer> answers;
};

} // namespace cicadagap
