#pragma once

#include <string>
#include <string_view>

namespace lagoonwind::runtime {

/// Returns the SHA-256 in lower-case hexadecimal. Thread safe.
std::string Sha256Hex(std::string_view bytes);

/// Returns the HMAC-SHA-256 as raw bytes. Thread safe.
std::string HmacSha256(std::string_view key, std::string_view bytes);

/// Returns cryptographically secure random bytes; terminates the process if there are none. Thread
/// safe.
std::string RandomBytes(std::size_t count);

/// Compares two texts. For equal sizes, the time taken does not depend on where they differ. Thread
/// safe.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

}  // namespace lagoonwind::runtime
