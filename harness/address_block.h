#ifndef CAMPHORHILL_HARNESS_ADDRESS_BLOCK_H_
#define CAMPHORHILL_HARNESS_ADDRESS_BLOCK_H_

#include <optional>
#include <string>

namespace camphor {

/// A block of loopback addresses reserved for one fleet, so that concurrent
/// fleets do not collide and a restarted process finds its ports free.
class AddressBlock {
 public:
  /// Reserves a free block. Returns nullopt if there is none. Thread-safe.
  static std::optional<AddressBlock> Reserve();

  AddressBlock(AddressBlock&& other) noexcept;
  AddressBlock& operator=(AddressBlock&&) = delete;
  ~AddressBlock();

  /// Returns the address with this number. @pre 1 <= number <= kSize.
  /// Thread-safe.
  std::string Address(unsigned number) const;

  static constexpr unsigned kSize = 1000;  ///< addresses in a block

 private:
  AddressBlock(unsigned block, int lock_socket);

  unsigned block_;
  int lock_socket_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_ADDRESS_BLOCK_H_
