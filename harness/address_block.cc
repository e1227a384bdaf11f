#include "harness/address_block.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

namespace camphor {
namespace {

// 127.0.0.0/8 in blocks of 1024 addresses; block 0 is not reserved, as other
// programs use it.
constexpr unsigned kBlocks = 16 * 1024 - 1;
constexpr unsigned kBlockBits = 10;
constexpr unsigned kLoopback = 127U << 24U;
constexpr unsigned kLockAddressNumber = 1023;
constexpr std::uint16_t kLockPort = 17999;

unsigned RawAddress(unsigned block, unsigned number) {
  return kLoopback | (block << kBlockBits) | number;
}

// Reserves the block by binding a socket in it. Returns the socket, or -1 if
// the block is already reserved.
int LockBlock(unsigned block) {
  const int lock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kLockPort);
  address.sin_addr.s_addr = htonl(RawAddress(block, kLockAddressNumber));
  if (bind(lock, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0 &&
      listen(lock, 1) == 0) {
    return lock;
  }
  close(lock);
  return -1;
}

}  // namespace

std::optional<AddressBlock> AddressBlock::Reserve() {
  // Starts at a block derived from the process id, so that concurrent processes
  // rarely try the same blocks.
  const unsigned first = static_cast<unsigned>(getpid()) % kBlocks;
  for (unsigned tried = 0; tried < kBlocks; ++tried) {
    const unsigned block = 1 + (first + tried) % kBlocks;
    const int lock = LockBlock(block);
    if (lock >= 0) return AddressBlock(block, lock);
  }
  return std::nullopt;
}

AddressBlock::AddressBlock(unsigned block, int lock_socket)
    : block_(block), lock_socket_(lock_socket) {}

AddressBlock::AddressBlock(AddressBlock&& other) noexcept
    : block_(other.block_),
      lock_socket_(std::exchange(other.lock_socket_, -1)) {}

AddressBlock::~AddressBlock() {
  if (lock_socket_ >= 0) close(lock_socket_);
}

std::string AddressBlock::Address(unsigned number) const {
  const unsigned raw = RawAddress(block_, number);
  return fmt::format("127.{}.{}.{}", (raw >> 16U) & 255U, (raw >> 8U) & 255U,
                     raw & 255U);
}

}  // namespace camphor
