// Tests of the client of the platform's table with odd answers of the platform.
#include "connection/tablestore.h"

#include "connection/http.h"
#include "mutatedtext.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

constexpr Millis CallTime(2000);

// The client, and a platform that gives one answer to all calls.
class ScriptedTable : public testing::Test
{
protected:
    ScriptedTable()
        : m_loop({.threads = 1})
    {
        Reason reason;
        m_server = HttpServer::listen(
            &m_loop, {.address = "127.0.0.1", .port = 0},
            [this](const HttpRequest &, const Respond &respond) { respond({.body = answer}); },
            &reason);
        EXPECT_TRUE(m_server) << reason.text();
        table = HttpTableStore::create(&m_loop, m_server->endpoint());
    }

    std::optional<TableRow> row()
    {
        std::optional<std::optional<TableRow>> result;
        table->row("key", CallTime,
                   [&result](const std::optional<TableRow> &row) { result = row; });
        while (!result)
            m_loop.context()->run_one();
        return *result;
    }

    std::optional<std::vector<TableRow>> scan()
    {
        std::optional<std::optional<std::vector<TableRow>>> result;
        table->scan("", "", 10, CallTime,
                    [&result](const std::optional<std::vector<TableRow>> &rows) { result = rows; });
        while (!result)
            m_loop.context()->run_one();
        return *result;
    }

    std::optional<PlatformHosts> hosts()
    {
        std::optional<std::optional<PlatformHosts>> result;
        table->hosts(CallTime,
                     [&result](const std::optional<PlatformHosts> &hosts) { result = hosts; });
        while (!result)
            m_loop.context()->run_one();
        return *result;
    }

private:
    EventLoop m_loop;
    std::unique_ptr<HttpServer> m_server;

protected:
    std::shared_ptr<TableStore> table;
    std::string answer;
};

// Guards against this failure: a name with a NUL passed for the shorter name of another target.
TEST_F(ScriptedTable, KeepsNamesWhole)
{
    answer = R"({"hosts":[],"leavingTargets":["i1\u0000x"]})";
    const auto reading = hosts();
    ASSERT_TRUE(reading);
    EXPECT_EQ(reading->leavingTargets, (std::vector<std::string>{std::string("i1\0x", 4)}));
}

// Guards against this failure: a row with a negative version was newer than all others.
TEST_F(ScriptedTable, CountsNoNegativeNumberAsAGreatOne)
{
    answer = R"({"key":"a","value":"b","version":-1,"epoch":-1,"tableEpoch":-1})";
    const auto reading = row();
    ASSERT_TRUE(reading);
    EXPECT_EQ(reading->version, 0U);
    EXPECT_EQ(reading->epoch, 0U);
    EXPECT_EQ(reading->tableEpoch, 0U);
}

TEST_F(ScriptedTable, DoesNotCrashOnMutatedAnswers)
{
    EXPECT_TRUE(rc::check([this] {
        answer = mutated(R"({"key":"a","value":"b","version":1,"epoch":1,"tableEpoch":1})");
        row();
        answer = mutated(R"({"rows":[{"key":"a","value":"b","version":1}],"tableEpoch":1})");
        scan();
        answer = mutated(R"({"hosts":[{"name":"h"}],"leavingTargets":["i1"]})");
        hosts();
    }));
}

} // namespace
} // namespace cicadagap
