#include "core/quota/quota_message.h"

#include "core/rollout/rendezvous.h"

namespace camphor {

TeamHash HashTeam(const TeamName& team) {
  return static_cast<TeamHash>(RendezvousWeight("team", team.value()));
}

}  // namespace camphor
