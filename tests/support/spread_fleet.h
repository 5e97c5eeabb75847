#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lagoonwind/policy.h"
#include "lagoonwind/rules_history.h"

/// \file
/// Simulates the distribution of rules among many processes in virtual time, with the production
/// policy code over a fake log and fake links, and injects faults.
namespace lagoonwind::testing {

struct SpreadFleetOptions {
  int entries = 3;
  int agents = 6;
  int zones = 3;
  /// Agents that each entry is linked to; 0 for all.
  int links = 0;
  std::string rules = "zone z0 in # asked by: test\n";
  Duration latency = std::chrono::milliseconds(1);
  Duration log_latency = std::chrono::milliseconds(5);
};

/// Fake of the platform's log stream of rules.
struct VirtualLog {
  std::vector<std::string> records;
  /// Offset of the oldest record that can be read.
  std::int64_t first = 0;
  /// True while all reads and appends fail.
  bool down = false;
  std::uint64_t reads = 0;
  std::uint64_t appends = 0;
  std::uint64_t records_read = 0;
};

/// Simulates the processes of a fleet. They are numbered, entries first, then agents; process i is
/// in zone i % zones. Not thread safe.
class SpreadFleet {
 public:
  explicit SpreadFleet(const SpreadFleetOptions& options);

  /// Appends a proposal of rules based on the configuration in force. \return Offset of the record.
  std::int64_t Apply(const std::string& text);
  /// Delivers the host list to every running process.
  void PublishHosts();
  /// Advances virtual time.
  void Run(Duration time);
  /// Advances virtual time until the condition holds.
  /// \return The time that it took, or `max_wait` if the condition did not hold by then.
  Duration RunUntil(const std::function<bool()>& condition, Duration max_wait);

  void Kill(int i);
  /// Kills the process if it is running and starts a new incarnation without state.
  void Restart(int i);
  void Freeze(int i, bool frozen) { processes_[Index(i)].frozen = frozen; }
  void CutFromLog(int i, bool cut) { processes_[Index(i)].log_cut = cut; }
  void CutFromLinks(int i, bool cut) { processes_[Index(i)].links_cut = cut; }
  /// Cuts a zone off from the log and from all other zones, or reconnects it.
  void CutZone(int zone, bool cut);
  /// Delivers an event to a process at its next step; no effect if it is not running.
  void Post(int i, policy::Event event);

  [[nodiscard]] int size() const { return static_cast<int>(processes_.size()); }
  [[nodiscard]] int zone(int i) const { return i % options_.zones; }
  [[nodiscard]] bool alive(int i) const { return processes_[Index(i)].policy != nullptr; }
  /// Stats of a process, which must be running.
  [[nodiscard]] policy::Stats stats(int i) const { return processes_[Index(i)].policy->stats(); }
  /// True if every running process that is not frozen has the configuration at the offset.
  [[nodiscard]] bool AllHaveConfiguration(std::int64_t offset) const;
  /// Bytes that a process has sent over its links.
  [[nodiscard]] std::uint64_t bytes(int i) const { return processes_[Index(i)].bytes; }
  /// True if a process ever replaced its configuration by an older one without a restart.
  [[nodiscard]] bool regressed() const { return regressed_; }
  VirtualLog& log() { return log_; }
  [[nodiscard]] Time now() const { return now_; }

 private:
  struct Delivery {
    Time at;
    policy::Event event;
  };
  struct Process {
    policy::Member member;
    std::unique_ptr<policy::Policy> policy;
    std::uint64_t start_count = 0;
    bool frozen = false;
    bool log_cut = false;
    bool links_cut = false;
    bool zone_cut = false;
    std::vector<Delivery> inbox;
    std::vector<std::size_t> links;
    policy::AnnounceVersion version;
    std::uint64_t bytes = 0;
    Time next_step;
  };
  struct Link {
    int entry = 0;
    int agent = 0;
    bool up = false;
    Time last_received;
    Time next_ping;
  };

  static std::size_t Index(int i) { return static_cast<std::size_t>(i); }
  void Tick();
  void UpdateLink(Link& link);
  [[nodiscard]] bool Reachable(const Link& link) const;
  void SetLinkState(Link& link, bool up);
  void SendVersion(int from, int to);
  void Step(int i);
  void Execute(int i, const policy::Action& action);
  void Read(int i, std::int64_t from);
  void SendConfiguration(int i, const policy::SendConfiguration& text);
  /// Sends an event over the link between two processes if the link is up; delivers it if the peer
  /// is reachable or frozen.
  void Send(int from, int to, policy::Event event, std::size_t bytes);
  [[nodiscard]] int IndexOf(MemberId member) const;
  template <class Visit>
  void ForEachPeer(int i, const Visit& visit);

  SpreadFleetOptions options_;
  VirtualLog log_;
  std::vector<Process> processes_;
  std::vector<Link> links_;
  std::vector<policy::Member> hosts_;
  Time now_{std::chrono::seconds(1)};
  bool regressed_ = false;
};

}  // namespace lagoonwind::testing
