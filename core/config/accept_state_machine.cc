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

// Events: results of platform calls, and the end of a retry delay.
struct Begin {};
struct HeadRead {
  ConfigVersion version = 0;
};
struct ObjectStored {};
struct Committed {};
struct CommitConflict {};
struct CommitResponseLost {};
struct OperationFound {};
struct OperationMissing {};
struct StepFailed {};
struct RetryDue {};

// Data shared by the actions and guards.
struct Context {
  AcceptStateMachine::Options options;
  std::uint32_t failures = 0;
  bool commit_may_have_succeeded = false;
};

struct Frontend : front::state_machine_def<Frontend> {
  // States, each named after the step whose result it waits for.
  struct Idle : front::state<> {};
  struct ReadingHead : front::state<> {};
  struct StoringObject : front::state<> {};
  struct Committing : front::state<> {};
  struct ResolvingCommit : front::state<> {};
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
      // An earlier attempt with the same operation id may have been accepted.
      machine.context->commit_may_have_succeeded = true;
      machine.context->options.read_operation();
    }
  };
  struct ResolveCommit {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) {
      machine.context->commit_may_have_succeeded = true;
      ++machine.context->failures;
      machine.context->options.read_operation();
    }
  };
  struct ScheduleRetry {
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
      machine.context->options.finish(machine.context->commit_may_have_succeeded
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

  // If several rows match a state and an event, the last one is tried first.
  // clang-format off
  struct transition_table : boost::mpl::vector27<  // NOLINT(readability-identifier-naming)
    front::Row<Idle, Begin, ReadingHead, ReadHead, front::none>,
    // The head has changed: by an earlier attempt at this edit, or by another edit.
    front::Row<ReadingHead, HeadRead, CheckingOperation, CheckOperation, front::none>,
    front::Row<ReadingHead, HeadRead, StoringObject, StoreObject, HeadIsBase>,
    front::Row<ReadingHead, StepFailed, Finished, GiveUp, front::none>,
    front::Row<ReadingHead, StepFailed, ReadingHead, ScheduleRetry, MayRetry>,
    front::Row<ReadingHead, RetryDue, ReadingHead, ReadHead, front::none>,
    front::Row<StoringObject, ObjectStored, Committing, Commit, front::none>,
    front::Row<StoringObject, StepFailed, Finished, GiveUp, front::none>,
    front::Row<StoringObject, StepFailed, StoringObject, ScheduleRetry, MayRetry>,
    front::Row<StoringObject, RetryDue, StoringObject, StoreObject, front::none>,
    front::Row<Committing, Committed, Finished, Accept, front::none>,
    front::Row<Committing, CommitConflict, CheckingOperation, CheckOperation, front::none>,
    front::Row<Committing, CommitResponseLost, ResolvingCommit, ResolveCommit, front::none>,
    front::Row<Committing, StepFailed, Finished, GiveUp, front::none>,
    front::Row<Committing, StepFailed, Committing, ScheduleRetry, MayRetry>,
    front::Row<Committing, RetryDue, Committing, Commit, front::none>,
    // The commit is conditional, so it is safe to send it again.
    front::Row<ResolvingCommit, OperationFound, Finished, Accept, front::none>,
    front::Row<ResolvingCommit, OperationMissing, Finished, GiveUp, front::none>,
    front::Row<ResolvingCommit, OperationMissing, Committing, ScheduleRetry, MayRetry>,
    front::Row<ResolvingCommit, StepFailed, Finished, GiveUp, front::none>,
    front::Row<ResolvingCommit, StepFailed, ResolvingCommit, ScheduleRetry, MayRetry>,
    front::Row<ResolvingCommit, RetryDue, ResolvingCommit, ReadOperation, front::none>,
    // The head has changed, so a delayed commit of this edit cannot take effect.
    front::Row<CheckingOperation, OperationFound, Finished, Accept, front::none>,
    front::Row<CheckingOperation, OperationMissing, Finished, Conflict, front::none>,
    front::Row<CheckingOperation, StepFailed, Finished, GiveUp, front::none>,
    front::Row<CheckingOperation, StepFailed, CheckingOperation, ScheduleRetry, MayRetry>,
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
  state_->machine.process_event(CommitResponseLost{});
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
