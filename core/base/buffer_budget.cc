#include "core/base/buffer_budget.h"

#include "core/base/buffer_account.h"

namespace camphor {

BufferBudget::BufferBudget(Options options) : options_(options) {}

bool BufferBudget::YieldConnection(std::uint32_t group, MonoTime now) {
  BufferAccount* const account = FindYielding(nullptr, now, &group);
  if (account == nullptr) return false;
  account->YieldNow(BufferAccount::Yield::kPlace);
  return true;
}

bool BufferBudget::Take(const BufferAccount& account, std::uint64_t bytes,
                        MonoTime now) {
  if (bytes > options_.bytes) return false;
  while (used_ + bytes > options_.bytes) {
    BufferAccount* const yielding = FindYielding(&account, now, nullptr);
    if (yielding == nullptr) return false;
    yielding->YieldNow(BufferAccount::Yield::kBuffers);
  }
  used_ += bytes;
  return true;
}

BufferAccount* BufferBudget::FindYielding(const BufferAccount* except,
                                          MonoTime now,
                                          const std::uint32_t* group) const {
  BufferAccount* first = nullptr;
  double highest = 0;
  for (BufferAccount* const account : accounts_) {
    if (account == except || account->yielded_ || account->held_ == 0 ||
        now - account->since_ < options_.min_hold ||
        (group != nullptr && account->options_.group != *group) ||
        (except != nullptr &&
         except->spared_group_ == account->options_.group)) {
      continue;
    }
    const double rank = account->Rank(now);
    if (rank <= highest || !account->options_.may_yield()) continue;
    highest = rank;
    first = account;
  }
  return first;
}

}  // namespace camphor
