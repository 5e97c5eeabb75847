#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "lagoonwind/crash_suspects.h"
#include "lagoonwind/segment_quarantine.h"

namespace lagoonwind::gateway {

/// One quarantine, as the store keeps it.
struct Quarantine {
  std::uint64_t id = 0;
  Time last_crash;
  /// Trials that were begun since it was quarantined.
  int trials = 0;
};

/// What this gateway has quarantined of one kind. Implementations are not thread safe.
class QuarantineList {
 public:
  QuarantineList() = default;
  QuarantineList(const QuarantineList&) = delete;
  QuarantineList& operator=(const QuarantineList&) = delete;
  virtual ~QuarantineList() = default;

  [[nodiscard]] virtual std::vector<Quarantine> Entries() const = 0;
  [[nodiscard]] virtual std::optional<Quarantine> Find(std::uint64_t id) const = 0;
  /// Applies a quarantine that the store holds.
  virtual void Merge(const Quarantine& quarantine) = 0;
  /// Ends the quarantine, unless there was a crash after `at`.
  virtual void MergeResponse(std::uint64_t id, Time at) = 0;
  /// True if a response after `time` has shown that there is no reason for a quarantine.
  [[nodiscard]] virtual bool RespondedAfter(std::uint64_t id, Time time) const = 0;
  /// Records of quarantines that are too old to have an effect are deleted if this is true. There
  /// are few segments, but any number of requests.
  [[nodiscard]] virtual bool deletes_expired() const = 0;
};

/// Quarantined prompt segments.
class SegmentList final : public QuarantineList {
 public:
  /// \param segments        Must outlive this object.
  /// \param on_quarantined  Called with each segment that the store has quarantined.
  SegmentList(policy::SegmentQuarantine& segments,
              std::function<void(policy::SegmentId)> on_quarantined)
      : segments_(segments), on_quarantined_(std::move(on_quarantined)) {}

  [[nodiscard]] std::vector<Quarantine> Entries() const override;
  [[nodiscard]] std::optional<Quarantine> Find(std::uint64_t id) const override;
  void Merge(const Quarantine& quarantine) override;
  void MergeResponse(std::uint64_t id, Time at) override;
  [[nodiscard]] bool RespondedAfter(std::uint64_t id, Time time) const override;
  [[nodiscard]] bool deletes_expired() const override { return false; }

 private:
  policy::SegmentQuarantine& segments_;
  std::function<void(policy::SegmentId)> on_quarantined_;
};

/// Quarantined requests.
class RequestList final : public QuarantineList {
 public:
  /// \param suspects        Must outlive this object.
  /// \param on_quarantined  Called with each request that the store has quarantined.
  RequestList(policy::CrashSuspects& suspects, std::function<void(Digest)> on_quarantined)
      : suspects_(suspects), on_quarantined_(std::move(on_quarantined)) {}

  [[nodiscard]] std::vector<Quarantine> Entries() const override;
  [[nodiscard]] std::optional<Quarantine> Find(std::uint64_t id) const override;
  void Merge(const Quarantine& quarantine) override;
  void MergeResponse(std::uint64_t id, Time at) override;
  [[nodiscard]] bool RespondedAfter(std::uint64_t id, Time time) const override;
  [[nodiscard]] bool deletes_expired() const override { return true; }

 private:
  policy::CrashSuspects& suspects_;
  std::function<void(Digest)> on_quarantined_;
};

}  // namespace lagoonwind::gateway
