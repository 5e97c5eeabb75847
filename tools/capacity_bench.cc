#include "capacity_bench.h"

#include <algorithm>
#include <cmath>

namespace lagoonwind::bench {
namespace {

using policy::Action;
using policy::Event;

constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr Duration kObserveInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t kBacklog = 1000;
const CustomerId kCustomer = HandleOf<CustomerId>("erie");
const TargetId kTarget = HandleOf<TargetId>("crest");
const MemberId kEntry = HandleOf<MemberId>("entry");

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::shared_ptr<const Configuration> Rules() {
  Configuration rules{.offset = 0};
  rules.customers[kCustomer] = CustomerRule{.name = "erie"};
  rules.targets[kTarget] = TargetRule{.name = "crest"};
  return std::make_shared<const Configuration>(std::move(rules));
}

/// A request that runs on the simulated engine.
struct Generation {
  int length = 0;
  int tokens = 0;
  /// Fraction of the next token that is generated.
  double progress = 0;
  double jitter = 1;
  Time last_token;
};

/// Simulated inference engine with continuous batching. Reports its progress as events for the
/// agent's policy.
class SimulatedEngine {
 public:
  SimulatedEngine(const EngineModel& model, std::uint64_t seed) : model_(model), random_(seed) {}

  /// Current capacity, rounded down to whole requests.
  [[nodiscard]] double Capacity(Time now) const {
    const double growth = model_.capacity_growth_per_second * Seconds(now - cold_since_);
    return std::floor(std::min(model_.warm_capacity, model_.cold_capacity + growth));
  }
  [[nodiscard]] std::size_t running() const { return running_.size(); }
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] double Load(Time now) const {
    return static_cast<double>(running_.size()) / Capacity(now);
  }

  void ResetToCold(Time now) { cold_since_ = now; }

  void Start(Time now, AttemptId attempt, int length) {
    running_[attempt] = Generation{.length = length, .jitter = Jitter(), .last_token = now};
  }

  /// Ends the current incarnation and interrupts all requests.
  /// \return Attempts that were interrupted.
  std::vector<AttemptId> Crash(Time now) {
    std::vector<AttemptId> interrupted;
    for (const auto& [id, generation] : running_) {
      interrupted.push_back(id);
    }
    running_.clear();
    ++incarnation_;
    ResetToCold(now);
    return interrupted;
  }

  /// Generates the tokens of one tick and appends the events for them.
  /// \return Number of tokens generated.
  std::uint64_t Generate(Time now, std::vector<Event>& events) {
    std::uint64_t tokens = 0;
    const double slowdown = model_.Slowdown(Load(now));
    for (auto item = running_.begin(); item != running_.end();) {
      Generation& generation = item->second;
      const Duration base =
          generation.tokens == 0 ? model_.time_to_first_token : model_.token_interval;
      generation.progress += Seconds(kTick) / (Seconds(base) * slowdown * generation.jitter);
      if (generation.progress < 1) {
        ++item;
        continue;
      }
      ++tokens;
      AddToken(now, item->first, generation, events);
      item = generation.tokens == generation.length ? running_.erase(item) : std::next(item);
    }
    return tokens;
  }

 private:
  double Jitter() {
    return std::uniform_real_distribution<double>(1 - model_.jitter, 1 + model_.jitter)(random_);
  }

  void AddToken(Time now, AttemptId id, Generation& generation, std::vector<Event>& events) {
    const Duration elapsed = now - generation.last_token;
    if (generation.tokens == 0) {
      events.emplace_back(
          policy::BackendResponseStarted{.attempt = id, .time_to_first_token = elapsed});
    }
    events.emplace_back(
        policy::ServiceAccrued{.attempt = id,
                               .service = 1,
                               .tokens = 1,
                               .generation_time = generation.tokens == 0 ? Duration{0} : elapsed});
    ++generation.tokens;
    generation.progress -= 1;
    generation.jitter = Jitter();
    generation.last_token = now;
    if (generation.tokens == generation.length) {
      events.emplace_back(
          policy::AttemptFinished{.attempt = id, .result = policy::AttemptResult::kComplete});
    }
  }

  EngineModel model_;
  std::mt19937_64 random_;
  std::map<AttemptId, Generation> running_;
  std::uint64_t incarnation_ = 1;
  Time cold_since_;
};

/// One simulation of agent and engine.
class Bench {
 public:
  explicit Bench(const BenchOptions& options)
      : options_(options), engine_(options.engine, options.seed), random_(options.seed + 1) {}

  BenchResult Run() {
    ReplaceAgent();
    for (now_ = Time{}; now_ < Time{} + options_.length; now_ += kTick) {
      InjectFaults();
      const std::uint64_t tokens = engine_.Generate(now_, events_);
      Account(tokens);
      Observe();
      options_.fixed_concurrency_limit > 0 ? StartUpToFixedLimit() : StepAgent();
    }
    result_.throughput = tokens_ / attainable_tokens_;
    result_.occupancy = running_sum_ / capacity_sum_;
    return result_;
  }

 private:
  static bool Due(const std::vector<Duration>& times, Time now) {
    return std::ranges::any_of(
        times, [&](Duration at) { return now >= Time{} + at && now < Time{} + at + kTick; });
  }

  void InjectFaults() {
    if (Due(options_.cold_resets, now_)) {
      engine_.ResetToCold(now_);
      last_cold_reset_ = now_;
    }
    if (Due(options_.agent_restarts, now_)) {
      ReplaceAgent();
    }
  }

  void ReplaceAgent() {
    ++incarnation_;
    agent_ = policy::MakePolicy(
        {.role = policy::Role::kAgent, .name = "agent", .incarnation = {incarnation_}});
    offers_.clear();
    events_.clear();
    events_.emplace_back(policy::ConfigurationAccepted{.configuration = Rules()});
    events_.emplace_back(
        policy::LinkUp{.member = {.id = kEntry, .name = "entry", .role = policy::Role::kEntry},
                       .incarnation = {1}});
    ReportDemand();
    next_observation_ = now_;
  }

  void ReportDemand() {
    events_.emplace_back(policy::DemandReported{
        .entry = kEntry,
        .demand = {{.customer = kCustomer, .target = kTarget, .count = kBacklog}}});
  }

  void Observe() {
    if (now_ < next_observation_) {
      return;
    }
    next_observation_ = now_ + kObserveInterval;
    events_.emplace_back(
        policy::BackendObserved{.reachable = true,
                                .incarnation = engine_.incarnation(),
                                .targets = {kTarget},
                                .running = static_cast<std::uint32_t>(engine_.running())});
    ReportDemand();
  }

  void StepAgent() {
    std::ranges::move(offers_, std::back_inserter(events_));
    offers_.clear();
    const std::vector<Event> events = std::exchange(events_, {});
    for (const Action& action : agent_->Step(now_, events)) {
      if (const auto* grant = std::get_if<policy::SendGrant>(&action)) {
        const AttemptId attempt{.request = {.entry = {1}, .number = ++last_request_number_},
                                .attempt = 1};
        offers_.emplace_back(
            policy::OfferReceived{.entry = kEntry,
                                  .attempt = attempt,
                                  .traits = {.customer = kCustomer, .target = kTarget},
                                  .grant = grant->grant});
      } else if (const auto* start = std::get_if<policy::StartAttempt>(&action)) {
        Start(start->attempt);
      }
    }
  }

  void StartUpToFixedLimit() {
    events_.clear();
    const std::size_t free = options_.fixed_concurrency_limit - engine_.running();
    for (std::size_t i = 0; i < free; ++i) {
      Start(AttemptId{.request = {.entry = {1}, .number = ++last_request_number_}, .attempt = 1});
    }
  }

  void Start(AttemptId attempt) {
    std::uniform_int_distribution<int> length(options_.min_tokens, options_.max_tokens);
    engine_.Start(now_, attempt, length(random_));
    const bool in_grace_period =
        last_cold_reset_ && now_ - *last_cold_reset_ <= options_.overload_grace;
    if (engine_.Load(now_) > 1 && !in_grace_period) {
      ++result_.overloads;
    }
    if (engine_.Load(now_) > options_.engine.crash_load && !in_grace_period) {
      ++result_.crashes;
      for (const AttemptId id : engine_.Crash(now_)) {
        events_.emplace_back(policy::AttemptFinished{.attempt = id,
                                                     .result = policy::AttemptResult::kUnknown,
                                                     .reason = policy::Reason::kBackendCrashed});
      }
    }
  }

  void Account(std::uint64_t tokens) {
    if (now_ < Time{} + options_.warm_up) {
      return;
    }
    const double capacity = engine_.Capacity(now_);
    const auto rate = [&](double load) { return load / options_.engine.Slowdown(load); };
    const double max_rate = std::max(rate(options_.engine.knee), rate(1)) * capacity;
    tokens_ += static_cast<double>(tokens);
    attainable_tokens_ += max_rate * Seconds(kTick) / Seconds(options_.engine.token_interval);
    running_sum_ += std::min(static_cast<double>(engine_.running()), capacity);
    capacity_sum_ += capacity;
  }

  BenchOptions options_;
  SimulatedEngine engine_;
  std::mt19937_64 random_;
  std::unique_ptr<policy::Policy> agent_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t last_request_number_ = 0;
  Time now_;
  Time next_observation_;
  std::optional<Time> last_cold_reset_;
  std::vector<Event> events_;
  /// Offers in transit to the agent; they arrive one tick later.
  std::vector<Event> offers_;
  BenchResult result_;
  double tokens_ = 0;
  double attainable_tokens_ = 0;
  double running_sum_ = 0;
  double capacity_sum_ = 0;
};

}  // namespace

double EngineModel::Slowdown(double load) const {
  if (load <= knee) {
    return 1;
  }
  const double near = std::min(load, 1.0) - knee;
  const double above = std::max(load - 1, 0.0);
  return 1 + (slowdown_at_capacity - 1) * near / (1 - knee) + slowdown_above_capacity * above;
}

BenchResult RunCapacityBench(const BenchOptions& options) { return Bench(options).Run(); }

}  // namespace lagoonwind::bench
