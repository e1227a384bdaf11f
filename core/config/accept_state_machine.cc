#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_MAP_SIZE 30
#include "core/config/accept_state_machine.h"

#include <boost/mpl/vector/vector30.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace camphor {
namespace {

namespace front = boost::msm::front;

// Events: the answers of the platform, and what the clock says.
struct Begin {};
struct HeadRead {
  ConfigVersion version = 0;
};
struct ObjectStored {};
struct Committed {};
struct CommitConflict {};
struct CommitLost {};
struct OperationFound {};
struct OperationMissing {};
struct StepFailed {};
struct RetryDue {};

// Counts and hooks that the actions work on.
struct Context {
  AcceptStateMachine::Options options;
  std::uint32_t failures = 0;
  bool commit_may_stand = false;
};

struct Frontend : front::state_machine_def<Frontend> {
  // States, each named after the step whose answer it waits for.
  struct Idle : front::state<> {};
  struct ReadingHead : front::state<> {};
  struct StoringObject : front::state<> {};
  struct Committing : front::state<> {};
  struct SettlingLost : front::state<> {};
  struct CheckingOperation : front::state<> {};
  struct Finished : front::terminate_state<> {};
  using initial_state = Idle;

  // Actions.
  struct ReadHead {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      machine.context->options.read_head();
    }
  };
  struct StoreObject {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      machine.context->options.store_object();
    }
  };
  struct Commit {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      machine.context->options.commit();
    }
  };
  struct ReadOperation {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      machine.context->options.read_operation();
    }
  };
  struct CheckOperation {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      // An earlier run under the same operation id may have been accepted.
      machine.context->commit_may_stand = true;
      machine.context->options.read_operation();
    }
  };
  struct SettleLost {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      machine.context->commit_may_stand = true;
      ++machine.context->failures;
      machine.context->options.read_operation();
    }
  };
  struct Wait {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      ++machine.context->failures;
      machine.context->options.schedule_retry();
    }
  };
  struct Accept {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      machine.context->options.finish(AcceptOutcome::kAccepted);
    }
  };
  struct Conflict {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      machine.context->options.finish(AcceptOutcome::kConflict);
    }
  };
  struct GiveUp {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      machine.context->options.finish(machine.context->commit_may_stand
                                          ? AcceptOutcome::kUnknown
                                          : AcceptOutcome::kUnavailable);
    }
  };

  // Guards.
  struct HeadIsBase {
    template <class Event, class Machine, class From, class To>
    bool operator()(const Event& event, Machine& machine, From&, To&) {
      return event.version == machine.context->options.base_version;
    }
  };
  struct MayRetry {
    template <class Event, class Machine, class From, class To>
    bool operator()(const Event&, Machine& machine, From&, To&) {
      return machine.context->failures + 1 <
             machine.context->options.max_failures;
    }
  };

  // Of two rows with one event the later one is tried first.
  // clang-format off
  struct transition_table : boost::mpl::vector27<  // NOLINT(readability-identifier-naming)
    front::Row<Idle, Begin, ReadingHead, ReadHead, front::none>,
    // The head moved: by our own earlier run, or by somebody else.
    front::Row<ReadingHead, HeadRead, CheckingOperation, CheckOperation, front::none>,
    front::Row<ReadingHead, HeadRead, StoringObject, StoreObject, HeadIsBase>,
    front::Row<ReadingHead, StepFailed, Finished, GiveUp, front::none>,
    front::Row<ReadingHead, StepFailed, ReadingHead, Wait, MayRetry>,
    front::Row<ReadingHead, RetryDue, ReadingHead, ReadHead, front::none>,
    front::Row<StoringObject, ObjectStored, Committing, Commit, front::none>,
    front::Row<StoringObject, StepFailed, Finished, GiveUp, front::none>,
    front::Row<StoringObject, StepFailed, StoringObject, Wait, MayRetry>,
    front::Row<StoringObject, RetryDue, StoringObject, StoreObject, front::none>,
    front::Row<Committing, Committed, Finished, Accept, front::none>,
    front::Row<Committing, CommitConflict, CheckingOperation, CheckOperation, front::none>,
    front::Row<Committing, CommitLost, SettlingLost, SettleLost, front::none>,
    front::Row<Committing, StepFailed, Finished, GiveUp, front::none>,
    front::Row<Committing, StepFailed, Committing, Wait, MayRetry>,
    front::Row<Committing, RetryDue, Committing, Commit, front::none>,
    // The commit is conditional, so that the same one may be sent once more.
    front::Row<SettlingLost, OperationFound, Finished, Accept, front::none>,
    front::Row<SettlingLost, OperationMissing, Finished, GiveUp, front::none>,
    front::Row<SettlingLost, OperationMissing, Committing, Wait, MayRetry>,
    front::Row<SettlingLost, StepFailed, Finished, GiveUp, front::none>,
    front::Row<SettlingLost, StepFailed, SettlingLost, Wait, MayRetry>,
    front::Row<SettlingLost, RetryDue, SettlingLost, ReadOperation, front::none>,
    // The head moved on: a late commit of ours can not take effect any more.
    front::Row<CheckingOperation, OperationFound, Finished, Accept, front::none>,
    front::Row<CheckingOperation, OperationMissing, Finished, Conflict, front::none>,
    front::Row<CheckingOperation, StepFailed, Finished, GiveUp, front::none>,
    front::Row<CheckingOperation, StepFailed, CheckingOperation, Wait, MayRetry>,
    front::Row<CheckingOperation, RetryDue, CheckingOperation, ReadOperation, front::none>
  > {};
  // clang-format on

  template <class Machine, class Event>
  void no_transition(const Event&, Machine&, int) {}

  Context* context = nullptr;
};

}  // namespace

struct AcceptStateMachine::State {
  Context context{};
  boost::msm::back::state_machine<Frontend> machine{};
};

AcceptStateMachine::AcceptStateMachine(Options options)
    : state_(std::make_unique<State>()) {
  state_->context.options = std::move(options);
  state_->machine.context = &state_->context;
  state_->machine.start();
}

AcceptStateMachine::~AcceptStateMachine() = default;

void AcceptStateMachine::Start() { state_->machine.process_event(Begin{}); }

void AcceptStateMachine::OnHead(ConfigVersion version) {
  state_->machine.process_event(HeadRead{version});
}

void AcceptStateMachine::OnObjectStored() {
  state_->machine.process_event(ObjectStored{});
}

void AcceptStateMachine::OnCommitted() {
  state_->machine.process_event(Committed{});
}

void AcceptStateMachine::OnCommitConflict() {
  state_->machine.process_event(CommitConflict{});
}

void AcceptStateMachine::OnCommitResponseLost() {
  state_->machine.process_event(CommitLost{});
}

void AcceptStateMachine::OnOperationFound() {
  state_->machine.process_event(OperationFound{});
}

void AcceptStateMachine::OnOperationMissing() {
  state_->machine.process_event(OperationMissing{});
}

void AcceptStateMachine::OnStepFailed() {
  state_->machine.process_event(StepFailed{});
}

void AcceptStateMachine::Retry() { state_->machine.process_event(RetryDue{}); }

}  // namespace camphor
