#include "proxy/load/batch_limit.h"

#include <algorithm>

namespace camphor {

void BatchLimit::OnTurn(Microseconds took) {
  limit_ = took > options_.longest_turn ? std::max(limit_ / 2, 1U)
                                        : std::min(limit_ + 1, options_.most);
}

}  // namespace camphor
