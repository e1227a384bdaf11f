#ifndef CAMPHORHILL_PROXY_ASIO_TYPES_H_
#define CAMPHORHILL_PROXY_ASIO_TYPES_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "core/base/endpoint.h"

namespace camphor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

using RequestParser = http::request_parser<http::buffer_body>;
using ResponseParser = http::response_parser<http::buffer_body>;

/// Completion token: the awaited result is a tuple whose first element is the
/// error code.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// Converts a configured endpoint to the asio type. Returns std::nullopt when
/// the address is not a numeric IP address. Thread-safe.
inline std::optional<tcp::endpoint> ToTcpEndpoint(const Endpoint& endpoint) {
  beast::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(endpoint.address, error);
  if (error) return std::nullopt;
  return tcp::endpoint(address, endpoint.port);
}

/// Converts an asio endpoint to the configuration type. Thread-safe.
inline Endpoint FromTcpEndpoint(const tcp::endpoint& endpoint) {
  return {.address = endpoint.address().to_string(), .port = endpoint.port()};
}

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_ASIO_TYPES_H_
