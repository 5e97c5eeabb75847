#pragma once

#include <cstddef>
#include <cstdint>

#include "lagoonwind/rollout_types.h"

/// \file
/// Statistics of roll-outs: latency classes and binomial tests.
namespace lagoonwind::policy {

/// Responses in a class this far above the median's are much slower: at least twice the median. All
/// responses that take four times the median are in such a class.
inline constexpr std::size_t kSlowClasses = 2;

/// Class of a response time. Negative times are in class 0.
std::size_t RolloutLatencyClass(Duration time);

/// Class that holds the median; the last class if the histogram is empty.
std::size_t RolloutMedianClass(const RolloutHistogram& histogram);

/// Number of responses much slower than a median in class `median`.
std::uint32_t RolloutSlow(const RolloutHistogram& histogram, std::size_t median);

/// Number of responses in the histogram.
std::uint32_t RolloutCount(const RolloutHistogram& histogram);

/// Probability of `successes` or more among `trials` of probability `rate` each.
double BinomialUpperTail(std::uint64_t successes, std::uint64_t trials, double rate);

}  // namespace lagoonwind::policy
