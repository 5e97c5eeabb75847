#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <malloc.h>

#include <array>
#include <ctime>
#include <functional>
#include <iostream>
#include <vector>

#include "lagoonwind/policy.h"
#include "lagoonwind/rules.h"
#include "lagoonwind/wire.h"
#include "metrics.h"

/// Measures the memory, CPU time and message sizes from which docs/CAPACITY.md is calculated.
/// Tables of increasing size are built in one process, and the production policy, encoder and
/// decoder are run on them. Usage: capacity_benchmark
namespace lagoonwind {
namespace {

using policy::Event;

constexpr double kNanoseconds = 1e9;
constexpr double kMicroseconds = 1e6;

/// CPU time used so far by this process, in seconds.
double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / kNanoseconds;
}

/// Mean CPU time of one call, in seconds.
double Cost(int calls, const std::function<void()>& call) {
  const double start = ProcessorSeconds();
  for (int i = 0; i < calls; ++i) {
    call();
  }
  return (ProcessorSeconds() - start) / calls;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

std::string NameOf(std::string_view kind, std::size_t number) {
  return absl::StrCat(std::string(kind), "-", number);
}

std::string RulesOf(std::size_t customers) {
  std::string text = "zone z in # asked by: bench\n";
  for (int model = 0; model < 12; ++model) {
    absl::StrAppend(&text, "model ", NameOf("model", model), " # asked by: bench\n");
  }
  for (std::size_t i = 0; i < customers; ++i) {
    absl::StrAppend(&text, "customer ", NameOf("customer", i),
                    " share 1 token sha256:", absl::StrFormat("%064x", i + 1),
                    " queue 200 # asked by: bench\n");
  }
  return text;
}

std::shared_ptr<const Configuration> ConfigurationOf(std::size_t customers) {
  auto parsed = ParseRules(RulesOf(customers));
  parsed.configuration.offset = 1;
  return std::make_shared<const Configuration>(std::move(parsed.configuration));
}

CustomerId CustomerAt(std::size_t number) {
  return HandleOf<CustomerId>(NameOf("customer", number));
}
TargetId TargetAt(std::size_t number) { return HandleOf<TargetId>(NameOf("model", number % 12)); }

/// A policy in virtual time that is linked to `peers` members of the other role.
class Bench {
 public:
  Bench(policy::Role role, std::size_t peers, std::size_t customers)
      : policy_(policy::MakePolicy({.role = role, .name = "self", .zone = "z"})) {
    const auto other = role == policy::Role::kAgent ? policy::Role::kEntry : policy::Role::kAgent;
    Step({policy::ConfigurationAccepted{.configuration = ConfigurationOf(customers)}});
    for (std::size_t i = 0; i < peers; ++i) {
      const std::string name = NameOf("peer", i);
      const policy::Member member{.id = HandleOf<MemberId>(name),
                                  .name = name,
                                  .role = other,
                                  .zone = HandleOf<ZoneId>("z"),
                                  .address = "127.0.0.1:1"};
      members_.push_back(member);
      Step({policy::LinkUp{.member = member, .incarnation = {i + 1}}});
    }
    Step({policy::MembersListed{.members = members_}});
  }

  std::size_t Step(std::vector<Event> events) {
    now_ += std::chrono::milliseconds(20);
    return policy_->Step(now_, events).size();
  }

  [[nodiscard]] const std::vector<policy::Member>& members() const { return members_; }
  [[nodiscard]] const policy::Policy& decisions() const { return *policy_; }

 private:
  Time now_{};
  std::unique_ptr<policy::Policy> policy_;
  std::vector<policy::Member> members_;
};

void Print(std::string_view what, std::size_t size, double value, std::string_view unit) {
  std::cout << absl::StrFormat("%-46s %8d  %12.2f %s\n", what, size, value, unit);
}

void PrintMessages() {
  const auto size = [](std::string_view what, const wire::Message& message) {
    const std::string frame = wire::EncodeFrame(message);
    const std::string_view body = std::string_view{frame}.substr(wire::kFrameHeaderBytes);
    Print(absl::StrCat("frame ", std::string(what)), 1, static_cast<double>(frame.size()), "bytes");
    const double cost = Cost(20'000, [&] {
      const std::string again = wire::EncodeFrame(message);
      (void)wire::DecodeMessage(body);
    });
    Print(absl::StrCat("encode and decode ", std::string(what)), 1, cost * kMicroseconds, "us");
  };
  const auto attempt =
      wire::ToWire({.request = {.entry = {~0ULL / 3}, .number = 1 << 30}, .attempt = 1});
  wire::Message message;
  message.__set_ping({});
  size("ping", message);
  message = {};
  message.__set_grant({});
  message.grant.id = message.grant.customer = message.grant.target = INT64_MIN / 3;
  size("grant", message);
  message = {};
  message.__set_started({});
  message.started.attempt = attempt;
  size("started", message);
  message = {};
  message.__set_ended({});
  message.ended.attempt = attempt;
  size("ended", message);
  message = {};
  message.__set_chunk({});
  message.chunk.attempt = attempt;
  message.chunk.data = std::string(70, 'c');
  size("chunk of 70 bytes", message);
  message = {};
  message.__set_offer({});
  message.offer.attempt = attempt;
  message.offer.body = std::string(2000, 'b');
  size("offer of 2000 bytes", message);
  for (const std::size_t items : {1, 37}) {
    std::vector<policy::Demand> demand(items);
    for (std::size_t i = 0; i < items; ++i) {
      demand[i] = {.customer = CustomerAt(i), .target = TargetAt(i), .count = 3};
    }
    message = {};
    message.__set_demand(wire::ToWire(demand));
    size(absl::StrCat("demand of ", items, " items"), message);
  }
  policy::AgentReport report{.free_slots = 3, .concurrency_limit = 8, .configuration_offset = 1000};
  report.targets = {TargetAt(0), TargetAt(1)};
  message = {};
  message.__set_agent_report(wire::ToWire(report));
  size("agent report of 2 models", message);
}

void PrintRules() {
  for (const std::size_t customers : {100, 1000, 3700}) {
    const std::string text = RulesOf(customers);
    Print("rules text, customers", customers, static_cast<double>(text.size()), "bytes");
    const double cost = Cost(5, [&] { (void)ParseRules(text); });
    Print("parse rules, customers", customers, cost * kMicroseconds, "us");
    const double before = HeapBytes();
    const auto configuration = ConfigurationOf(customers);
    Print("configuration, customers", customers, HeapBytes() - before, "bytes");
    const std::string digest = absl::StrFormat("%064x", customers);
    const double lookup = Cost(20'000, [&] { (void)configuration->CustomerByToken(digest); });
    Print("find a customer by token, customers", customers, lookup * kMicroseconds, "us");
  }
}

void PrintAgent() {
  constexpr std::size_t kEntries = 40;
  constexpr std::size_t kCustomers = 3700;
  for (const std::size_t backlogged : {37, 370, 1480, 3700}) {
    const double before = HeapBytes();
    Bench bench(policy::Role::kAgent, kEntries, kCustomers);
    policy::BackendObserved observed{.reachable = true, .incarnation = 1};
    for (std::size_t i = 0; i < 12; ++i) {
      observed.targets.push_back(TargetAt(i));
    }
    bench.Step({observed});
    const double empty = HeapBytes();
    for (std::size_t i = 0; i < backlogged; ++i) {
      const policy::Demand demand{.customer = CustomerAt(i), .target = TargetAt(i), .count = 2};
      bench.Step(
          {policy::DemandReported{.entry = bench.members()[i % kEntries].id, .demand = {demand}}});
    }
    Print("agent: memory, backlogged customers", backlogged, HeapBytes() - empty, "bytes");
    const double idle = Cost(200, [&] { bench.Step({}); });
    Print("agent: empty step, backlogged customers", backlogged, idle * kMicroseconds, "us");
    const policy::Demand demand{.customer = CustomerAt(1), .target = TargetAt(1), .count = 3};
    const double busy = Cost(200, [&] {
      bench.Step({policy::DemandReported{.entry = bench.members()[1].id, .demand = {demand}}});
    });
    Print("agent: step with one demand, backlogged", backlogged, busy * kMicroseconds, "us");
    const double stats = Cost(20, [&] { (void)bench.decisions().stats(); });
    Print("agent: stats, backlogged customers", backlogged, stats * kMicroseconds, "us");
    (void)before;
  }
}

void PrintEntry() {
  constexpr std::size_t kCustomers = 3700;
  for (const std::size_t agents : {10, 30, 60, 410}) {
    for (const std::size_t waiting : {100, 400, 4000}) {
      Bench bench(policy::Role::kEntry, agents, kCustomers);
      for (const auto& member : bench.members()) {
        policy::AgentReport report{.concurrency_limit = 8, .configuration_offset = 1};
        report.targets = {TargetAt(0), TargetAt(1)};
        bench.Step({policy::AgentReportReceived{.agent = member.id, .report = report}});
      }
      const double before = HeapBytes();
      for (std::size_t i = 0; i < waiting; ++i) {
        const policy::RequestTraits traits{
            .customer = CustomerAt(i % 370), .target = TargetAt(i % 2), .digest = {i + 1}};
        bench.Step(
            {policy::RequestArrived{.id = {.entry = {1}, .number = i + 1}, .traits = traits}});
      }
      const std::string label = absl::StrFormat("%d agents, waiting", agents);
      Print(absl::StrCat("entry: memory, ", label), waiting, HeapBytes() - before, "bytes");
      const double idle = Cost(100, [&] { bench.Step({}); });
      Print(absl::StrCat("entry: empty step, ", label), waiting, idle * kMicroseconds, "us");
    }
  }
}

void PrintMetrics() {
  runtime::Metrics metrics;
  const double before = HeapBytes();
  for (std::size_t i = 0; i < 3700; ++i) {
    metrics.RequestFinished(NameOf("customer", i), policy::Outcome::kComplete, 1);
  }
  Print("metrics: memory, customers", 3700, HeapBytes() - before, "bytes");
  const double charge = Cost(100'000, [&] { metrics.ServiceCharged("customer-7", 1); });
  Print("metrics: charge of one token", 1, charge * kMicroseconds, "us");
  const std::string page = metrics.Page();
  Print("metrics: page, customers", 3700, static_cast<double>(page.size()), "bytes");
  Print("metrics: page, customers", 3700, Cost(5, [&] { (void)metrics.Page(); }) * kMicroseconds,
        "us");
}

}  // namespace
}  // namespace lagoonwind

int main() {
  lagoonwind::PrintMessages();
  lagoonwind::PrintRules();
  lagoonwind::PrintAgent();
  lagoonwind::PrintEntry();
  lagoonwind::PrintMetrics();
  return 0;
}
