#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_RANDOM_SOURCE_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace camphor {

/// Random numbers that do not depend on the standard library's distributions,
/// so that a measurement is reproducible byte for byte. Not thread-safe.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, 1).
  double Uniform();

  /// Uniform in [low, high).
  double Between(double low, double high);

  /// Uniform integer in [0, count). @pre count > 0.
  std::size_t Index(std::size_t count);

  /// Standard normal.
  double Normal();

  /// Poisson-distributed count with the given mean.
  std::uint64_t Poisson(double mean);

  /// Number of successes in `trials` trials of the given probability.
  std::uint64_t Binomial(std::uint64_t trials, double probability);

 private:
  std::mt19937_64 engine_;
  bool has_spare_ = false;
  double spare_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_RANDOM_SOURCE_H_
