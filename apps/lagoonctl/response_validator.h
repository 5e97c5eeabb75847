#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "load_mix.h"
#include "load_result.h"

namespace lagoonwind::ctl {

/// What the local fleet's engines mark each token of an answer with. Thread safe.
/// \param messages  JSON of the request's messages.
std::string StandInTokenPrefix(std::string_view messages);

/// Follows one answer as it arrives and judges whether it is whole and the caller's own.
/// Not thread safe.
class ResponseValidator {
 public:
  using Clock = std::chrono::steady_clock;

  /// \param key  What shows that an answer is the request's own: the idempotency key that services
  ///             of the local fleet give back, or the mark that its engines write.
  ResponseValidator(const LoadStream& stream, std::string key, Clock::time_point sent, Tally& tally)
      : stream_(stream), key_(std::move(key)), sent_(sent), last_(sent), tally_(tally) {}

  /// Takes in a part of the body.
  void OnBodyPart(std::string_view part, Clock::time_point now);
  /// The answer is over.
  /// \param status   HTTP status, 0 if the answer broke off or never came.
  /// \param outcome  What the fleet says of it.
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
  /// Bytes of an event that isn't over.
  std::string partial_;
  int tokens_ = 0;
  bool responded_ = false;
  bool tokens_valid_ = true;
  bool done_ = false;
};

}  // namespace lagoonwind::ctl
