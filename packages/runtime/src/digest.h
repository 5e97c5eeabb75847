#pragma once

#include <string>
#include <string_view>

namespace lagoonwind::runtime {

/// Lower-case hexadecimal SHA-256. Thread safe.
std::string Sha256Hex(std::string_view bytes);

/// HMAC-SHA-256, raw bytes. Thread safe.
std::string HmacSha256(std::string_view key, std::string_view bytes);

/// Unpredictable bytes from the operating system. Thread safe.
std::string RandomBytes(std::size_t count);

/// Compares without revealing by its run time where the texts differ. Thread safe.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

}  // namespace lagoonwind::runtime
