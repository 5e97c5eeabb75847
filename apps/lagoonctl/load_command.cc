#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "commands.h"

namespace lagoonwind::ctl {
namespace {

namespace asio = http::asio;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr unsigned kOk = 200;
constexpr std::chrono::minutes kAnswerTimeout{2};
constexpr std::string_view kStreamEnd = "data: [DONE]\n\n";

/// One stream of requests of one customer.
struct Stream {
  std::string customer;
  std::string token;
  std::string target;
  bool is_model = true;
  double rate = 1;
  int max_tokens = 0;
};

struct Tally {
  int sent = 0;
  int complete = 0;
  int not_run = 0;
  int unknown = 0;
  /// Answers that claimed to be complete and weren't whole.
  int broken = 0;
  double tokens = 0;
  std::vector<double> seconds;
};

absl::StatusOr<std::vector<Stream>> ReadMix(const std::string& file) {
  std::vector<Stream> streams;
  try {
    const auto root = toml::parse_file(file);
    const toml::array* list = root["stream"].as_array();
    if (list == nullptr) {
      return absl::InvalidArgumentError(absl::StrCat(file, ": no [[stream]]"));
    }
    for (const auto& node : *list) {
      const toml::table& row = *node.as_table();
      Stream stream{.customer = row["customer"].value_or(std::string()),
                    .target = row["target"].value_or(std::string()),
                    .rate = row["requests_per_second"].value_or(1.0),
                    .max_tokens = row["max_tokens"].value_or(0)};
      stream.is_model = stream.max_tokens > 0;
      stream.token = row["token"].value_or("token-" + stream.customer);
      streams.push_back(std::move(stream));
    }
  } catch (const toml::parse_error& error) {
    return absl::InvalidArgumentError(
        absl::StrCat(file, ":", error.source().begin.line, ": ", std::string(error.description())));
  }
  return streams;
}

/// Sends the streams of a mix, open loop, and tallies what came back. Runs on one thread.
class LoadRun {
 public:
  LoadRun(const LoadOptions& options, std::vector<Stream> streams)
      : options_(options), streams_(std::move(streams)), random_(options.seed) {}

  void Run() {
    const auto start = Clock::now();
    for (const auto& stream : streams_) {
      asio::co_spawn(io_, Arrivals(stream, start), asio::detached);
    }
    io_.run();
  }

  [[nodiscard]] const std::map<std::string, Tally>& tallies() const { return tallies_; }

 private:
  asio::awaitable<void> Arrivals(const Stream& stream, Clock::time_point start) {
    asio::steady_timer timer(io_);
    std::exponential_distribution<double> gap(stream.rate);
    const auto end = start + std::chrono::duration<double>(options_.seconds);
    std::chrono::duration<double> at{gap(random_)};
    while (start + at < end) {
      timer.expires_at(start + std::chrono::duration_cast<Clock::duration>(at));
      co_await timer.async_wait(asio::use_awaitable);
      asio::co_spawn(io_, SendOne(stream, ++number_), asio::detached);
      at += std::chrono::duration<double>(gap(random_));
    }
  }

  asio::awaitable<void> SendOne(const Stream& stream, int number) {
    const std::string key = absl::StrCat("load-", options_.seed, "-", number);
    const std::string entry =
        options_.entries[static_cast<std::size_t>(number) % options_.entries.size()];
    ++tallies_[stream.customer].sent;
    const auto started = Clock::now();
    const auto answer = co_await http::Fetch(entry, MakeRequest(stream, key), kAnswerTimeout);
    const std::chrono::duration<double> took = Clock::now() - started;
    Tally& tally = tallies_[stream.customer];
    tally.seconds.push_back(took.count());
    Count(stream, key, answer, tally);
  }

  static http::Request MakeRequest(const Stream& stream, const std::string& key) {
    http::Request request{.method = "POST",
                          .content_type = "application/json",
                          .fields = {{"Authorization", "Bearer " + stream.token}}};
    if (stream.is_model) {
      request.target = "/v1/chat/completions";
      request.body = json{
          {"model", stream.target},
          {"messages", {{{"role", "user"}, {"content", key}}}},
          {"max_tokens", stream.max_tokens},
          {"stream",
           true}}.dump();
    } else {
      request.target = "/services/" + stream.target + "/runs";
      request.fields.push_back({"Idempotency-Key", key});
      request.body = json{{"booking", key}}.dump();
    }
    return request;
  }

  static void Count(const Stream& stream, const std::string& key,
                    const absl::StatusOr<http::Response>& answer, Tally& tally) {
    const auto outcome = answer.ok() ? http::FindField(answer->fields, "Lagoonwind-Outcome")
                                     : std::string_view("unknown");
    if (outcome == "not-run") {
      ++tally.not_run;
    } else if (outcome != "complete" || answer->status != kOk) {
      ++tally.unknown;
    } else if (!Whole(stream, key, answer->body)) {
      ++tally.broken;
    } else {
      ++tally.complete;
      tally.tokens += stream.max_tokens;
    }
  }

  static bool Whole(const Stream& stream, const std::string& key, const std::string& body) {
    if (!stream.is_model) {
      const json answer = json::parse(body, nullptr, false);
      return answer.is_object() && answer.value("key", "") == key;
    }
    int events = 0;
    for (std::size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos; at += 2) {
      ++events;
    }
    return body.ends_with(kStreamEnd) && events == stream.max_tokens + 1;
  }

  const LoadOptions& options_;
  std::vector<Stream> streams_;
  std::mt19937_64 random_;
  asio::io_context io_;
  int number_ = 0;
  std::map<std::string, Tally> tallies_;
};

double Quantile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void PrintReport(const std::map<std::string, Tally>& tallies) {
  constexpr double kMedian = 0.5;
  constexpr double kNearlyAll = 0.95;
  std::cout << absl::StrFormat("%-20s %6s %9s %8s %8s %7s %8s %8s %8s\n", "CUSTOMER", "SENT",
                               "COMPLETE", "NOT-RUN", "UNKNOWN", "BROKEN", "TOKENS", "P50 s",
                               "P95 s");
  for (const auto& [customer, tally] : tallies) {
    std::cout << absl::StrFormat("%-20s %6d %9d %8d %8d %7d %8.0f %8.3f %8.3f\n", customer,
                                 tally.sent, tally.complete, tally.not_run, tally.unknown,
                                 tally.broken, tally.tokens, Quantile(tally.seconds, kMedian),
                                 Quantile(tally.seconds, kNearlyAll));
  }
}

}  // namespace

int Load(const CommonOptions& /*common*/, const LoadOptions& options) {
  auto streams = ReadMix(options.mix);
  if (!streams.ok()) {
    std::cerr << streams.status().message() << "\n";
    return kExitUsage;
  }
  LoadRun run(options, *std::move(streams));
  run.Run();
  PrintReport(run.tallies());
  const bool whole = std::ranges::all_of(
      run.tallies(), [](const auto& item) { return item.second.sent == item.second.complete; });
  return whole ? kExitDone : kExitRefused;
}

}  // namespace lagoonwind::ctl
