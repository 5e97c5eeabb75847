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

/// A customer that keeps a constant backlog at some entries.
struct VirtualCustomer {
  std::string name;
  std::uint32_t share = 1;
  /// Indexes of the entries that receive its requests.
  std::vector<std::size_t> entries;
  /// Mean cost of a request, in units of service.
  double mean_cost = 100;
  /// Requests waiting at each of its entries.
  std::uint32_t depth = 6;
  /// Virtual time at which it becomes backlogged.
  Time from;
};

struct VirtualFleetOptions {
  std::size_t entries = 3;
  std::size_t agents = 10;
  /// Concurrency limit of each engine.
  std::uint32_t slots = 8;
  /// Units of service that a slot provides per second.
  double rate = 50;
  std::vector<VirtualCustomer> customers;
  policy::FairShareOptions fair_share;
  std::uint64_t seed = 1;
};

/// Simulates entries and agents with the production policy code in virtual time, over fake links
/// and engines. Deterministic for given options. Not thread safe.
class VirtualFleet {
 public:
  using ActionObserver = std::function<void(MemberId from, const policy::Action& action)>;

  explicit VirtualFleet(VirtualFleetOptions options);

  void RunUntil(Time until);
  [[nodiscard]] Time now() const { return now_; }

  // Fault injection. Nodes are numbered: entries first, then agents.
  void Kill(std::size_t node);
  /// Kills the node if it is running and starts a new incarnation without state.
  void Restart(std::size_t node);
  /// A frozen node processes no events and opens no links; its engine continues to run requests.
  /// Events are queued until the node resumes.
  void SetFrozen(std::size_t node, bool frozen);
  /// Nodes in different network partitions cannot reach each other. All nodes start in 0.
  void SetPartition(std::size_t node, int partition) { nodes_[node].partition = partition; }

  /// \return The node number of an agent.
  [[nodiscard]] std::size_t agent(std::size_t index) const { return options_.entries + index; }
  /// Service that a customer has received from all engines, in units of service.
  [[nodiscard]] double Service(std::size_t customer) const { return service_[customer]; }
  /// Service received by each customer divided by its share.
  [[nodiscard]] std::vector<double> ServicePerShare() const;
  /// Fraction of the total slot time that was idle while a request waited at any entry.
  [[nodiscard]] double IdleRatio() const;
  /// Calls `observer` for every action of every node.
  void Observe(ActionObserver observer) { observer_ = std::move(observer); }
  /// Processor time that a node's policy used.
  [[nodiscard]] std::chrono::nanoseconds ProcessorTime(std::size_t node) const {
    return nodes_[node].processor_time;
  }

 private:
  struct Execution {
    std::size_t entry = 0;
    std::size_t customer = 0;
    double remaining = 0;
    bool response_started = false;
  };
  struct Node {
    policy::Member member;
    std::unique_ptr<policy::Policy> policy;
    Incarnation incarnation;
    bool alive = true;
    bool frozen = false;
    int partition = 0;
    std::set<std::size_t> wanted_peers;
    std::map<AttemptId, Execution> executions;
    /// Requests of each customer that have not started.
    std::map<std::size_t, std::set<RequestId>> waiting;
    /// Customer of each unfinished request.
    std::map<RequestId, std::size_t> customer_by_request;
    std::uint64_t last_request = 0;
    std::vector<policy::Event> held_events;
    std::chrono::nanoseconds processor_time{0};
    /// Time up to which idle slot time has been accumulated.
    Time idle_counted_until;
  };
  struct Task {
    Time at;
    std::uint64_t sequence = 0;
    std::function<void()> callback;
    bool operator<(const Task& other) const {
      return std::pair(other.at, other.sequence) < std::pair(at, sequence);
    }
  };

  void StartNode(std::size_t index);
  void Schedule(Duration delay, std::function<void()> callback);
  void Tick(std::size_t index);
  void TickAgent(std::size_t index, std::vector<policy::Event>& events);
  void TickEntry(std::size_t index, std::vector<policy::Event>& events);
  void AccumulateIdleTime(Node& node);
  void Step(std::size_t index, std::span<const policy::Event> events);
  void Execute(std::size_t index, const policy::Action& action);
  void ExecuteEntry(std::size_t index, const policy::Action& action);
  void ExecuteAgent(std::size_t index, const policy::Action& action);
  void Start(std::size_t index, const policy::StartAttempt& start);
  void Send(std::size_t from, MemberId to, policy::Event event);
  void Deliver(std::size_t index, policy::Event event);
  void OpenWantedLinks(std::size_t index);
  void DeliverLinkUp(std::size_t to, std::size_t peer);
  void DeliverLinkDown(std::size_t to, std::size_t peer, Duration delay);
  void Unlink(std::size_t first, std::size_t second, Duration delay);
  void CheckLinks();
  [[nodiscard]] bool Reachable(std::size_t first, std::size_t second) const;
  [[nodiscard]] bool IsEntry(std::size_t index) const { return index < options_.entries; }
  [[nodiscard]] std::vector<policy::Member> LiveMembers() const;
  double DrawCost(std::size_t customer);

  VirtualFleetOptions options_;
  Time now_;
  std::vector<Node> nodes_;
  std::map<MemberId, std::size_t> index_;
  std::map<CustomerId, std::size_t> customer_index_;
  /// Established links by node pair, lower index first, with the id of the link.
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> links_;
  std::map<std::pair<std::size_t, std::size_t>, Time> broken_since_;
  std::priority_queue<Task> scheduled_tasks_;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t last_link_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::mt19937_64 random_;
  std::vector<std::mt19937_64> costs_;
  std::vector<double> service_;
  std::shared_ptr<const Configuration> rules_;
  double idle_slot_seconds_ = 0;
  double slot_seconds_ = 0;
  ActionObserver observer_;
};

/// Interval between samples of the fairness gap: the largest difference in service per share
/// between two customers.
inline constexpr std::chrono::milliseconds kGapInterval{200};

/// \return The fairness gap of a central scheduler without delay over the same slots and request
/// costs, sampled every kGapInterval.
std::vector<double> OmniscientGaps(const VirtualFleetOptions& options, Duration duration);

/// \return A random generator of request costs for each customer.
std::vector<std::mt19937_64> MakeCostStreams(const VirtualFleetOptions& options);
/// Draws a request cost from a log-normal distribution, whose heavy tail makes the largest of a
/// thousand costs about twelve times the mean.
double DrawHeavyTailedCost(std::mt19937_64& random, double mean);

/// \return The largest difference between two of the values, 0 if there are none.
double Spread(std::span<const double> values);

}  // namespace lagoonwind::testing
