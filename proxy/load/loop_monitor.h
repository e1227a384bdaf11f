#ifndef CAMPHORHILL_PROXY_LOAD_LOOP_MONITOR_H_
#define CAMPHORHILL_PROXY_LOAD_LOOP_MONITOR_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "core/base/time.h"
#include "proxy/asio_types.h"
#include "proxy/load/loop_load.h"

namespace camphor {

/// Measures how far the thread of a proxy is behind: its timers, and the
/// connections that it has not accepted yet.
///
/// Must be used from the proxy thread, except where noted.
class LoopMonitor {
 public:
  struct Options {
    Milliseconds interval{250};  ///< time between two measurements
    std::function<void(const LoopLoad&)>
        on_load{};  ///< called with each measurement; null when disabled
  };

  /// The listeners must outlive this object.
  LoopMonitor(tcp::acceptor& callers, tcp::acceptor& hosts, Options options);

  /// Measures until the acceptors' context ends or Stop() is called.
  asio::awaitable<void> Run();
  void Stop();

  /// Records a connection that was just accepted on one of the listeners, and
  /// whether its peer had closed it already.
  void OnAccepted(const tcp::acceptor& listener, tcp::socket& socket,
                  bool abandoned);

  /// Returns the time of the last measurement, or of the construction.
  /// Thread-safe.
  MonoTime measured_at() const { return MonoTime(measured_at_.load()); }

  /// Returns the metrics in the Prometheus text format. Thread-safe.
  std::string Text() const;

 private:
  void Measure(Microseconds lag);

  tcp::acceptor& callers_;
  tcp::acceptor& hosts_;
  Options options_;
  asio::steady_timer timer_;
  bool stopped_ = false;
  LoopLoad current_;  ///< of the running interval

  std::atomic<MonoTime::duration> measured_at_;
  mutable std::mutex mutex_;
  LoopLoad last_;             ///< guarded by mutex_
  Microseconds peak_lag_{0};  ///< since the start; guarded by mutex_
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOAD_LOOP_MONITOR_H_
