#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace lagoonwind {

/// Thrown when an assertion inside toml++ fails. In toml++ 3.3, malformed keys can cause that.
struct TomlAssertionError : std::logic_error {
  TomlAssertionError() : std::logic_error("malformed TOML") {}
};

[[noreturn]] inline void ThrowTomlAssertionError() { throw TomlAssertionError(); }

}  // namespace lagoonwind

// Turns failed assertions of the parser into exceptions; by default they abort the process.
#define TOML_ASSERT(expr) ((expr) ? static_cast<void>(0) : ::lagoonwind::ThrowTomlAssertionError())
#define TOML_ASSERT_ASSUME(expr) TOML_ASSERT(expr)
#include <toml++/toml.h>

/// \file
/// TOML parsing without exceptions. Include this header instead of toml++, because the assertion
/// macros must be defined before toml++ is included.
namespace lagoonwind {

/// Parses a TOML document. Thread safe.
/// \param file  File name for error messages.
/// \return InvalidArgument with the message `FILE:LINE: DESCRIPTION` if the text is malformed.
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
