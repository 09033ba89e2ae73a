// Socket options that every connection of the session server sets.
#pragma once

#include "base/millis.h"

#include <boost/asio/ip/tcp.hpp>

namespace cicadagap {

// Sends without delay, and fails a connection whose other side acknowledges nothing for `silence`,
// also while it is idle.
void setSocketOptions(boost::asio::ip::tcp::socket *socket, Millis silence);

} // namespace cicadagap
