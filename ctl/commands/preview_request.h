#ifndef CAMPHORHILL_CTL_COMMANDS_PREVIEW_REQUEST_H_
#define CAMPHORHILL_CTL_COMMANDS_PREVIEW_REQUEST_H_

#include <boost/json/fwd.hpp>
#include <istream>
#include <optional>
#include <string>

#include "ctl/ctl_options.h"

namespace camphor {

/// Builds the body of POST /v1/preview from --method, --host, --path and
/// --header. Returns std::nullopt and sets `reason`, which names the option and
/// holds no header value, if they are invalid. Thread-safe.
std::optional<boost::json::object> MakePreviewBody(const CtlOptions& options,
                                                   std::string& reason);

/// Builds the body from the head of an HTTP/1.1 request, up to its empty line
/// or the end of the input. Lines end with LF or CR LF. Returns std::nullopt
/// and sets `reason`, which names the line and holds no text of it, if it is
/// invalid. Must not be called from two threads with the same input.
std::optional<boost::json::object> ReadRequestHead(std::istream& input,
                                                   std::string& reason);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_PREVIEW_REQUEST_H_
