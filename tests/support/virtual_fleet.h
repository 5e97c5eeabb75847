#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "lagoonwind/policy.h"

namespace lagoonwind::testing {

/// A customer that is backlogged at some entries.
struct VirtualCustomer {
  std::string name;
  std::uint32_t share = 1;
  /// Indexes of the entries that its requests reach.
  std::vector<std::size_t> entries;
  /// Mean cost of its requests, in units of service.
  double mean_cost = 100;
  /// Requests that it keeps waiting at each of its entries.
  std::uint32_t depth = 6;
  /// When it becomes backlogged.
  Time from;
};

struct VirtualFleetOptions {
  std::size_t entries = 3;
  std::size_t agents = 10;
  /// Requests that each backend server runs at a time.
  std::uint32_t slots = 8;
  /// Units of service that a slot gives in a second.
  double rate = 50;
  std::vector<VirtualCustomer> customers;
  policy::FairShareOptions fair_share;
  std::uint64_t seed = 1;
};

/// The decisions of many entries and agents in one process and virtual time, over fakes of links
/// and engines. Equal options give equal runs. Not thread safe.
class VirtualFleet {
 public:
  using ActionObserver = std::function<void(MemberId from, const policy::Action& action)>;

  explicit VirtualFleet(VirtualFleetOptions options);

  void RunUntil(Time until);
  [[nodiscard]] Time now() const { return now_; }

  // Faults. Nodes are numbered: entries first, then agents.
  void Kill(std::size_t node);
  /// Starts a killed or running node with an empty memory.
  void Restart(std::size_t node);
  /// A frozen node takes part in nothing; its engine goes on.
  void SetFrozen(std::size_t node, bool frozen);
  /// Nodes on different sides can't reach each other.
  void SetSide(std::size_t node, int side) { nodes_[node].side = side; }

  [[nodiscard]] std::size_t agent(std::size_t index) const { return options_.entries + index; }
  /// Service that a customer received so far from all engines, in units of service.
  [[nodiscard]] double Service(std::size_t customer) const { return service_[customer]; }
  /// Service per share of each customer.
  [[nodiscard]] std::vector<double> ServicePerShare() const;
  /// Slot time that passed unused while requests waited anywhere, as a share of all.
  [[nodiscard]] double IdleShare() const;
  void Observe(ActionObserver observer) { observer_ = std::move(observer); }
  /// Processor time that a node's decisions took.
  [[nodiscard]] std::chrono::nanoseconds ProcessorTime(std::size_t node) const {
    return nodes_[node].processor_time;
  }

 private:
  struct Run {
    std::size_t entry = 0;
    std::size_t customer = 0;
    double remaining = 0;
    bool answered = false;
  };
  struct Node {
    policy::Member member;
    std::unique_ptr<policy::Policy> policy;
    Incarnation incarnation;
    bool alive = true;
    bool frozen = false;
    int side = 0;
    std::set<std::size_t> wanted;
    std::map<AttemptId, Run> runs;
    /// Requests of each customer that haven't started.
    std::map<std::size_t, std::set<RequestId>> waiting;
    /// Customer of each unfinished request.
    std::map<RequestId, std::size_t> owned;
    std::uint64_t last_request = 0;
    std::vector<policy::Event> held;
    std::chrono::nanoseconds processor_time{0};
    /// Until when idle slot time is counted.
    Time counted;
  };
  struct Task {
    Time at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Task& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  void Boot(std::size_t index);
  void After(Duration delay, std::function<void()> run);
  void Tick(std::size_t index);
  void TickEngine(std::size_t index, std::vector<policy::Event>& events);
  void TickCallers(std::size_t index, std::vector<policy::Event>& events);
  void CountIdle(Node& node);
  void Step(std::size_t index, std::span<const policy::Event> events);
  void Execute(std::size_t index, const policy::Action& action);
  void ExecuteEntry(std::size_t index, const policy::Action& action);
  void ExecuteAgent(std::size_t index, const policy::Action& action);
  void Start(std::size_t index, const policy::StartAttempt& start);
  void Send(std::size_t from, MemberId to, policy::Event event);
  void Deliver(std::size_t index, policy::Event event);
  void TryLinks(std::size_t index);
  void AnnounceLink(std::size_t to, std::size_t peer);
  void AnnounceLoss(std::size_t to, std::size_t peer, Duration notice);
  void Unlink(std::size_t first, std::size_t second, Duration notice);
  void CheckLinks();
  [[nodiscard]] bool Reachable(std::size_t first, std::size_t second) const;
  [[nodiscard]] bool IsEntry(std::size_t index) const { return index < options_.entries; }
  [[nodiscard]] std::vector<policy::Member> Members() const;
  double DrawCost(std::size_t customer);

  VirtualFleetOptions options_;
  Time now_;
  std::vector<Node> nodes_;
  std::map<MemberId, std::size_t> index_;
  std::map<CustomerId, std::size_t> customer_index_;
  /// Established links, the lower index first, with the number of the link.
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> links_;
  std::map<std::pair<std::size_t, std::size_t>, Time> broken_since_;
  std::priority_queue<Task> tasks_;
  std::uint64_t last_order_ = 0;
  std::uint64_t last_link_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::mt19937_64 delays_;
  std::vector<std::mt19937_64> costs_;
  std::vector<double> service_;
  std::shared_ptr<const Configuration> rules_;
  double idle_ = 0;
  double capacity_ = 0;
  ActionObserver observer_;
};

/// Interval between samples of the gap.
inline constexpr std::chrono::milliseconds kGapInterval{200};

/// Gaps of a central scheduler without delay on the same slots and costs, a sample each
/// kGapInterval.
std::vector<double> OmniscientGaps(const VirtualFleetOptions& options, Duration duration);

/// A stream of costs for each customer.
std::vector<std::mt19937_64> MakeCostStreams(const VirtualFleetOptions& options);
/// Heavy tail: the largest of a thousand costs is about twelve times the mean.
double HeavyCost(std::mt19937_64& random, double mean);

/// Largest difference between two of the values.
double Spread(std::span<const double> values);

}  // namespace lagoonwind::testing
