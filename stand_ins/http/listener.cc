#include "stand_ins/http/listener.h"

namespace camphor {

Endpoint OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                      const Endpoint& listen, std::string& reason) {
  using boost::asio::ip::tcp;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(listen.address, error);
  const tcp::endpoint endpoint(address, listen.port);
  if (!error) acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true));
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(tcp::acceptor::max_listen_connections, error);
  if (error) {
    reason = "cannot listen on " + listen.ToString() + ": " + error.message();
    return {};
  }
  return {.address = listen.address, .port = acceptor.local_endpoint().port()};
}

}  // namespace camphor
