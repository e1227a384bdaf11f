#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_RANDOM_SOURCE_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace camphor {

/// Random numbers that are the same with every library, so that a measurement
/// repeats to the byte. Not thread safe.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, 1).
  double Uniform();

  /// Uniform in [low, high).
  double Between(double low, double high);

  /// Whole number in [0, count). @pre count > 0.
  std::size_t Index(std::size_t count);

  /// Normal with mean 0 and deviation 1.
  double Normal();

  /// Number of events of the given mean.
  std::uint64_t Poisson(double mean);

  /// Number of successes in `trials` of the given probability.
  std::uint64_t Binomial(std::uint64_t trials, double probability);

 private:
  std::mt19937_64 engine_;
  bool has_spare_ = false;
  double spare_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_RANDOM_SOURCE_H_
