#include "core/base/digest.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <cstddef>
#include <iterator>
#include <utility>

namespace camphor {

struct Digest::Stream::State {
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context{
      EVP_MD_CTX_new(), &EVP_MD_CTX_free};
};

Digest::Stream::Stream() : state_(std::make_unique<State>()) {
  EVP_DigestInit_ex(state_->context.get(), EVP_sha256(), nullptr);
}

Digest::Stream::~Stream() = default;

void Digest::Stream::Add(std::string_view bytes) {
  EVP_DigestUpdate(state_->context.get(), bytes.data(), bytes.size());
}

Digest Digest::Stream::Finish() {
  std::array<unsigned char, EVP_MAX_MD_SIZE> raw{};
  unsigned size = 0;
  EVP_DigestFinal_ex(state_->context.get(), raw.data(), &size);
  Digest digest;
  digest.hex_.reserve(2 * std::size_t{size});
  for (unsigned index = 0; index < size; ++index)
    fmt::format_to(std::back_inserter(digest.hex_), "{:02x}", raw[index]);
  return digest;
}

Digest Digest::Of(std::string_view bytes) {
  Stream stream;
  stream.Add(bytes);
  return stream.Finish();
}

Digest Digest::FromHex(std::string hex) {
  Digest digest;
  digest.hex_ = std::move(hex);
  return digest;
}

}  // namespace camphor
