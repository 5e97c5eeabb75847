#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace lagoonwind::ctl {

/// One stream of requests of one customer.
struct LoadStream {
  std::string customer;
  std::string token;
  /// Name of a model or of a plain service.
  std::string target;
  /// Mean rate of Poisson arrivals, in requests a second.
  double rate = 1;
  /// Tokens asked for; 0 means that the target is a plain service.
  int max_tokens = 0;
  /// Bytes of the prompt or of the call's body, beside what identifies the request.
  int prompt_bytes = 0;

  [[nodiscard]] bool is_model() const { return max_tokens > 0; }
};

/// Parses a mix in TOML: a list of `[[stream]]` with `customer`, `target`, `requests_per_second`,
/// and optionally `token`, `max_tokens` and `prompt_bytes`. Thread safe.
/// \param file  Name for error messages.
/// \return Invalid argument with every fault as `FILE:LINE: what is wrong; what is allowed`.
absl::StatusOr<std::vector<LoadStream>> ParseMix(std::string_view text, const std::string& file);

}  // namespace lagoonwind::ctl
