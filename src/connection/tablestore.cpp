#include "connection/tablestore.h"

#include "connection/http.h"
#include "connection/wire.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace cicadagap {

namespace json = boost::json;

namespace {

TableRow decodeRow(const json::object &object)
{
    TableRow row;
    row.key = textMember(object, "key");
    row.version = unsignedMember(object, "version");
    row.value = textMember(object, "value");
    row.epoch = unsignedMember(object, "epoch");
    row.tableEpoch = unsignedMember(object, "tableEpoch");
    return row;
}

const json::array *findArray(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    return member ? member->if_array() : nullptr;
}

class HttpTableStoreImpl : public TableStore
{
public:
    HttpTableStoreImpl(EventLoop *loop, Endpoint platform)
        : m_loop(loop)
        , m_platform(std::move(platform))
    {
    }

    void row(const std::string &key, Millis timeout,
             std::function<void(const std::optional<TableRow> &)> done) override
    {
        fetch("/table/row?key=" + percentEncode(key), timeout,
              [done = std::move(done)](const std::optional<json::object> &object) {
                  done(object ? std::optional(decodeRow(*object)) : std::nullopt);
              });
    }

    void scan(const std::string &prefix, const std::string &after, int limit, Millis timeout,
              std::function<void(const std::optional<std::vector<TableRow>> &)> done) override
    {
        const std::string target = "/table/scan?prefix=" + percentEncode(prefix)
            + "&after=" + percentEncode(after) + "&limit=" + std::to_string(limit);
        fetch(target, timeout, [done = std::move(done)](const std::optional<json::object> &object) {
            const json::array *rows = object ? findArray(*object, "rows") : nullptr;
            if (!rows) {
                done(std::nullopt);
                return;
            }
            std::vector<TableRow> result;
            for (const json::value &value : *rows) {
                if (!value.is_object())
                    continue;
                result.push_back(decodeRow(value.get_object()));
                result.back().tableEpoch = unsignedMember(*object, "tableEpoch");
            }
            done(std::move(result));
        });
    }

    void transact(const TableTransaction &transaction, Millis timeout,
                  std::function<void(TableTransactionResult)> done) override
    {
        json::array checks;
        for (const auto &check : transaction.checks)
            checks.push_back(json::object{{"key", check.key}, {"version", check.version}});
        json::array writes;
        for (const auto &write : transaction.writes)
            writes.push_back(json::object{{"key", write.key}, {"value", write.value}});
        json::object body{{"checks", std::move(checks)}, {"writes", std::move(writes)}};
        if (transaction.epoch > 0)
            body["epoch"] = transaction.epoch;
        callOnce(m_loop, m_platform,
                 {.method = "POST", .target = "/table/transact", .body = json::serialize(body)},
                 timeout,
                 [done = std::move(done)](const std::optional<HttpResponse> &response,
                                          const CallFailure &failure) {
                     if (!response)
                         done({failure.sent ? Verdict::MayHaveRun : Verdict::NotRun, false});
                     else if (response->status == 200)
                         done({Verdict::Ran, true});
                     else
                         done({Verdict::NotRun, response->status == 409});
                 });
    }

    void hosts(Millis timeout,
               std::function<void(const std::optional<PlatformHosts> &)> done) override
    {
        fetch("/hosts", timeout,
              [done = std::move(done)](const std::optional<json::object> &object) {
                  if (!object) {
                      done(std::nullopt);
                      return;
                  }
                  PlatformHosts result;
                  if (const json::array *hosts = findArray(*object, "hosts")) {
                      for (const json::value &value : *hosts) {
                          if (auto host = decodeHost(json::serialize(value), nullptr))
                              result.hosts.push_back(std::move(*host));
                      }
                  }
                  if (const json::array *targets = findArray(*object, "leavingTargets")) {
                      for (const json::value &value : *targets) {
                          if (const json::string *name = value.if_string())
                              result.leavingTargets.emplace_back(name->data(), name->size());
                      }
                  }
                  done(std::move(result));
              });
    }

private:
    void fetch(const std::string &target, Millis timeout,
               std::function<void(const std::optional<json::object> &)> done)
    {
        callOnce(m_loop, m_platform, {.target = target}, timeout,
                 [done = std::move(done)](const std::optional<HttpResponse> &response,
                                          const CallFailure &) {
                     const bool ok = response && response->status == 200;
                     done(ok ? parseObject(response->body, nullptr) : std::nullopt);
                 });
    }

    EventLoop *m_loop;
    Endpoint m_platform;
};

} // namespace

std::shared_ptr<TableStore> HttpTableStore::create(EventLoop *loop, const Endpoint &platform)
{
    return std::make_shared<HttpTableStoreImpl>(loop, platform);
}

} // namespace cicadagap
