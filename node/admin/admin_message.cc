#include "node/admin/admin_message.h"

#include <boost/json.hpp>

namespace camphor {

AdminResponse AdminError(unsigned status, std::string_view kind,
                         std::string_view message,
                         const std::vector<FieldError>& fields) {
  boost::json::array field_list;
  for (const FieldError& error_field : fields) {
    field_list.push_back(boost::json::object{{"field", error_field.field},
                                             {"message", error_field.message}});
  }
  boost::json::object error{{"kind", boost::json::string(kind)},
                            {"message", boost::json::string(message)}};
  if (!field_list.empty()) error["fields"] = std::move(field_list);
  return {.status = status,
          .body = boost::json::serialize(
              boost::json::object{{"error", std::move(error)}})};
}

}  // namespace camphor
