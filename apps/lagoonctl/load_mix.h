#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace lagoonwind::ctl {

/// A stream of requests from one customer.
struct LoadStream {
  std::string customer;
  /// Bearer token.
  std::string token;
  /// Name of a model or of a plain service.
  std::string target;
  /// Mean rate of Poisson arrivals, in requests per second.
  double rate = 1;
  /// Number of tokens to generate; 0 if the target is a plain service.
  int max_tokens = 0;
  /// Bytes of filler in the prompt or request body, in addition to the key of the request.
  int prompt_bytes = 0;

  [[nodiscard]] bool is_model() const { return max_tokens > 0; }
};

/// Parses a load mix in TOML: a list of `[[stream]]` with `customer`, `target` and optionally
/// `requests_per_second` (default 1), `token` (default `token-CUSTOMER`), `max_tokens` and
/// `prompt_bytes` (default 0). Thread safe.
/// \param file  File name for error messages.
/// \return InvalidArgument with one line for each error, `FILE:LINE: problem; what is allowed`.
absl::StatusOr<std::vector<LoadStream>> ParseMix(std::string_view text, const std::string& file);

}  // namespace lagoonwind::ctl
