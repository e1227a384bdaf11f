#ifndef CAMPHORHILL_STAND_INS_PLATFORM_PLATFORM_STAND_IN_H_
#define CAMPHORHILL_STAND_INS_PLATFORM_PLATFORM_STAND_IN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "stand_ins/http/http_server.h"
#include "stand_ins/platform/platform_store.h"

namespace camphor {

/// In-memory fake of the platform for tests. Serves the HTTP interface of the
/// platform's metadata store, with faults that can be switched at run time
/// (POST /control).
class PlatformStandIn {
 public:
  /// How the platform handles calls.
  enum class Mode : std::uint8_t {
    kUp,           ///< serves calls
    kOut,          ///< rejects each call without effect
    kSlow,         ///< applies the call and responds after the delay
    kLoseAnswers,  ///< applies the call, then closes without a response
    kSilent,       ///< neither applies the call nor responds
    kLate,         ///< closes at once without a response and applies the
                   ///< call after the delay
  };

  struct Options {
    Endpoint listen{.address = "127.0.0.1",
                    .port = 0};        ///< port 0: any free port
    std::uint32_t reads_per_s = 2000;  ///< reads admitted per second
    std::uint32_t writes_per_s = 400;  ///< transactions and object writes
                                       ///< admitted per second
  };

  explicit PlatformStandIn(const Options& options);

  /// Starts serving. Returns false and sets last_reason if the address cannot
  /// be bound. Must be called from one thread.
  bool Start();

  /// Stops serving. Must be called from one thread.
  void Stop();

  /// Bound address. Valid after Start. Thread-safe.
  Endpoint endpoint() const;

  /// Reason for the last failure of Start. Must be called from one thread.
  const std::string& last_reason() const;

 private:
  // A long-poll request for changes.
  struct Watcher {
    HttpExchange exchange;
    std::string table;
    std::uint64_t after = 0;
    std::uint64_t id = 0;
  };

  // Rate limiter with windows of one second.
  struct Limit {
    bool Admit(MonoTime now);

    std::uint32_t per_s = 0;
    std::uint32_t used = 0;
    MonoTime since{};
  };

  void Handle(const HttpExchange& exchange);
  void Serve(const HttpExchange& exchange);
  HttpResponse Apply(const HttpRequest& request);
  HttpResponse ReadRows(const HttpRequest& request);
  HttpResponse Changes(const std::string& table, std::uint64_t after) const;
  void Watch(const HttpExchange& exchange);
  void NotifyWatchers();
  HttpResponse ApplyTransaction(const HttpRequest& request);
  HttpResponse ApplyObject(const HttpRequest& request, const std::string& key);
  HttpResponse Control(const HttpRequest& request);
  HttpResponse Counters() const;

  Limit reads_;
  Limit writes_;
  Mode mode_ = Mode::kUp;
  Milliseconds delay_{0};
  PlatformStore store_;
  std::vector<Watcher> watchers_;
  std::uint64_t next_watcher_ = 0;
  std::map<std::string, std::uint64_t> counters_;
  HttpServer server_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_PLATFORM_PLATFORM_STAND_IN_H_
