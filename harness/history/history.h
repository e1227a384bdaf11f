#ifndef CAMPHORHILL_HARNESS_HISTORY_HISTORY_H_
#define CAMPHORHILL_HARNESS_HISTORY_HISTORY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace camphor {

/// Time of an event: microseconds of the machine's steady clock, which every
/// process of a run shares.
using EventTime = Microseconds;

/// A host began to serve a configuration. Immutable value type.
struct ServingEvent {
  EventTime at{};             ///< when
  std::string host{};         ///< which host
  std::uint64_t version = 0;  ///< version in force from now on
  std::string digest{};       ///< digest of what is in force

  auto operator<=>(const ServingEvent&) const = default;
};

/// A target ran a request. Immutable value type.
struct RunEvent {
  EventTime at{};         ///< when the run began
  std::string target{};   ///< which target
  std::string key{};      ///< idempotency key; empty without one
  std::string request{};  ///< request id

  auto operator<=>(const RunEvent&) const = default;
};

/// What a caller got.
enum class CallOutcome : std::uint8_t {
  kAnswered,  ///< the whole answer to its own request
  kWrong,     ///< an answer that is not its own
  kCutOff,    ///< an answer that ended early
  kNotRun,    ///< a refusal that says the request was not run
  kFailed,    ///< another refusal or error
  kNothing,   ///< the connection gave no answer
};

/// One request as its caller saw it. Immutable value type.
struct CallEvent {
  EventTime sent{};       ///< when it was sent
  EventTime ended{};      ///< when it ended for the caller
  std::string host{};     ///< host that it was sent to
  std::string path{};     ///< its path
  std::string request{};  ///< request id, unique in the run
  std::string key{};      ///< idempotency key; empty without one
  CallOutcome outcome = CallOutcome::kNothing;  ///< what the caller got
  int status = 0;                               ///< HTTP status; 0 for none
  std::string target{};  ///< target that the answer names

  auto operator<=>(const CallEvent&) const = default;
};

/// What an operator was told of an edit.
enum class EditOutcome : std::uint8_t {
  kAccepted,  ///< it made a version
  kConflict,  ///< another edit came first
  kRefused,   ///< it took no effect
  kUnknown,   ///< nobody can say
};

/// One edit of the tables as its operator saw it. Immutable value type.
struct EditEvent {
  EventTime sent{};                             ///< when it was sent
  EventTime ended{};                            ///< when the answer came
  std::string editor{};                         ///< who edited
  std::uint64_t base = 0;                       ///< version that it was on
  EditOutcome outcome = EditOutcome::kUnknown;  ///< what the operator got
  std::uint64_t version = 0;  ///< version made; for a conflict the head seen
  std::string digest{};       ///< digest of the version made

  auto operator<=>(const EditEvent&) const = default;
};

/// A target was told to leave. Immutable value type.
struct LeaveEvent {
  EventTime at{};        ///< when
  std::string target{};  ///< which target

  auto operator<=>(const LeaveEvent&) const = default;
};

/// A host shut down gracefully. Immutable value type.
struct DrainEvent {
  EventTime began{};            ///< when it was told to
  EventTime ended{};            ///< when its process had ended
  std::string host{};           ///< which host
  std::uint64_t in_flight = 0;  ///< requests that it cut off

  auto operator<=>(const DrainEvent&) const = default;
};

/// A host saw the state of a rollout. Immutable value type.
struct RolloutEvent {
  EventTime at{};       ///< when
  std::string host{};   ///< which host
  std::string id{};     ///< "pool/from/to/attempt"
  std::string stage{};  ///< name of the stage

  auto operator<=>(const RolloutEvent&) const = default;
};

/// A target of the run. Immutable value type.
struct KnownTarget {
  std::string pool{};     ///< pool that it belongs to
  std::string version{};  ///< version that it runs

  auto operator<=>(const KnownTarget&) const = default;
};

/// Everything that processes, callers and operators saw in one run.
struct History {
  std::string run_id{};                  ///< names the run in reports
  std::vector<ServingEvent> serving{};   ///< of all hosts
  std::vector<RunEvent> runs{};          ///< of all targets
  std::vector<CallEvent> calls{};        ///< of all callers
  std::vector<EditEvent> edits{};        ///< of all operators
  std::vector<LeaveEvent> leaves{};      ///< of all targets that were told to
  std::vector<DrainEvent> drains{};      ///< of all hosts that were told to
  std::vector<RolloutEvent> rollouts{};  ///< of all hosts
  std::map<std::string, KnownTarget> targets{};  ///< by id
  std::map<std::string, std::string> pool_of{};  ///< pool by path prefix

  auto operator<=>(const History&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_HISTORY_HISTORY_H_
