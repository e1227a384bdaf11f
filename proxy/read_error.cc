#include "proxy/read_error.h"

namespace camphor {

bool IsHttpError(beast::error_code error) {
  return error.category() ==
         http::make_error_code(http::error::bad_method).category();
}

bool IsDisconnect(beast::error_code error) {
  if (IsHttpError(error))
    return error == http::error::end_of_stream ||
           error == http::error::partial_message;
  return error && error != asio::error::operation_aborted;
}

}  // namespace camphor
