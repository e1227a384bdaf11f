#include "core/claims/claim_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace camphor {
namespace {

namespace msm = boost::msm;
using msm::front::Row;

struct Sent {};
struct Committed {};
struct HeldByUs {};
struct HeldByOther {};
struct NotApplied {};
struct NoResponse {};
struct GiveUp {};

// States of the Boost.MSM front end, in the order of ClaimMachine::State.
struct Queued : msm::front::state<> {};
struct InFlight : msm::front::state<> {};
struct InDoubt : msm::front::state<> {};
struct InDoubtInFlight : msm::front::state<> {};
struct Granted : msm::front::state<> {};
struct Held : msm::front::state<> {};
struct NotMade : msm::front::state<> {};
struct Unknown : msm::front::state<> {};

struct FrontEnd : msm::front::state_machine_def<FrontEnd> {
  using initial_state = Queued;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  struct transition_table : boost::mpl::vector<
      Row<Queued,           Sent,        InFlight>,
      Row<Queued,           GiveUp,      NotMade>,
      Row<InFlight,         Committed,   Granted>,
      Row<InFlight,         HeldByUs,    Granted>,
      Row<InFlight,         HeldByOther, Held>,
      Row<InFlight,         NotApplied,  Queued>,
      Row<InFlight,         NoResponse,  InDoubt>,
      Row<InFlight,         GiveUp,      Unknown>,
      Row<InDoubt,          Sent,        InDoubtInFlight>,
      Row<InDoubt,          GiveUp,      Unknown>,
      Row<InDoubtInFlight,  Committed,   Granted>,
      Row<InDoubtInFlight,  HeldByUs,    Granted>,
      Row<InDoubtInFlight,  HeldByOther, Held>,
      Row<InDoubtInFlight,  NotApplied,  InDoubt>,
      Row<InDoubtInFlight,  NoResponse,  InDoubt>,
      Row<InDoubtInFlight,  GiveUp,      Unknown>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) {}
};

using BackEnd = msm::back::state_machine<FrontEnd>;

// Maps the state indices of Boost.MSM to ClaimMachine::State. The library
// numbers the states in order of first appearance in the transition table:
// first all source states, then all remaining target states.
constexpr ClaimMachine::State kStates[] = {
    ClaimMachine::State::kQueued,  ClaimMachine::State::kInFlight,
    ClaimMachine::State::kInDoubt, ClaimMachine::State::kInDoubtInFlight,
    ClaimMachine::State::kNotMade, ClaimMachine::State::kGranted,
    ClaimMachine::State::kHeld,    ClaimMachine::State::kUnknown,
};

}  // namespace

struct ClaimMachine::Machine {
  BackEnd back_end;
};

ClaimMachine::ClaimMachine() : machine_(std::make_unique<Machine>()) {
  machine_->back_end.start();
}

ClaimMachine::~ClaimMachine() = default;
ClaimMachine::ClaimMachine(ClaimMachine&&) noexcept = default;
ClaimMachine& ClaimMachine::operator=(ClaimMachine&&) noexcept = default;

bool ClaimMachine::ProcessEvent(Event event) {
  const State before = state();
  switch (event) {
    case Event::kSent:
      machine_->back_end.process_event(Sent{});
      break;
    case Event::kCommitted:
      machine_->back_end.process_event(Committed{});
      break;
    case Event::kHeldByUs:
      machine_->back_end.process_event(HeldByUs{});
      break;
    case Event::kHeldByOther:
      machine_->back_end.process_event(HeldByOther{});
      break;
    case Event::kNotApplied:
      machine_->back_end.process_event(NotApplied{});
      break;
    case Event::kNoResponse:
      machine_->back_end.process_event(NoResponse{});
      break;
    case Event::kGiveUp:
      machine_->back_end.process_event(GiveUp{});
      break;
  }
  return state() != before;
}

ClaimMachine::State ClaimMachine::state() const {
  return kStates[machine_->back_end.current_state()[0]];
}

}  // namespace camphor
