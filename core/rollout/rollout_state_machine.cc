#include "core/rollout/rollout_state_machine.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace camphor {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct TargetsReady {};
struct CanaryPassed {};
struct FullShareReached {};
struct BakePassed {};
struct RollBackOrdered {};

struct Definition : msm::front::state_machine_def<Definition> {
  struct Pending : msm::front::state<> {};
  struct Canary : msm::front::state<> {};
  struct Ramp : msm::front::state<> {};
  struct Bake : msm::front::state<> {};
  struct Done : msm::front::state<> {};
  struct RolledBack : msm::front::state<> {};
  using initial_state = Pending;

  // Boost.MSM numbers the states by their order in the rows, which must match
  // the values of RolloutStage.
  // NOLINTNEXTLINE(readability-identifier-naming): required by Boost.MSM.
  struct transition_table
      : boost::mpl::vector<
            Row<Pending, TargetsReady, Canary, none, none>,
            Row<Canary, CanaryPassed, Ramp, none, none>,
            Row<Ramp, FullShareReached, Bake, none, none>,
            Row<Bake, BakePassed, Done, none, none>,
            Row<Pending, RollBackOrdered, RolledBack, none, none>,
            Row<Canary, RollBackOrdered, RolledBack, none, none>,
            Row<Ramp, RollBackOrdered, RolledBack, none, none>,
            Row<Bake, RollBackOrdered, RolledBack, none, none>> {};

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) {}
};

using BackEnd = msm::back::state_machine<Definition>;

}  // namespace

struct RolloutStateMachine::Machine {
  BackEnd back_end;

  template <typename Event>
  bool Apply(const Event& event) {
    return back_end.process_event(event) == msm::back::HANDLED_TRUE;
  }
};

RolloutStateMachine::RolloutStateMachine()
    : machine_(std::make_unique<Machine>()) {
  machine_->back_end.start();
}

RolloutStateMachine::~RolloutStateMachine() = default;
RolloutStateMachine::RolloutStateMachine(RolloutStateMachine&&) noexcept =
    default;
RolloutStateMachine& RolloutStateMachine::operator=(
    RolloutStateMachine&&) noexcept = default;

bool RolloutStateMachine::Process(RolloutEvent event) {
  switch (event) {
    case RolloutEvent::kTargetsReady:
      return machine_->Apply(TargetsReady());
    case RolloutEvent::kCanaryPassed:
      return machine_->Apply(CanaryPassed());
    case RolloutEvent::kFullShareReached:
      return machine_->Apply(FullShareReached());
    case RolloutEvent::kBakePassed:
      return machine_->Apply(BakePassed());
    case RolloutEvent::kRollBack:
      return machine_->Apply(RollBackOrdered());
  }
  return false;
}

void RolloutStateMachine::Adopt(RolloutStage adopted) {
  if (adopted < stage()) *this = RolloutStateMachine();
  if (adopted == RolloutStage::kRolledBack) {
    if (stage() == RolloutStage::kDone) *this = RolloutStateMachine();
    Process(RolloutEvent::kRollBack);
    return;
  }
  // Each of these events advances by one stage.
  constexpr std::array kAdvancingEvents = {
      RolloutEvent::kTargetsReady, RolloutEvent::kCanaryPassed,
      RolloutEvent::kFullShareReached, RolloutEvent::kBakePassed};
  for (const RolloutEvent event : kAdvancingEvents) {
    if (stage() < adopted) Process(event);
  }
}

RolloutStage RolloutStateMachine::stage() const {
  return static_cast<RolloutStage>(machine_->back_end.current_state()[0]);
}

}  // namespace camphor
