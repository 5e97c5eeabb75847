#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace lagoonwind {

/// A check inside the TOML parser failed, which malformed keys bring about in toml++ 3.3.
struct TomlAssertionError : std::logic_error {
  TomlAssertionError() : std::logic_error("malformed TOML") {}
};

[[noreturn]] inline void ThrowTomlAssertionError() { throw TomlAssertionError(); }

}  // namespace lagoonwind

// Makes the parser's own checks errors instead of the end of the process.
#define TOML_ASSERT(expr) ((expr) ? static_cast<void>(0) : ::lagoonwind::ThrowTomlAssertionError())
#define TOML_ASSERT_ASSUME(expr) TOML_ASSERT(expr)
#include <toml++/toml.h>

/// \file
/// TOML texts as tables. Include this instead of the parser's own header.
namespace lagoonwind {

/// Parses a TOML text. Thread safe.
/// \param file  Name for error messages.
/// \return Invalid argument as `FILE:LINE: what is wrong` if the text is malformed.
inline absl::StatusOr<toml::table> ParseToml(std::string_view text, const std::string& file) {
  try {
    const std::string_view name = file;
    return toml::parse(text, name);
  } catch (const toml::parse_error& error) {
    return absl::InvalidArgumentError(
        absl::StrCat(file, ":", error.source().begin.line, ": ", std::string(error.description())));
  } catch (const TomlAssertionError& error) {
    return absl::InvalidArgumentError(absl::StrCat(file, ":1: ", error.what()));
  }
}

}  // namespace lagoonwind
