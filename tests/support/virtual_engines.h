#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <iterator>
#include <map>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

#include "lagoonwind/engine_load.h"

/// \file
/// Gateways that share engines of uneven speed, in virtual time.
namespace lagoonwind::policy {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr double kNominalRate = 92100;
/// The gateways' initial belief, less than half of the true rate.
constexpr double kInitialRate = 40000;
/// Time from the end of a prefill to the first byte at the gateway.
constexpr Duration kOverhead = milliseconds(60);
constexpr Duration kReportInterval = milliseconds(120);
constexpr Duration kStep = milliseconds(5);

inline Time At(Duration since_start) { return Time{std::chrono::seconds(100)} + since_start; }

/// An engine that prefills prompts in order of arrival.
struct VirtualEngine {
  double rate = 0;
  /// Slow spells: 90 of every 600 ms take 2.5 times as long.
  bool has_spells = false;
  Time busy_until{};

  /// Returns the time of the first byte.
  Time Send(std::int64_t tokens, Time now) {
    Time end = std::max(busy_until, now);
    auto left = static_cast<double>(tokens);
    while (left > 0) {
      const bool slow =
          has_spells && end.time_since_epoch() % milliseconds(4000) < milliseconds(600);
      const double done = (slow ? rate / 2.5 : rate) * 0.001;
      left -= done;
      end += milliseconds(1);
    }
    busy_until = end;
    return end + kOverhead;
  }
};

/// Gateways that send prompts to random engines and report to each other.
class VirtualGateways {
 public:
  VirtualGateways(int gateways, std::vector<VirtualEngine> engines) : engines_(std::move(engines)) {
    for (int i = 0; i < gateways; ++i) {
      loads_.emplace_back(EngineLoadOptions{.prefill_rate = kInitialRate});
    }
  }

  /// Sends prompts of 9,000 tokens that use `utilization` of all engines, until `end`.
  void Run(Duration end, double utilization) {
    const double total_rate =
        std::accumulate(engines_.begin(), engines_.end(), 0.0,
                        [](double sum, const VirtualEngine& engine) { return sum + engine.rate; });
    const double sends_per_step = total_rate * utilization / kPromptTokens * Seconds(kStep).count();
    double due = 0;
    for (; now_ < At(end); now_ += kStep) {
      DeliverFirstBytes();
      for (due += sends_per_step; due >= 1; due -= 1) {
        Send();
      }
      if (now_ - last_report_ >= kReportInterval) {
        Report();
      }
    }
  }

  /// Makes the events of one gateway late by up to `delay`.
  void MakeLate(std::size_t gateway, Duration delay) { delays_[gateway] = delay; }
  [[nodiscard]] double Rate(std::size_t gateway, std::size_t engine) const {
    return loads_[gateway].prefill_rate(ServerId{engine + 1});
  }
  [[nodiscard]] std::size_t size() const { return loads_.size(); }

 private:
  static constexpr double kPromptTokens = 9000;
  struct Pending {
    std::size_t gateway = 0;
    std::size_t engine = 0;
    EngineLoad::RequestNumber number = 0;
    Duration delay{0};
  };

  void Send() {
    const std::size_t gateway = random_() % loads_.size();
    // In proportion to the engines' speeds, as a balanced load would be.
    std::vector<double> weights(engines_.size());
    std::ranges::transform(engines_, weights.begin(), &VirtualEngine::rate);
    const std::size_t engine =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
    const Prompt prompt{.input_tokens = static_cast<std::int64_t>(kPromptTokens),
                        .segments = {{.id = ++last_id_, .tokens = 9000}}};
    const auto number = loads_[gateway].RecordSent(ServerId{engine + 1}, prompt, now_);
    const auto found = delays_.find(gateway);
    const Duration delay = found == delays_.end() ? Duration{0} : found->second;
    pending_.emplace(engines_[engine].Send(static_cast<std::int64_t>(kPromptTokens), now_) + delay,
                     Pending{gateway, engine, number, delay});
  }

  void DeliverFirstBytes() {
    while (!pending_.empty() && pending_.begin()->first <= now_) {
      const Pending& item = pending_.begin()->second;
      EngineLoad& load = loads_[item.gateway];
      load.RecordFirstByte(ServerId{item.engine + 1}, item.number, now_, item.delay);
      load.RecordEnd(ServerId{item.engine + 1}, item.number, now_);
      pending_.erase(pending_.begin());
    }
  }

  void Report() {
    last_report_ = now_;
    std::vector<std::vector<EngineReport>> reports;
    std::ranges::transform(loads_, std::back_inserter(reports), &EngineLoad::LocalReports);
    for (std::size_t to = 0; to < loads_.size(); ++to) {
      for (std::size_t from = 0; from < loads_.size(); ++from) {
        if (from != to) {
          loads_[to].MergePeerReport(Incarnation{from + 1}, reports[from], {}, now_);
        }
      }
    }
  }

  std::vector<VirtualEngine> engines_;
  /// A deque, as EngineLoad cannot be copied.
  std::deque<EngineLoad> loads_;
  std::multimap<Time, Pending> pending_;
  std::map<std::size_t, Duration> delays_;
  std::mt19937_64 random_{7};  // NOLINT(cert-msc51-cpp): a fixed seed makes the test repeatable.
  std::uint64_t last_id_ = 0;
  Time now_ = At(Duration{0});
  Time last_report_ = now_;
};

inline std::vector<VirtualEngine> UnevenEngines(bool has_spells = false) {
  return {{.rate = 0.6 * kNominalRate, .has_spells = has_spells},
          {.rate = 1.0 * kNominalRate, .has_spells = has_spells},
          {.rate = 1.6 * kNominalRate, .has_spells = has_spells}};
}

}  // namespace lagoonwind::policy
