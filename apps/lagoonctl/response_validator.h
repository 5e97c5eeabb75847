#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "load_mix.h"
#include "load_result.h"

namespace lagoonwind::ctl {

/// Prefix that an engine of the local fleet gives to each token that it generates for a request.
/// Thread safe.
/// \param messages  JSON of the request's messages.
std::string StandInTokenPrefix(std::string_view messages);

/// Checks while a response arrives whether it is complete and belongs to the request, and adds its
/// latencies, tokens and outcome to a tally. Not thread safe.
class ResponseValidator {
 public:
  using Clock = std::chrono::steady_clock;

  /// \param stream  Must outlive this object, as must `tally`.
  /// \param key     Identifies the request's own response: the idempotency key that services of the
  ///                local fleet return, or StandInTokenPrefix for its engines.
  ResponseValidator(const LoadStream& stream, std::string key, Clock::time_point sent, Tally& tally)
      : stream_(stream), key_(std::move(key)), sent_(sent), last_(sent), tally_(tally) {}

  /// Processes a part of the body; it may begin and end within an event.
  void OnBodyPart(std::string_view part, Clock::time_point now);
  /// Records the end of the response.
  /// \param status   HTTP status; 0 if the response was cut off or never arrived.
  /// \param outcome  `complete`, `not-run` or another value of the header Lagoonwind-Outcome.
  /// \param body     Whole body; used for plain services only.
  void OnEnd(unsigned status, std::string_view outcome, std::string_view body,
             Clock::time_point now);

 private:
  void OnEvent(std::string_view event, Clock::time_point now);
  void MarkResponded();
  [[nodiscard]] bool IsValid(std::string_view body) const;

  const LoadStream& stream_;
  std::string key_;
  Clock::time_point sent_;
  Clock::time_point last_;
  Tally& tally_;
  /// Bytes of an incomplete event.
  std::string partial_;
  int tokens_ = 0;
  bool responded_ = false;
  /// False once a token was out of order, another request's or after the final event.
  bool tokens_valid_ = true;
  bool done_ = false;
};

}  // namespace lagoonwind::ctl
