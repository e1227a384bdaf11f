#ifndef CAMPHORHILL_HARNESS_FUZZ_RANDOM_CHOICE_H_
#define CAMPHORHILL_HARNESS_FUZZ_RANDOM_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace camphor {

/// Random choices that depend on the seed only and not on the standard
/// library's distributions, so that a run can be repeated. Not thread-safe.
class RandomChoice {
 public:
  /// `stream` selects one of many independent sequences of a seed.
  RandomChoice(std::uint64_t seed, std::uint64_t stream) {
    constexpr unsigned kHalf = 32;
    std::seed_seq words{seed, seed >> kHalf, stream, stream >> kHalf};
    engine_.seed(words);
  }

  /// Uniform in [0, count). @pre count > 0.
  std::size_t Index(std::size_t count) {
    return static_cast<std::size_t>(engine_() % count);
  }

  /// Uniform in [low, high]. @pre low <= high.
  std::size_t Between(std::size_t low, std::size_t high) {
    return low + Index(high - low + 1);
  }

  /// True in `percent` of 100 cases.
  bool Chance(unsigned percent) { return Index(100) < percent; }

  /// One of the items. @pre items is not empty.
  template <typename Items>
  const auto& OneOf(const Items& items) {
    return *(std::begin(items) +
             static_cast<std::ptrdiff_t>(Index(std::size(items))));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_FUZZ_RANDOM_CHOICE_H_
