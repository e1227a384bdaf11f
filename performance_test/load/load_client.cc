#include "performance_test/load/load_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cassert>
#include <chrono>
#include <utility>

#include "proxy/asio_types.h"
#include "proxy/connection.h"
#include "proxy/header_names.h"
#include "proxy/progress_timer.h"
#include "stand_ins/target/answer_body.h"

namespace camphor {
namespace {

constexpr Milliseconds kReconnectDelay{20};

using Answer = http::response<http::string_body>;

}  // namespace

std::uint32_t LoadReport::Quantile(double share) const {
  if (latencies_us.empty()) return 0;
  std::vector<std::uint32_t> sorted = latencies_us;
  const auto index = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(sorted.size() - 1));
  std::ranges::nth_element(sorted, sorted.begin() + index);
  return sorted[static_cast<std::size_t>(index)];
}

std::string LoadReport::ToString(double seconds) const {
  return fmt::format(
      "sent={} good={} good_per_s={:.1f} refused={} unknown={} failed={} "
      "wrong={} truncated={} broken={} timed_out={} unconnected={} p50_us={} "
      "p90_us={} p99_us={} p999_us={}",
      sent, good, static_cast<double>(good) / seconds, refused, unknown, failed,
      wrong, truncated, broken, timed_out, unconnected, Quantile(0.5),
      Quantile(0.9), Quantile(0.99), Quantile(0.999));
}

struct LoadClient::State {
  explicit State(Options client_options) : options(std::move(client_options)) {
    idle.resize(options.endpoints.size());
  }

  asio::awaitable<void> SendAtRate(asio::io_context& io, MonoTime until);
  asio::awaitable<void> Send(asio::io_context& io, std::uint64_t number,
                             MonoTime due);
  asio::awaitable<std::unique_ptr<Connection>> Connect(asio::io_context& io,
                                                       std::size_t& endpoint);
  http::request<http::empty_body> MakeRequest(const std::string& id) const;
  void RecordResponse(const std::string& id, const Answer& answer,
                      MonoTime due);

  Options options;
  LoadReport report;
  std::vector<std::vector<std::unique_ptr<Connection>>> idle;
  std::uint64_t next = 0;
  std::size_t in_flight = 0;
};

asio::awaitable<void> LoadClient::State::SendAtRate(asio::io_context& io,
                                                    MonoTime until) {
  asio::steady_timer timer(io);
  const auto gap = std::chrono::duration_cast<MonoTime::duration>(
      std::chrono::duration<double>(1 / options.rate));
  MonoTime due = std::chrono::steady_clock::now();
  while (due < until) {
    timer.expires_at(due);
    co_await timer.async_wait(kAsTuple);
    // After a delayed wake-up, send all requests that are due by now.
    const MonoTime now = std::chrono::steady_clock::now();
    for (; due <= now && due < until; due += gap) {
      if (in_flight >= options.max_in_flight) continue;
      ++in_flight;
      asio::co_spawn(io, Send(io, next++, due), asio::detached);
    }
  }
}

asio::awaitable<std::unique_ptr<Connection>> LoadClient::State::Connect(
    asio::io_context& io, std::size_t& endpoint) {
  // No bytes have been sent yet, so it is safe to try the next endpoint.
  for (std::size_t attempt = 0;
       attempt < options.endpoints.size() * 2 + idle[endpoint].size();
       ++attempt) {
    auto& pool = idle[endpoint];
    if (!pool.empty()) {
      std::unique_ptr<Connection> connection = std::move(pool.back());
      pool.pop_back();
      if (connection->IsQuiet()) co_return connection;
      continue;
    }
    auto connection = std::make_unique<Connection>(io.get_executor());
    const tcp::endpoint address = *ToTcpEndpoint(options.endpoints[endpoint]);
    auto [error] = co_await connection->socket.async_connect(address, kAsTuple);
    if (!error) {
      connection->socket.set_option(tcp::no_delay(true));
      co_return connection;
    }
    endpoint = (endpoint + 1) % options.endpoints.size();
    asio::steady_timer pause(io, kReconnectDelay);
    co_await pause.async_wait(kAsTuple);
  }
  co_return nullptr;
}

http::request<http::empty_body> LoadClient::State::MakeRequest(
    const std::string& id) const {
  http::request<http::empty_body> request(http::string_to_verb(options.method),
                                          options.path, 11);
  request.set(http::field::host, "load");
  request.set("X-Request-Id", id);
  request.set("X-Answer-Bytes", std::to_string(options.answer_bytes));
  if (options.work_ms > 0) {
    request.set("X-Work-Ms", std::to_string(options.work_ms));
  }
  request.set(kDeadlineHeader, std::to_string(options.deadline.count()));
  if (options.keyed) request.set(kIdempotencyKeyHeader, "k-" + id);
  if (options.method != "GET") request.content_length(0);
  return request;
}

asio::awaitable<void> LoadClient::State::Send(asio::io_context& io,
                                              std::uint64_t number,
                                              MonoTime due) {
  ++report.sent;
  const std::string id = fmt::format("{}-{}", options.id_prefix, number);
  std::size_t endpoint = number % options.endpoints.size();
  std::unique_ptr<Connection> connection = co_await Connect(io, endpoint);
  if (!connection) {
    ++report.unconnected;
    --in_flight;
    co_return;
  }
  const http::request<http::empty_body> request = MakeRequest(id);
  bool expired = false;
  ProgressTimer client_timeout(io.get_executor(), [&] {
    expired = true;
    connection->Close();
  });
  client_timeout.Set(options.client_timeout);
  auto [write_error, written] =
      co_await http::async_write(connection->socket, request, kAsTuple);
  Answer answer;
  beast::error_code error = write_error;
  if (!error) {
    auto [read_error, read] = co_await http::async_read(
        connection->socket, connection->buffer, answer, kAsTuple);
    error = read_error;
  }
  if (error) {
    ++(expired ? report.timed_out : report.broken);
  } else {
    RecordResponse(id, answer, due);
    if (answer.keep_alive()) idle[endpoint].push_back(std::move(connection));
  }
  --in_flight;
}

void LoadClient::State::RecordResponse(const std::string& id,
                                       const Answer& answer, MonoTime due) {
  if (answer.count(kNotRunHeader) > 0) {
    ++report.refused;
    report.refused_ids.insert(id);
  } else if (answer.count(kOutcomeHeader) > 0) {
    ++report.unknown;
  } else if (answer.result_int() >= 500) {
    ++report.failed;
  } else if (answer["X-Request-Id"] == id &&
             answer.body().size() < options.answer_bytes) {
    ++report.truncated;
  } else if (answer["X-Request-Id"] != id ||
             answer.body() != AnswerBody(id, options.answer_bytes)) {
    ++report.wrong;
  } else {
    ++report.good;
    report.latencies_us.push_back(
        static_cast<std::uint32_t>(std::chrono::duration_cast<Microseconds>(
                                       std::chrono::steady_clock::now() - due)
                                       .count()));
  }
}

LoadClient::LoadClient(Options options)
    : state_(std::make_unique<State>(std::move(options))) {
  assert(!state_->options.endpoints.empty() && state_->options.rate > 0);
}

LoadClient::~LoadClient() = default;

void LoadClient::RunAll(const std::vector<LoadClient*>& clients,
                        Milliseconds duration) {
  asio::io_context io(1);
  const MonoTime until = std::chrono::steady_clock::now() + duration;
  for (LoadClient* client : clients) {
    asio::co_spawn(io, client->state_->SendAtRate(io, until), asio::detached);
  }
  io.run();
  for (LoadClient* client : clients) {
    for (auto& pool : client->state_->idle) pool.clear();
  }
}

const LoadReport& LoadClient::report() const { return state_->report; }

}  // namespace camphor
