#include "proxy/load/loop_monitor.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string_view>
#include <utility>

#include "proxy/load/cpu_time.h"
#include "proxy/load/socket_state.h"

namespace camphor {
namespace {

constexpr double kMicrosPerSecond = 1e6;

double ToSeconds(Microseconds time) {
  return static_cast<double>(time.count()) / kMicrosPerSecond;
}

/// Appends one metric with a value for each listener.
template <typename Get>
void AppendByListener(std::string& text, std::string_view name,
                      std::string_view type, const LoopLoad& load,
                      const Get& get) {
  const auto out = std::back_inserter(text);
  fmt::format_to(out, "# TYPE {} {}\n", name, type);
  fmt::format_to(out, "{}{{listener=\"callers\"}} {}\n", name,
                 get(load.callers));
  fmt::format_to(out, "{}{{listener=\"hosts\"}} {}\n", name, get(load.hosts));
}

}  // namespace

LoopMonitor::LoopMonitor(tcp::acceptor& callers, tcp::acceptor& hosts,
                         Options options)
    : callers_(callers),
      hosts_(hosts),
      options_(std::move(options)),
      timer_(callers.get_executor()),
      measured_at_(std::chrono::steady_clock::now().time_since_epoch()) {}

asio::awaitable<void> LoopMonitor::Run() {
  while (!stopped_) {
    timer_.expires_after(options_.interval);
    co_await timer_.async_wait(kAsTuple);
    if (stopped_) break;
    Measure(std::chrono::duration_cast<Microseconds>(
        std::chrono::steady_clock::now() - timer_.expiry()));
  }
}

void LoopMonitor::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void LoopMonitor::OnAccepted(const tcp::acceptor& listener, tcp::socket& socket,
                             bool abandoned) {
  ListenerLoad& load =
      &listener == &callers_ ? current_.callers : current_.hosts;
  ++load.accepted;
  if (abandoned) ++load.abandoned;
  if (const auto waited = TimeSinceData(socket.native_handle()))
    load.longest_wait = std::max(load.longest_wait, *waited);
}

void LoopMonitor::Measure(Microseconds lag) {
  measured_at_ = std::chrono::steady_clock::now().time_since_epoch();
  current_.lag = lag;
  current_.thread_cpu = ThreadCpuTime();
  current_.process_cpu = ProcessCpuTime();
  // The acceptors close when the proxy drains.
  current_.callers.queued = callers_.is_open()
                                ? AcceptQueueLength(callers_.native_handle())
                                : std::nullopt;
  current_.hosts.queued = hosts_.is_open()
                              ? AcceptQueueLength(hosts_.native_handle())
                              : std::nullopt;
  {
    const std::scoped_lock lock(mutex_);
    last_ = current_;
    peak_lag_ = std::max(peak_lag_, lag);
  }
  if (options_.on_load) options_.on_load(current_);
  current_.callers.longest_wait = Milliseconds(0);
  current_.hosts.longest_wait = Milliseconds(0);
}

std::string LoopMonitor::Text() const {
  const std::scoped_lock lock(mutex_);
  std::string text;
  fmt::format_to(std::back_inserter(text),
                 "# TYPE camphor_proxy_loop_lag_seconds gauge\n"
                 "camphor_proxy_loop_lag_seconds{{statistic=\"last\"}} {:.6f}\n"
                 "camphor_proxy_loop_lag_seconds{{statistic=\"max\"}} {:.6f}\n"
                 "# TYPE camphor_proxy_thread_cpu_seconds_total counter\n"
                 "camphor_proxy_thread_cpu_seconds_total {:.6f}\n",
                 ToSeconds(last_.lag), ToSeconds(peak_lag_),
                 ToSeconds(last_.thread_cpu));
  AppendByListener(
      text, "camphor_proxy_accept_queue_connections", "gauge", last_,
      [](const ListenerLoad& load) { return load.queued.value_or(0); });
  AppendByListener(text, "camphor_proxy_accepted_total", "counter", last_,
                   [](const ListenerLoad& load) { return load.accepted; });
  AppendByListener(text, "camphor_proxy_abandoned_total", "counter", last_,
                   [](const ListenerLoad& load) { return load.abandoned; });
  AppendByListener(
      text, "camphor_proxy_accept_wait_seconds", "gauge", last_,
      [](const ListenerLoad& load) { return ToSeconds(load.longest_wait); });
  return text;
}

}  // namespace camphor
