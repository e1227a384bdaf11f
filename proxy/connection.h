#ifndef CAMPHORHILL_PROXY_CONNECTION_H_
#define CAMPHORHILL_PROXY_CONNECTION_H_

#include <string>

#include "core/base/time.h"
#include "proxy/asio_types.h"

namespace camphor {

/// One connection to a target or to another host's proxy. It carries one
/// request at a time. One thread.
struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : socket(executor) {}

  /// True when the other end has neither closed it nor sent anything unasked.
  bool IsQuiet();

  /// Closes it; pending steps end with an error.
  void Close();

  tcp::socket socket;
  beast::flat_buffer buffer;  ///< bytes received beyond the last answer
  std::string proof;          ///< of the mesh key; goes with the first request
  MonoTime usable_until = MonoTime::max();  ///< the other end may close it then
  MonoTime idle_since{};                    ///< when its last request ended
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_CONNECTION_H_
