#include "digest.h"

#include <absl/strings/escaping.h>
#include <glog/logging.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

namespace lagoonwind::runtime {
namespace {

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
  return absl::BytesToHexString({reinterpret_cast<const char*>(digest.data()), length});
}

std::string HmacSha256(std::string_view key, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(bytes), bytes.size(),
       mac.data(), &length);
  return {reinterpret_cast<const char*>(mac.data()), length};
}

std::string RandomBytes(std::size_t count) {
  std::string bytes(count, '\0');
  const int result =
      RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count));
  CHECK_EQ(result, 1) << "RAND_bytes did not return random bytes";
  return bytes;
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace lagoonwind::runtime
