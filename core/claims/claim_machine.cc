#include "core/claims/claim_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace camphor {
namespace {

namespace msm = boost::msm;
using msm::front::Row;

struct Sent {};
struct TookEffect {};
struct HeldByUs {};
struct HeldByOther {};
struct NotApplied {};
struct NoAnswer {};
struct GiveUp {};

// In the order of ClaimMachine::State, which names them by their index.
struct Queued : msm::front::state<> {};
struct InFlight : msm::front::state<> {};
struct Doubtful : msm::front::state<> {};
struct DoubtfulInFlight : msm::front::state<> {};
struct Granted : msm::front::state<> {};
struct Held : msm::front::state<> {};
struct NotMade : msm::front::state<> {};
struct Unknown : msm::front::state<> {};

struct Front : msm::front::state_machine_def<Front> {
  using initial_state = Queued;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  struct transition_table : boost::mpl::vector<
      Row<Queued,           Sent,        InFlight>,
      Row<Queued,           GiveUp,      NotMade>,
      Row<InFlight,         TookEffect,  Granted>,
      Row<InFlight,         HeldByUs,    Granted>,
      Row<InFlight,         HeldByOther, Held>,
      Row<InFlight,         NotApplied,  Queued>,
      Row<InFlight,         NoAnswer,    Doubtful>,
      Row<InFlight,         GiveUp,      Unknown>,
      Row<Doubtful,         Sent,        DoubtfulInFlight>,
      Row<Doubtful,         GiveUp,      Unknown>,
      Row<DoubtfulInFlight, TookEffect,  Granted>,
      Row<DoubtfulInFlight, HeldByUs,    Granted>,
      Row<DoubtfulInFlight, HeldByOther, Held>,
      Row<DoubtfulInFlight, NotApplied,  Doubtful>,
      Row<DoubtfulInFlight, NoAnswer,    Doubtful>,
      Row<DoubtfulInFlight, GiveUp,      Unknown>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) {}
};

using Back = msm::back::state_machine<Front>;

/// State of each index that the library gives, in the order in which states
/// first stand in the table.
constexpr ClaimMachine::State kStates[] = {
    ClaimMachine::State::kQueued,   ClaimMachine::State::kInFlight,
    ClaimMachine::State::kDoubtful, ClaimMachine::State::kDoubtfulInFlight,
    ClaimMachine::State::kNotMade,  ClaimMachine::State::kGranted,
    ClaimMachine::State::kHeld,     ClaimMachine::State::kUnknown,
};

}  // namespace

struct ClaimMachine::Machine {
  Back back;
};

ClaimMachine::ClaimMachine() : machine_(std::make_unique<Machine>()) {
  machine_->back.start();
}

ClaimMachine::~ClaimMachine() = default;
ClaimMachine::ClaimMachine(ClaimMachine&&) noexcept = default;
ClaimMachine& ClaimMachine::operator=(ClaimMachine&&) noexcept = default;

bool ClaimMachine::Take(Event event) {
  const State before = state();
  switch (event) {
    case Event::kSent:
      machine_->back.process_event(Sent{});
      break;
    case Event::kCommitted:
      machine_->back.process_event(TookEffect{});
      break;
    case Event::kHeldByUs:
      machine_->back.process_event(HeldByUs{});
      break;
    case Event::kHeldByOther:
      machine_->back.process_event(HeldByOther{});
      break;
    case Event::kNotApplied:
      machine_->back.process_event(NotApplied{});
      break;
    case Event::kNoResponse:
      machine_->back.process_event(NoAnswer{});
      break;
    case Event::kGiveUp:
      machine_->back.process_event(GiveUp{});
      break;
  }
  return state() != before;
}

ClaimMachine::State ClaimMachine::state() const {
  return kStates[machine_->back.current_state()[0]];
}

}  // namespace camphor
