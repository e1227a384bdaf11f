#ifndef CAMPHORHILL_HARNESS_HISTORY_HISTORY_H_
#define CAMPHORHILL_HARNESS_HISTORY_HISTORY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace camphor {

/// Time of an event in microseconds of the steady clock, which all processes on
/// a machine share.
using EventTime = Microseconds;

/// A host started to serve a configuration. Immutable value type.
struct ServingEvent {
  EventTime at{};             ///< time of the event
  std::string host{};         ///< host name
  std::uint64_t version = 0;  ///< version served from now on
  std::string digest{};       ///< digest of the served configuration

  auto operator<=>(const ServingEvent&) const = default;
};

/// A target ran a request. Immutable value type.
struct RunEvent {
  EventTime at{};         ///< start of the run
  std::string target{};   ///< target id
  std::string key{};      ///< idempotency key; empty: none
  std::string request{};  ///< request id

  auto operator<=>(const RunEvent&) const = default;
};

/// Outcome of a request for its caller.
enum class CallOutcome : std::uint8_t {
  kAnswered,       ///< complete response to this request
  kWrongResponse,  ///< response that belongs to another request
  kTruncated,      ///< truncated response
  kNotRun,         ///< refusal that states that the request was not run
  kFailed,         ///< other refusal or error
  kNoResponse,     ///< no response
};

/// One request as observed by its caller. Immutable value type.
struct CallEvent {
  EventTime sent{};       ///< time it was sent
  EventTime ended{};      ///< time of the response or failure
  std::string host{};     ///< host that it was sent to
  std::string path{};     ///< its path
  std::string request{};  ///< request id, unique within the run
  std::string key{};      ///< idempotency key; empty: none
  CallOutcome outcome = CallOutcome::kNoResponse;  ///< outcome for the caller
  int status = 0;        ///< HTTP status; 0 without a response
  std::string target{};  ///< target named in the response

  auto operator<=>(const CallEvent&) const = default;
};

/// Outcome of an edit for its operator.
enum class EditOutcome : std::uint8_t {
  kAccepted,  ///< created a version
  kConflict,  ///< another edit was accepted first
  kRefused,   ///< had no effect
  kUnknown,   ///< may or may not have taken effect
};

/// One edit of the tables as observed by its operator. Immutable value type.
struct EditEvent {
  EventTime sent{};                             ///< time it was sent
  EventTime ended{};                            ///< time of the response
  std::string editor{};                         ///< name of the operator
  std::uint64_t base = 0;                       ///< version it was based on
  EditOutcome outcome = EditOutcome::kUnknown;  ///< outcome for the operator
  std::uint64_t version = 0;  ///< version created, or current at a conflict
  std::string digest{};       ///< digest of the created version

  auto operator<=>(const EditEvent&) const = default;
};

/// A target was requested to leave. Immutable value type.
struct LeaveEvent {
  EventTime at{};        ///< time of the event
  std::string target{};  ///< target id

  auto operator<=>(const LeaveEvent&) const = default;
};

/// A host shut down gracefully. Immutable value type.
struct DrainEvent {
  EventTime began{};            ///< time of the request to drain
  EventTime ended{};            ///< time its process had exited
  std::string host{};           ///< host name
  std::uint64_t in_flight = 0;  ///< requests that it aborted

  auto operator<=>(const DrainEvent&) const = default;
};

/// A host observed the state of a rollout. Immutable value type.
struct RolloutEvent {
  EventTime at{};       ///< time of the event
  std::string host{};   ///< host name
  std::string id{};     ///< "pool/from/to/attempt"
  std::string stage{};  ///< name of the stage

  auto operator<=>(const RolloutEvent&) const = default;
};

/// Pool and version of a target in the run. Immutable value type.
struct KnownTarget {
  std::string pool{};     ///< pool that it belongs to
  std::string version{};  ///< version that it runs

  auto operator<=>(const KnownTarget&) const = default;
};

/// All events that processes, callers and operators recorded in one run.
struct History {
  std::string run_id{};                  ///< name of the run in reports
  std::vector<ServingEvent> serving{};   ///< of all hosts
  std::vector<RunEvent> runs{};          ///< of all targets
  std::vector<CallEvent> calls{};        ///< of all callers
  std::vector<EditEvent> edits{};        ///< of all operators
  std::vector<LeaveEvent> leaves{};      ///< of all targets requested to leave
  std::vector<DrainEvent> drains{};      ///< of all drained hosts
  std::vector<RolloutEvent> rollouts{};  ///< of all hosts
  std::map<std::string, KnownTarget> targets{};         ///< by id
  std::map<std::string, std::string> pool_by_prefix{};  ///< pool by path prefix

  auto operator<=>(const History&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_HISTORY_HISTORY_H_
