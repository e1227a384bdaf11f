#ifndef CAMPHORHILL_PROXY_READ_ERROR_H_
#define CAMPHORHILL_PROXY_READ_ERROR_H_

#include "proxy/asio_types.h"

namespace camphor {

/// Returns true if the error comes from the HTTP parser. Thread-safe.
bool IsHttpError(beast::error_code error);

/// Returns true if the error of a read shows that the sender closed or reset
/// the connection. A read that this process cancelled is no disconnect.
/// Thread-safe.
bool IsDisconnect(beast::error_code error);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_READ_ERROR_H_
