// A client of the platform's table service and of its host list. TableStore is an interface, so
// that another platform needs only one more implementation; HttpTableStore is the one for HTTP.
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"
#include "base/verdict.h"
#include "process/eventloop.h"
#include "process/membership.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// A row of the table service.
struct TableRow
{
    std::string key;
    std::uint64_t version = 0; // 0 if the row doesn't exist.
    std::string value;
    // The table's epochs; see session/storeposition.h. 0 if the platform counts none.
    std::uint64_t epoch = 0;      // In which the row was written.
    std::uint64_t tableEpoch = 0; // In which it was read.
};

// A conditional write: all writes are applied if every checked row has the given version, and none
// otherwise. Version 0 requires that the row doesn't exist.
struct TableTransaction
{
    struct Check
    {
        std::string key;
        std::uint64_t version = 0;
    };
    struct Write
    {
        std::string key;
        std::string value;
    };

    std::vector<Check> checks;
    std::vector<Write> writes;
    // The epoch in which the versions were read; the platform refuses the transaction in another
    // one. 0 if it is not known.
    std::uint64_t epoch = 0;
};

// The result of a TableTransaction.
struct TableTransactionResult
{
    // Ran if the writes were applied, NotRun if they were not, MayHaveRun if there was no response.
    Verdict verdict = Verdict::NotRun;
    // With Ran true, with MayHaveRun false. With NotRun: true if a check failed, false if the
    // transaction didn't reach the platform or was rejected for another reason.
    bool arrived = false;
};

// The platform's list of the system's hosts, and of the targets that are leaving (that will stop).
struct PlatformHosts
{
    std::vector<HostInfo> hosts;
    std::vector<std::string> leavingTargets;
};

// Every call ends within its `timeout`; the callback runs once, on the event loop, and receives
// nothing if the call failed. Thread-safe.
class TableStore
{
public:
    TableStore() = default;
    TableStore(const TableStore &) = delete;
    TableStore &operator=(const TableStore &) = delete;
    virtual ~TableStore() = default;

    // Reads a row. A row that doesn't exist has version 0.
    virtual void row(const std::string &key, Millis timeout,
                     std::function<void(const std::optional<TableRow> &)> done)
        = 0;
    // Reads up to `limit` rows whose keys have this prefix and are greater than `after`.
    virtual void scan(const std::string &prefix, const std::string &after, int limit,
                      Millis timeout,
                      std::function<void(const std::optional<std::vector<TableRow>> &)> done)
        = 0;
    // Executes a transaction.
    virtual void transact(const TableTransaction &transaction, Millis timeout,
                          std::function<void(TableTransactionResult)> done)
        = 0;
    // Reads the host list.
    virtual void hosts(Millis timeout,
                       std::function<void(const std::optional<PlatformHosts> &)> done)
        = 0;
};

// The implementation for platforms that speak JSON over HTTP.
class HttpTableStore
{
public:
    // `loop` must outlive the store.
    static std::shared_ptr<TableStore> create(EventLoop *loop, const Endpoint &platform);
};

} // namespace cicadagap
