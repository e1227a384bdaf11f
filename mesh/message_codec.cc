#include "mesh/message_codec.h"

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <array>
#include <cstdint>
#include <cstring>

#include "mesh/wire_message.h"

namespace camphor {
namespace {

// Limits the cost of decoding malicious messages: pointers may overlap and list
// elements may have size zero, so a few bytes can encode any number of rows.
// Decoding a valid message stays below the limit.
constexpr std::uint64_t kMaxReadsPerWord = 8;
constexpr std::uint64_t kMinReadLimitWords = 128;

capnp::ReaderOptions ReaderLimits(std::size_t words) {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMinReadLimitWords + kMaxReadsPerWord * words;
  return options;
}

}  // namespace

std::string EncodeMeshMessage(const MeshMessage& message) {
  capnp::MallocMessageBuilder builder;
  WriteWireMessage(message, builder.initRoot<wire::Message>());
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<MeshMessage> DecodeMeshMessage(std::string_view bytes,
                                             std::string& reason) {
  // The reader requires aligned words. Trailing bytes cannot be part of a
  // message, because messages are whole words.
  const std::size_t count = bytes.size() / sizeof(capnp::word);
  auto words = kj::heapArray<capnp::word>(count);
  if (count > 0)
    std::memcpy(words.begin(), bytes.data(), count * sizeof(capnp::word));

  std::optional<MeshMessage> message;
  const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words, ReaderLimits(count));
    message = ReadWireMessage(reader.getRoot<wire::Message>());
  });
  KJ_IF_MAYBE (exception, failure) {
    reason = exception->getDescription().cStr();
    return std::nullopt;
  }
  return message;
}

const char* MessagePurpose(const MeshMessage& message) {
  static constexpr std::array<const char*, std::variant_size_v<MeshMessage>>
      kPurposes = {"records",   "snapshot",  "snapshot",  "evidence",
                   "heartbeat", "repair",    "repair",    "repair",
                   "repair",    "suspicion", "applied",   "quota",
                   "quota",     "freshness", "freshness", "departures",
                   "departures"};
  return kPurposes[message.index()];
}

}  // namespace camphor
