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

/// Takes the platform's place in tests: its metadata store over HTTP, as its
/// users publish it, with faults that can be switched while it runs (POST
/// /control).
class PlatformStandIn {
 public:
  /// What the platform does with calls.
  enum class Mode : std::uint8_t {
    kUp,           ///< serves
    kOut,          ///< refuses each call before it takes effect
    kSlow,         ///< takes effect, and answers, only after the delay
    kLoseAnswers,  ///< takes effect, then closes the connection unanswered
    kSilent,       ///< neither takes effect nor answers
    kLate,         ///< closes the connection unanswered at once, and takes
                   ///< effect after the delay
  };

  struct Options {
    Endpoint listen{.address = "127.0.0.1", .port = 0};  ///< port 0 takes any
    std::uint32_t reads_per_s = 2000;  ///< reads admitted in each second
    std::uint32_t writes_per_s = 400;  ///< transactions and object writes
                                       ///< admitted in each second
  };

  explicit PlatformStandIn(const Options& options);

  /// Starts to serve. Returns false, with last_reason set, when the address can
  /// not be had. Thread safety: one thread.
  bool Start();

  /// Stops to serve. Thread safety: one thread.
  void Stop();

  /// Address in use after Start. Thread safety: any thread.
  Endpoint endpoint() const;

  /// Why Start failed. Thread safety: one thread.
  const std::string& last_reason() const;

 private:
  // A request for changes that waits for one.
  struct Watcher {
    HttpExchange exchange;
    std::string table;
    std::uint64_t after = 0;
    std::uint64_t id = 0;
  };

  // Admits a bounded number of calls in each second.
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
  void TellWatchers();
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
