// Free ports of one address, for processes that a test starts.
#pragma once

#include "base/endpoint.h"
#include "process/eventloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace cicadagap {

// Reserves ports for processes that do not listen yet, so that no other socket gets them.
class PortReservation
{
public:
    PortReservation(EventLoop *loop, const std::string &address)
        : m_loop(loop)
        , m_address(boost::asio::ip::make_address(address))
    {
    }

    Endpoint take()
    {
        m_held.emplace_back(*m_loop->context(), tcp::endpoint(m_address, 0));
        return {.address = m_address.to_string(), .port = m_held.back().local_endpoint().port()};
    }

private:
    using tcp = boost::asio::ip::tcp;

    EventLoop *m_loop;
    boost::asio::ip::address m_address;
    std::vector<tcp::acceptor> m_held;
};

} // namespace cicadagap
