#include "proxy/response_sequencer.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <cassert>
#include <chrono>
#include <utility>

namespace camphor {

class ResponseSequencer::Response {
 public:
  std::string buffered;
  bool written = false;  ///< at least one byte was written
  bool ended = false;
  bool complete = false;
};

ResponseSequencer::ResponseSequencer(Options options)
    : options_(std::move(options)), changed_(options_.executor) {
  assert(options_.write && options_.buffered_by_proxy && options_.account);
  changed_.expires_at(MonoTime::max());
}

ResponseSequencer::~ResponseSequencer() { Release(buffered_); }

ResponseSequencer::ResponsePtr ResponseSequencer::Append() {
  responses_.push_back(std::make_shared<Response>());
  return responses_.back();
}

bool ResponseSequencer::IsFirst(const ResponsePtr& response) const {
  return !responses_.empty() && responses_.front() == response;
}

bool ResponseSequencer::IsLast(const ResponsePtr& response) const {
  return !responses_.empty() && responses_.back() == response;
}

asio::awaitable<beast::error_code> ResponseSequencer::Write(
    ResponsePtr response, std::span<const asio::const_buffer> bytes) {
  while (!broken_) {
    if (IsFirst(response) && !writing_ && response->buffered.empty()) {
      response->written = true;
      const beast::error_code error = co_await WriteNow(bytes);
      co_return error;
    }
    if (Buffer(*response, bytes)) {
      // The first response may have buffered bytes while it was being flushed.
      if (IsFirst(response)) co_await Flush();
      co_return beast::error_code{};
    }
    co_await WaitForChange();
  }
  co_return asio::error::operation_aborted;
}

bool ResponseSequencer::Retract(const ResponsePtr& response) {
  if (response->written || broken_) return false;
  Release(response->buffered.size());
  response->buffered.clear();
  return true;
}

asio::awaitable<bool> ResponseSequencer::End(ResponsePtr response,
                                             bool complete) {
  response->ended = true;
  response->complete = complete;
  co_await Flush();
  co_return !broken_;
}

void ResponseSequencer::Break() {
  broken_ = true;
  changed_.cancel();
}

asio::awaitable<void> ResponseSequencer::WaitForChange() {
  co_await changed_.async_wait(kAsTuple);
}

bool ResponseSequencer::Buffer(Response& response,
                               std::span<const asio::const_buffer> bytes) {
  std::size_t size = 0;
  for (const asio::const_buffer& part : bytes) size += part.size();
  if (buffered_ + size > options_.max_buffered ||
      *options_.buffered_by_proxy + size > options_.max_buffered_by_proxy ||
      !options_.account->Grow(size, std::chrono::steady_clock::now())) {
    return false;
  }
  buffered_ += size;
  *options_.buffered_by_proxy += size;
  for (const asio::const_buffer& part : bytes)
    response.buffered.append(static_cast<const char*>(part.data()),
                             part.size());
  return true;
}

void ResponseSequencer::Release(std::size_t size) {
  buffered_ -= size;
  *options_.buffered_by_proxy -= size;
  options_.account->Shrink(size);
}

asio::awaitable<void> ResponseSequencer::Flush() {
  // Whoever is writing continues with what has become due meanwhile.
  if (writing_) co_return;
  while (!broken_ && !responses_.empty()) {
    const ResponsePtr first = responses_.front();
    if (!first->buffered.empty()) {
      const std::string due = std::exchange(first->buffered, {});
      const std::array bytes{asio::const_buffer(due.data(), due.size())};
      first->written = true;
      co_await WriteNow(bytes);
      Release(due.size());
      continue;
    }
    if (!first->ended) break;
    if (!first->complete) {
      Break();
      break;
    }
    responses_.pop_front();
    changed_.cancel();
  }
  if (responses_.empty() && options_.on_empty) options_.on_empty();
}

asio::awaitable<beast::error_code> ResponseSequencer::WriteNow(
    std::span<const asio::const_buffer> bytes) {
  writing_ = true;
  const beast::error_code error = co_await options_.write(bytes);
  writing_ = false;
  if (error) Break();
  changed_.cancel();
  co_return error;
}

}  // namespace camphor
