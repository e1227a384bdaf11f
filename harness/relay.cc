#include "harness/relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <thread>
#include <utility>

#include "stand_ins/http/listener.h"

namespace camphor {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kBlockBytes = 65536;

}  // namespace

struct Relay::State {
  explicit State(Options options_in)
      : options(std::move(options_in)), acceptor(context) {}

  void Accept();
  void ResumeAll();

  Options options;
  std::string last_reason;
  Endpoint endpoint;
  asio::io_context context{1};
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<Link>> links;
  bool cut = false;
  std::set<std::string> cut_connectors;
  std::thread thread;
};

// One forwarded connection, with two sockets and two directions.
class Relay::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(State& relay, tcp::socket near)
      : relay_(relay),
        near_(std::move(near)),
        far_(relay.context),
        to_far_{.from = near_, .to = far_},
        to_near_{.from = far_, .to = near_} {}

  void Start() {
    const tcp::endpoint target(
        asio::ip::make_address(relay_.options.to.address),
        relay_.options.to.port);
    if (relay_.options.connector) {
      error_code ignored;
      connector_ =
          relay_.options.connector(near_.remote_endpoint(ignored).port());
    }
    far_.async_connect(target, [self = shared_from_this()](error_code error) {
      if (error) return self->Close();
      error_code ignored;
      self->near_.set_option(tcp::no_delay(true), ignored);
      self->far_.set_option(tcp::no_delay(true), ignored);
      self->Read(self->to_far_);
      self->Read(self->to_near_);
    });
  }

  void StallPermanently() { stalled_ = true; }

  // Forwards the data that was read during the cut.
  void Resume() {
    if (IsCut()) return;
    for (Direction* direction : {&to_far_, &to_near_}) {
      if (std::exchange(direction->held, false)) Write(*direction);
    }
  }

  void Close() {
    error_code ignored;
    near_.close(ignored);
    far_.close(ignored);
    relay_.links.erase(shared_from_this());
  }

 private:
  struct Direction {
    tcp::socket& from;
    tcp::socket& to;
    std::array<char, kBlockBytes> block{};
    std::size_t count = 0;
    bool held = false;
  };

  bool IsCut() const {
    return relay_.cut || relay_.cut_connectors.contains(connector_);
  }

  void Read(Direction& direction) {
    direction.from.async_read_some(asio::buffer(direction.block),
                                   [self = shared_from_this(), &direction](
                                       error_code error, std::size_t count) {
                                     // A stalled link does not propagate the
                                     // close of the other end.
                                     if (error && self->stalled_) return;
                                     if (error) return self->Close();
                                     direction.count = count;
                                     if (self->stalled_) return;
                                     if (self->IsCut()) {
                                       direction.held = true;
                                       return;
                                     }
                                     self->Write(direction);
                                   });
  }

  void Write(Direction& direction) {
    asio::async_write(
        direction.to, asio::buffer(direction.block.data(), direction.count),
        [self = shared_from_this(), &direction](error_code error, std::size_t) {
          if (error) return self->Close();
          self->Read(direction);
        });
  }

  State& relay_;
  tcp::socket near_;
  tcp::socket far_;
  Direction to_far_;
  Direction to_near_;
  std::string connector_;
  bool stalled_ = false;
};

void Relay::State::ResumeAll() {
  const std::set<std::shared_ptr<Link>> all = links;
  for (const auto& link : all) link->Resume();
}

void Relay::State::Accept() {
  acceptor.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      auto link = std::make_shared<Link>(*this, std::move(socket));
      links.insert(link);
      link->Start();
    }
    Accept();
  });
}

Relay::Relay(Options options)
    : state_(std::make_unique<State>(std::move(options))) {}

Relay::~Relay() {
  if (!state_->thread.joinable()) return;
  asio::post(state_->context, [this] {
    error_code ignored;
    state_->acceptor.close(ignored);
    while (!state_->links.empty()) {
      const std::shared_ptr<Link> link = *state_->links.begin();
      link->Close();
    }
    state_->context.stop();
  });
  state_->thread.join();
}

bool Relay::Start() {
  state_->endpoint = OpenListener(state_->acceptor, state_->options.listen,
                                  state_->last_reason);
  if (state_->endpoint.port == 0) return false;
  state_->Accept();
  state_->thread = std::thread([this] { state_->context.run(); });
  return true;
}

void Relay::StallOpen() {
  asio::post(state_->context, [this] {
    for (const auto& link : state_->links) link->StallPermanently();
  });
}

void Relay::Cut() {
  asio::post(state_->context, [this] { state_->cut = true; });
}

void Relay::CutFrom(const std::string& connector) {
  asio::post(state_->context,
             [this, connector] { state_->cut_connectors.insert(connector); });
}

void Relay::Heal() {
  asio::post(state_->context, [this] {
    state_->cut = false;
    state_->ResumeAll();
  });
}

void Relay::HealFrom(const std::string& connector) {
  asio::post(state_->context, [this, connector] {
    state_->cut_connectors.erase(connector);
    state_->ResumeAll();
  });
}

Endpoint Relay::endpoint() const { return state_->endpoint; }

const std::string& Relay::last_reason() const { return state_->last_reason; }

}  // namespace camphor
