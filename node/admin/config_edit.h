#ifndef CAMPHORHILL_NODE_ADMIN_CONFIG_EDIT_H_
#define CAMPHORHILL_NODE_ADMIN_CONFIG_EDIT_H_

#include <compare>
#include <string>

#include "core/config/config_snapshot.h"

namespace camphor {

/// An edit of the tables that an operator sent. Immutable value type.
struct ConfigEdit {
  ConfigSnapshot tables{};     ///< validated; its head has no version yet
  ConfigVersion expected = 0;  ///< version that the operator edited
  std::string operation_id{};  ///< the same edit sent again has the same one

  auto operator<=>(const ConfigEdit&) const = default;
};

/// How an edit ended. Immutable value type.
struct EditOutcome {
  enum class Kind {
    kAccepted,     ///< `head` is the version that it gave
    kConflict,     ///< another edit came first; `head` is the newest version
    kUnavailable,  ///< the platform is out: nothing was written
    kUnknown,      ///< may have been accepted; ask again with the operation id
  };

  Kind kind = Kind::kUnknown;  ///< how it ended
  ConfigHead head{};           ///< see kind
  std::string reason{};        ///< one sentence unless accepted

  auto operator<=>(const EditOutcome&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_CONFIG_EDIT_H_
