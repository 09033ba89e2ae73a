// The platform's table service and host list. Abstract, so that another platform is one more class.
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

struct TableRow
{
    std::string key;
    std::uint64_t version = 0; // 0: the row does not exist.
    std::string value;
};

// A transaction writes all rows if each checked row is at the given version (0: absent).
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
};

// Ran: applied. NotRun: refused by a check, or never arrived (`arrived` tells). MayHaveRun: no
// answer.
struct TableTransactionResult
{
    Verdict verdict = Verdict::NotRun;
    bool arrived = false;
};

// What the platform's list says: hosts of the system, and targets that are leaving.
struct PlatformHosts
{
    std::vector<HostInfo> hosts;
    std::vector<std::string> leavingTargets;
};

// Thread-safe. Callbacks run on the event loop. Every call ends within `timeout`.
class TableStore
{
public:
    TableStore() = default;
    TableStore(const TableStore &) = delete;
    TableStore &operator=(const TableStore &) = delete;
    virtual ~TableStore() = default;

    virtual void row(const std::string &key, Millis timeout,
                     std::function<void(const std::optional<TableRow> &)> done)
        = 0;
    // Up to `limit` rows with that prefix and a key above `after`.
    virtual void scan(const std::string &prefix, const std::string &after, int limit,
                      Millis timeout,
                      std::function<void(const std::optional<std::vector<TableRow>> &)> done)
        = 0;
    virtual void transact(const TableTransaction &transaction, Millis timeout,
                          std::function<void(TableTransactionResult)> done)
        = 0;
    virtual void hosts(Millis timeout,
                       std::function<void(const std::optional<PlatformHosts> &)> done)
        = 0;
};

class HttpTableStore
{
public:
    static std::shared_ptr<TableStore> create(EventLoop *loop, const Endpoint &platform);
};

} // namespace cicadagap
