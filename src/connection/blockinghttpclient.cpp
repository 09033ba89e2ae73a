#include "connection/blockinghttpclient.h"

#include <future>

namespace cicadagap {

BlockingHttpClient::BlockingHttpClient()
    : m_loop({.threads = 1})
    , m_thread([this] { m_loop.run(); })
{
}

BlockingHttpClient::~BlockingHttpClient()
{
    m_loop.stop();
    m_thread.join();
}

std::optional<HttpResponse> BlockingHttpClient::call(const Endpoint &endpoint,
                                                     const HttpRequest &request, Reason *reason,
                                                     Millis timeout)
{
    auto promise = std::make_shared<std::promise<std::optional<HttpResponse>>>();
    callOnce(&m_loop, endpoint, request, timeout,
             [promise, reason](std::optional<HttpResponse> response, const CallFailure &failure) {
                 if (!response)
                     setReason(reason, failure.text);
                 promise->set_value(std::move(response));
             });
    return promise->get_future().get();
}

std::vector<std::optional<HttpResponse>>
BlockingHttpClient::callAll(const std::vector<Endpoint> &endpoints, const HttpRequest &request,
                            Millis timeout)
{
    std::vector<std::future<std::optional<HttpResponse>>> futures;
    for (const Endpoint &endpoint : endpoints) {
        auto promise = std::make_shared<std::promise<std::optional<HttpResponse>>>();
        futures.push_back(promise->get_future());
        callOnce(&m_loop, endpoint, request, timeout,
                 [promise](std::optional<HttpResponse> response, const CallFailure &) {
                     promise->set_value(std::move(response));
                 });
    }
    std::vector<std::optional<HttpResponse>> results;
    results.reserve(futures.size());
    for (auto &future : futures)
        results.push_back(future.get());
    return results;
}

} // namespace cicadagap
