#include "socketoptions.h"

#include <netinet/tcp.h>

#include <algorithm>

namespace cicadagap {

namespace {

template <int Name>
using TcpInteger = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int KeepAliveProbes = 2;

} // namespace

void setSocketOptions(boost::asio::ip::tcp::socket *socket, Millis silence)
{
    boost::system::error_code ignored;
    const int seconds = std::max(1, static_cast<int>(silence.count() / 1000));
    socket->set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket->set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket->set_option(TcpInteger<TCP_KEEPIDLE>(seconds), ignored);
    socket->set_option(TcpInteger<TCP_KEEPINTVL>(seconds), ignored);
    socket->set_option(TcpInteger<TCP_KEEPCNT>(KeepAliveProbes), ignored);
    socket->set_option(TcpInteger<TCP_USER_TIMEOUT>(static_cast<int>(silence.count())), ignored);
}

} // namespace cicadagap
