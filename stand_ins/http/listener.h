#ifndef CAMPHORHILL_STAND_INS_HTTP_LISTENER_H_
#define CAMPHORHILL_STAND_INS_HTTP_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "core/base/endpoint.h"

namespace camphor {

/// Opens the acceptor at `listen`, whose port may be 0 for any. Returns the
/// endpoint in use; one with port 0, and `reason` set, when it can not be had.
/// Thread safety: the acceptor's thread.
Endpoint OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                      const Endpoint& listen, std::string& reason);

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_HTTP_LISTENER_H_
