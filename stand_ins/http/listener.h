#ifndef CAMPHORHILL_STAND_INS_HTTP_LISTENER_H_
#define CAMPHORHILL_STAND_INS_HTTP_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "core/base/endpoint.h"

namespace camphor {

/// Opens the acceptor at `listen`, whose port may be 0 for any free port.
/// Returns the bound endpoint. On failure, sets `reason` and returns an
/// endpoint with port 0. Must be called on the acceptor's thread.
Endpoint OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                      const Endpoint& listen, std::string& reason);

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_HTTP_LISTENER_H_
