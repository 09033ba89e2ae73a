// The socket options of all connections to callers and instances.
#pragma once

#include "base/millis.h"

#include <boost/asio/ip/tcp.hpp>

namespace cicadagap {

// Disables Nagle's algorithm and enables keepalive probes and TCP_USER_TIMEOUT. A connection whose
// peer acknowledges nothing for about `silence` fails, also while it is idle. Keepalive intervals
// are whole seconds, at least 1.
void setSocketOptions(boost::asio::ip::tcp::socket *socket, Millis silence);

} // namespace cicadagap
