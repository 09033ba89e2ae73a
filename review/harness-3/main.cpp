// Runs the project's stand-ins for the platform and the database instances until SIGTERM, for the scripts
// of this review. Writes the boot file of one session server, and the addresses, into a folder.
//
//     standin FOLDER
#include "process/eventloop.h"
#include "standindeployment.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fstream>
#include <iostream>

using namespace cicadagap;

namespace {

// A port of the loopback address that was free a moment ago.
std::uint16_t freePort()
{
    boost::asio::io_context context;
    const auto address = boost::asio::ip::make_address("127.0.0.1");
    const boost::asio::ip::tcp::acceptor acceptor(context, {address, 0});
    return acceptor.local_endpoint().port();
}

int run(const std::string &folder)
{
    EventLoop loop({.threads = 1});
    StandinDeployment deployment(&loop, {.groups = 1, .dataCentres = 1}, nullptr);
    Reason reason;
    if (!deployment.start(&reason)) {
        std::cerr << reason.text() << '\n';
        return 1;
    }
    const Endpoint callers{.address = "127.0.0.1", .port = freePort()};
    const Endpoint readiness{.address = "127.0.0.1", .port = freePort()};
    std::ofstream(folder + "/boot.conf")
        << deployment.bootFileText({.name = "frontend-1",
                                    .callerEndpoint = callers,
                                    .readinessEndpoint = readiness,
                                    .peerPort = freePort(),
                                    .storeEndpoint = deployment.store()});
    std::ofstream(folder + "/addresses") << callers.port << ' ' << readiness.port << ' '
                                         << deployment.databases().front().name << '\n';
    loop.onStopSignal([&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: standin FOLDER\n";
        return 2;
    }
    const int code = run(argv[1]);
    std::_Exit(code);
}
