// A TCP relay between the hosts and an instance. It notes which statements reach the instance.
#pragma once

#include "base/endpoint.h"
#include "process/eventloop.h"

#include <functional>
#include <memory>
#include <string>

namespace review {

class Tap
{
public:
    // `onStatement` gets the id of each statement that is passed on.
    Tap(cicadagap::EventLoop *loop, cicadagap::Endpoint server,
        std::function<void(const std::string &)> onStatement);
    ~Tap();
    Tap(const Tap &) = delete;
    Tap &operator=(const Tap &) = delete;

    // Listens on the server's address, at any free port.
    cicadagap::Endpoint start();

private:
    struct Impl;
    class Link;

    void accept();

    std::unique_ptr<Impl> m_impl;
};

} // namespace review
