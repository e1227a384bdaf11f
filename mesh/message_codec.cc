#include "mesh/message_codec.h"

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <array>
#include <cstdint>
#include <cstring>

#include "mesh/wire_message.h"

namespace camphor {
namespace {

// Pointers may overlap and elements may take no room, so that a few bytes could
// stand for any number of rows. A sound message is read less often than this.
constexpr std::uint64_t kMostReadsOfAWord = 8;
constexpr std::uint64_t kLeastReadLimitWords = 128;

capnp::ReaderOptions BoundedBy(std::size_t words) {
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      kLeastReadLimitWords + kMostReadsOfAWord * words;
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
  // The reader needs aligned words; what is left over can not be a message.
  const std::size_t count = bytes.size() / sizeof(capnp::word);
  auto words = kj::heapArray<capnp::word>(count);
  if (count > 0)
    std::memcpy(words.begin(), bytes.data(), count * sizeof(capnp::word));

  std::optional<MeshMessage> message;
  const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words, BoundedBy(count));
    message = ReadWireMessage(reader.getRoot<wire::Message>());
  });
  KJ_IF_MAYBE (exception, failure) {
    reason = exception->getDescription().cStr();
    return std::nullopt;
  }
  return message;
}

const char* PurposeOf(const MeshMessage& message) {
  static constexpr std::array<const char*, std::variant_size_v<MeshMessage>>
      kPurposes = {"records",   "snapshot",  "snapshot", "evidence",
                   "heartbeat", "repair",    "repair",   "repair",
                   "repair",    "suspicion", "applied"};
  return kPurposes[message.index()];
}

}  // namespace camphor
