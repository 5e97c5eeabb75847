// A request that crashes each worker that begins to run it comes again and again. Usage:
//   crashing_request MODE RECORD
// MODE is how a worker crashes: `silent` (its machine answers no packet until it is back) or
// `unframed` (the process ends inside an answer that has neither a length nor chunks). With
// TROUBLE=0 the request is harmless, with TROUBLE=reset the process ends before it answers.
#include <cstdlib>
#include <exception>
#include <list>
#include <set>

#include "world.h"

namespace lagoonwind::review {
namespace {

constexpr int kGateways = 2;
constexpr int kWorkers = 3;
constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kRunTime{40};
/// Time from a crash until the worker is back.
constexpr milliseconds kDownTime{2000};
/// Time from the first bytes of an answer to the end of the process.
constexpr milliseconds kTimeToCrash{30};
constexpr milliseconds kDuration{36000};
/// Pause of the caller between an answer and its next attempt.
constexpr milliseconds kRetryPause{1000};
constexpr milliseconds kInnocentPause{40};
/// Longest time for which the caller waits; the route's timeout is half of it.
constexpr milliseconds kDeadline{3000};
/// Bounds of the rule.
constexpr double kContactSeconds = 3.0;
constexpr int kCrashes = 3;
constexpr int kAllowedRetries = 3;
constexpr const char* kHarmful = "crest 4711";

/// Runs of the harmful request and crashes, in seconds since the start. Thread safe.
class Tally {
 public:
  void AddRun(double at) { Add(runs_, at); }
  void AddCrash(double at) { Add(crashes_, at); }
  /// Runs later than `contact_ms` after the third crash.
  int LateRuns() {
    const std::scoped_lock lock(mutex_);
    if (crashes_.size() < kCrashes) {
      return 0;
    }
    const double from = crashes_[kCrashes - 1] + kContactSeconds;
    int late = 0;
    for (const double run : runs_) {
      late += run > from ? 1 : 0;
    }
    return late;
  }
  std::size_t crashes() {
    const std::scoped_lock lock(mutex_);
    return crashes_.size();
  }

 private:
  void Add(std::vector<double>& times, double at) {
    const std::scoped_lock lock(mutex_);
    times.push_back(at);
  }
  std::mutex mutex_;
  std::vector<double> runs_;
  std::vector<double> crashes_;
};

std::string HeadOf(const Message& request) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.Field("x-attempt-id") +
         "\r\nX-Server-Seal: seal." + request.Field("x-attempt-id") +
         "\r\nContent-Type: text/plain\r\n";
}

/// A worker of the service `desk`.
class Worker {
 public:
  Worker(int number, const std::string& mode, Store& store, Record& record, Tally& tally)
      : name_("i-desk-" + std::to_string(number)),
        silent_(mode == "silent" && Trouble() != "reset"),
        unframed_(mode == "unframed" && Trouble() != "reset"),
        store_(store),
        record_(record),
        tally_(tally),
        listener_(IpOf(10 + number),
                  [this](const std::shared_ptr<Connection>& connection) { Serve(connection); }) {
    Announce();
    thread_ = std::thread([this] { Live(); });
  }
  ~Worker() {
    stopping_ = true;
    thread_.join();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

 private:
  void Announce() { Register(store_, name_, "desk", listener_.address(), born_, ++seq_); }

  /// Writes the worker's entry, and brings it back after a crash.
  void Live() {
    auto next = Clock::now() + kHeartbeat;
    while (!stopping_) {
      std::this_thread::sleep_for(milliseconds(10));
      const std::scoped_lock lock(mutex_);
      if (down_until_ && Clock::now() >= *down_until_) {
        down_until_.reset();
        born_ += 10000;
        seq_ = 0;
        silent_ ? listener_.Resume() : listener_.Open();
        record_.Write(name_ + " is back as a new incarnation");
        next = Clock::now();
      }
      if (!down_until_ && Clock::now() >= next) {
        Announce();
        next += kHeartbeat;
      }
    }
  }

  void Crash(int incarnation) {
    const std::scoped_lock lock(mutex_);
    if (down_until_ || incarnation != incarnation_) {
      return;
    }
    tally_.AddCrash(record_.Seconds());
    record_.Write(name_ + " crashes");
    down_until_ = Clock::now() + kDownTime;
    ++incarnation_;
    if (silent_) {
      listener_.Silence();
      connections_.clear();
      return;
    }
    listener_.Close();
    for (const auto& connection : connections_) {
      connection->Shut();
    }
    connections_.clear();
  }

  bool IsCurrent(int incarnation) {
    const std::scoped_lock lock(mutex_);
    return !down_until_ && incarnation == incarnation_;
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    int incarnation = 0;
    {
      const std::scoped_lock lock(mutex_);
      incarnation = incarnation_;
      connections_.insert(connection);
    }
    bool open = true;
    while (open) {
      const Message request = connection->Read();
      open = request.complete;
      if (!open || !IsCurrent(incarnation)) {
        break;
      }
      open = Answer(*connection, request, incarnation);
    }
    if (silent_ && !IsCurrent(incarnation)) {
      // Nothing more is sent, neither bytes nor the end of the connection.
      connection->AwaitClose(kDuration);
    }
    const std::scoped_lock lock(mutex_);
    connections_.erase(connection);
  }

  bool Answer(Connection& connection, const Message& request, int incarnation) {
    const std::string id = request.Field("x-attempt-id");
    if (request.Field("x-expect-instance") != name_) {
      return connection.Write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + id +
                              "\r\nContent-Length: 0\r\n\r\n");
    }
    const bool harmful = request.body == kHarmful;
    if (harmful) {
      tally_.AddRun(record_.Seconds());
    }
    record_.Write(name_ + " runs " + id + (harmful ? " (the request that comes again)" : ""));
    const std::string body = "booked: " + id;
    const bool crashes = harmful && Trouble() != "0";
    const bool unframed = harmful && unframed_;
    if (!crashes || !unframed) {
      std::this_thread::sleep_for(kRunTime);
    }
    if (!IsCurrent(incarnation)) {
      return false;
    }
    if (unframed) {
      connection.Write(HeadOf(request) + "Connection: close\r\n\r\n" +
                       (crashes ? body.substr(0, body.size() / 2) : body));
      if (!crashes) {
        return false;
      }
      std::this_thread::sleep_for(kTimeToCrash);
    }
    if (crashes) {
      Crash(incarnation);
      return false;
    }
    return connection.Write(HeadOf(request) + "Content-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body);
  }

  const std::string name_;
  const bool silent_;
  const bool unframed_;
  Store& store_;
  Record& record_;
  Tally& tally_;
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::optional<Clock::time_point> down_until_;
  int incarnation_ = 0;
  std::int64_t born_ = 1796600000000;
  int seq_ = 0;
  std::atomic<bool> stopping_ = false;
  Listener listener_;
  std::thread thread_;
};

/// Sends one request on a new connection. \return The response; status 0 if there is none.
Message Send(const std::string& front, const std::string& id, const std::string& body) {
  const auto connection = Connect(front);
  if (connection == nullptr) {
    return {};
  }
  connection->SetReadTimeout(kDeadline);
  connection->Write(
      "POST /book/run HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: " + id +
      "\r\nAuthorization: Bearer key1\r\nX-Deadline-Ms: " + std::to_string(kDeadline.count()) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  return connection->Read();
}

/// Other callers' bookings. Thread safe.
class Innocents {
 public:
  Innocents(const std::vector<std::string>& fronts, Record& record)
      : fronts_(fronts), record_(record), thread_([this] { Run(); }) {}
  ~Innocents() {
    stopping_ = true;
    thread_.join();
    for (std::thread& sender : senders_) {
      sender.join();
    }
    record_.Write("bookings of others: " + std::to_string(sent_) + " sent, " +
                  std::to_string(answered_) + " answered with 200");
  }
  Innocents(const Innocents&) = delete;
  Innocents& operator=(const Innocents&) = delete;

 private:
  void Run() {
    while (!stopping_) {
      const int number = ++sent_;
      senders_.emplace_back([this, number] {
        const std::string id = "other-" + std::to_string(number);
        record_.Write(id + " (a booking of another caller) is sent");
        const Message response =
            Send(fronts_[static_cast<std::size_t>(number) % fronts_.size()], id, "a booking");
        answered_ += response.Status() == 200 ? 1 : 0;
        record_.Write(id + " is answered with " + std::to_string(response.Status()));
      });
      std::this_thread::sleep_for(kInnocentPause);
    }
  }

  const std::vector<std::string>& fronts_;
  Record& record_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> sent_ = 0;
  std::atomic<int> answered_ = 0;
  std::list<std::thread> senders_;
  std::thread thread_;
};

[[noreturn]] void End(int code, std::list<Gateway>& gateways, TemporaryFolder& folder) {
  gateways.clear();
  folder.Remove();
  std::_Exit(code);
}

/// Ends the process, as connections of the stand-ins still have threads.
[[noreturn]] void Run(const std::string& mode, const std::string& record_path) {
  Record record(record_path);
  Tally tally;
  TemporaryFolder folder;
  Store store;
  Configure(store, 1,
            {{.name = "book",
              .prefix = "/book/",
              .type = "mutating",
              .service = "desk",
              .timeout_ms = static_cast<int>(kDeadline.count() / 2)}});
  std::list<Worker> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.emplace_back(i, mode, store, record, tally);
  }
  std::list<Gateway> gateways;
  std::vector<std::string> fronts;
  for (int i = 1; i <= kGateways; ++i) {
    fronts.push_back(gateways.emplace_back(i, store.address(), folder.path()).front());
  }
  for (const Gateway& gateway : gateways) {
    if (!gateway.AwaitReady()) {
      record.Write("a gateway does not get ready");
      End(2, gateways, folder);
    }
  }
  // From now on the gateways are in touch.
  std::this_thread::sleep_for(std::chrono::duration<double>(kContactSeconds));
  record.Write("mode " + mode + ", TROUBLE=" + Trouble());
  {
    const Innocents innocents(fronts, record);
    const auto until = Clock::now() + kDuration;
    for (std::size_t i = 0; Clock::now() < until; ++i) {
      const std::string id = "attempt-" + std::to_string(i + 1);
      record.Write(id + " is sent to gateway " + std::to_string(i % kGateways + 1));
      const Message response = Send(fronts[i % kGateways], id, kHarmful);
      record.Write(id + " is answered with " + std::to_string(response.Status()) +
                   (response.framed ? "" : ", no length, body '" + response.body + "'"));
      std::this_thread::sleep_for(kRetryPause);
    }
  }
  for (const Gateway& gateway : gateways) {
    if (!gateway.Runs()) {
      record.Write("a gateway has ended by itself");
      End(2, gateways, folder);
    }
  }
  const int late = tally.LateRuns();
  record.Write("crashes: " + std::to_string(tally.crashes()) +
               "; retries that reached workers later than 3 s after the third crash: " +
               std::to_string(late) + " (at most " + std::to_string(kAllowedRetries) + ")");
  record.Write(late > kAllowedRetries ? "BUDGET is broken" : "BUDGET holds");
  End(late > kAllowedRetries ? 1 : 0, gateways, folder);
}

}  // namespace
}  // namespace lagoonwind::review

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  try {
    lagoonwind::review::Run(argv[1], argv[2]);
  } catch (const std::exception&) {
    std::_Exit(2);
  }
}
