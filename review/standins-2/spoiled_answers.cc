// A faulty worker sends bytes that belong to no request. Usage:
//   spoiled_answers MODE RECORD
// MODE `refusal`: a refusal comes a second time, late and cut off, at the point where the next
// answer on the connection is expected, and is followed by that answer.
// MODE `foreign`: an answer breaks off inside its head, and is followed by a second copy of the
// answer before it.
// With TROUBLE=0 the worker refuses and answers in the same way, but sends each answer once.
#include <cstdlib>
#include <exception>
#include <list>
#include <map>

#include "world.h"

namespace lagoonwind::review {
namespace {

constexpr int kGateways = 3;
constexpr int kWorkers = 3;
/// Requests that a worker runs at the same time; it refuses further ones.
constexpr int kSlots = 1;
constexpr milliseconds kRunTime{45};
constexpr milliseconds kSendPause{33};
constexpr milliseconds kDeadline{1000};
constexpr milliseconds kDuration{80000};
/// The fault lasts for `kFaultTime` in each `kFaultPeriod`, and spoils one of `kFaultShare` answers
/// of one worker of three.
constexpr double kFaultPeriod = 10.0;
constexpr double kFaultTime = 5.0;
constexpr int kFaultShare = 34;
/// The refusal, cut off behind its first field.
constexpr const char* kCutRefusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1";
/// Field inside which an answer breaks off.
constexpr const char* kLastField = "Content-Type: ";

/// Runs by the id of the request. Thread safe.
class Runs {
 public:
  void Add(const std::string& id, const std::string& worker) {
    const std::scoped_lock lock(mutex_);
    workers_[id].push_back(worker);
  }
  std::map<std::string, std::vector<std::string>> workers() {
    const std::scoped_lock lock(mutex_);
    return workers_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> workers_;
};

std::string BodyFor(const std::string& tenant, const std::string& id) {
  return "booked for " + tenant + ": " + id;
}

std::string AnswerTo(const std::string& tenant, const std::string& id, const std::string& echo) {
  const std::string body = BodyFor(tenant, id);
  return "HTTP/1.1 200 OK\r\n" + echo + "X-Server-Seal: seal." + id + "\r\n" + kLastField +
         "text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string SentLine(const std::string& id, const std::string& tenant, const std::string& front) {
  return id + " of tenant " + tenant + " is sent to " + front;
}

/// The answer, cut off inside its head.
std::string CutOff(const std::string& answer) {
  const std::string field = kLastField;
  return answer.substr(0, answer.find(field) + field.size());
}

/// A worker of the service `desk`.
class Worker {
 public:
  Worker(int number, bool refuses, Store& store, Record& record, Runs& runs)
      : name_("i-desk-" + std::to_string(number)),
        faulty_(number == 1),
        refuses_(refuses),
        record_(record),
        runs_(runs),
        listener_(IpOf(10 + number),
                  [this](const std::shared_ptr<Connection>& connection) { Serve(*connection); }) {
    Register(store, name_, "desk", listener_.address(), 1796600000000, 1, kSlots);
  }

  [[nodiscard]] int spoiled() const { return spoiled_; }
  [[nodiscard]] int answers() const { return answers_; }
  [[nodiscard]] const std::string& name() const { return name_; }

 private:
  /// True if the fault spoils this answer: at most one of `kFaultShare`, and in mode `refusal` only
  /// refusals.
  bool IsSpoiled(bool is_refusal) {
    const double seconds = record_.Seconds();
    const double in_period = seconds - kFaultPeriod * static_cast<int>(seconds / kFaultPeriod);
    if (!faulty_ || in_period >= kFaultTime || ++since_last_ < kFaultShare ||
        is_refusal != refuses_) {
      return false;
    }
    since_last_ = 0;
    return true;
  }

  void Serve(Connection& connection) {
    std::string late_bytes;
    std::string last_answer;
    for (Message request = connection.Read(); request.complete; request = connection.Read()) {
      const std::string id = request.Field("x-attempt-id");
      const std::string echo = "X-Attempt-Id: " + id + "\r\nKeep-Alive: timeout=5\r\n";
      if (request.Field("x-expect-instance") != name_) {
        connection.Write("HTTP/1.1 421 Misdirected Request\r\n" + echo +
                         "Content-Length: 0\r\n\r\n");
        continue;
      }
      ++answers_;
      const bool is_full = ++running_ > kSlots;
      const bool is_spoiled = IsSpoiled(is_full);
      if (is_full) {
        --running_;
        record_.Write(name_ + " is full and refuses " + id +
                      (is_spoiled ? "; this refusal will come again" : ""));
        connection.Write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + echo +
                         "Content-Length: 0\r\n\r\n");
        if (is_spoiled) {
          late_bytes = Trouble() == "0" ? "" : kCutRefusal;
        }
        continue;
      }
      runs_.Add(id, name_);
      record_.Write(name_ + " runs " + id);
      if (!late_bytes.empty()) {
        ++spoiled_;
        record_.Write(name_ + " sends " + std::to_string(late_bytes.size()) +
                      " bytes of its refusal again, then runs and answers " + id);
        connection.Write(late_bytes);
        late_bytes.clear();
      }
      std::this_thread::sleep_for(kRunTime);
      --running_;
      const std::string answer = AnswerTo(request.Field("x-tenant"), id, echo);
      if (is_spoiled && !last_answer.empty() && Trouble() != "0") {
        ++spoiled_;
        record_.Write(name_ + " breaks off its answer to " + id +
                      " inside the head and sends the answer before it again");
        connection.Write(CutOff(answer) + last_answer);
        last_answer.clear();
        continue;
      }
      connection.Write(answer);
      last_answer = answer;
    }
  }

  const std::string name_;
  const bool faulty_;
  /// True if the answers that the fault spoils are refusals.
  const bool refuses_;
  Record& record_;
  Runs& runs_;
  std::atomic<int> running_ = 0;
  /// Answers since the last one that was spoiled.
  std::atomic<int> since_last_ = 0;
  std::atomic<int> spoiled_ = 0;
  std::atomic<int> answers_ = 0;
  Listener listener_;
};

/// Sends one booking on a new connection.
Message Book(const std::string& front, const std::string& key, const std::string& id) {
  const auto connection = Connect(front);
  if (connection == nullptr) {
    return {};
  }
  const std::string body = "a booking";
  connection->SetReadTimeout(kDeadline);
  connection->Write("POST /book/run HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: " + id +
                    "\r\nAuthorization: Bearer " + key +
                    "\r\nX-Deadline-Ms: " + std::to_string(kDeadline.count()) +
                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  return connection->Read();
}

[[noreturn]] void Run(const std::string& mode, const std::string& record_path) {
  Record record(record_path);
  Runs runs;
  TemporaryFolder folder;
  Store store;
  Configure(store, 1,
            {{.name = "book",
              .prefix = "/book/",
              .type = "mutating",
              .service = "desk",
              .timeout_ms = static_cast<int>(kDeadline.count())}});
  std::list<Worker> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.emplace_back(i, mode == "refusal", store, record, runs);
  }
  std::list<Gateway> gateways;
  // Connections of the stand-ins still have threads when the process ends.
  const auto end = [&](int code) {
    gateways.clear();
    folder.Remove();
    std::_Exit(code);
  };
  std::vector<std::string> fronts;
  for (int i = 1; i <= kGateways; ++i) {
    fronts.push_back(gateways.emplace_back(i, store.address(), folder.path()).front());
  }
  for (const Gateway& gateway : gateways) {
    if (!gateway.AwaitReady()) {
      record.Write("a gateway does not get ready");
      end(2);
    }
  }
  record.Write("mode " + mode + ", TROUBLE=" + Trouble());
  std::list<std::thread> senders;
  std::mutex mutex;
  std::map<int, int> statuses;
  bool is_mixed = false;
  const auto until = Clock::now() + kDuration;
  for (int i = 1; Clock::now() < until; ++i) {
    const bool is_first = i % 2 == 1;
    senders.emplace_back([&, id = "booking-" + std::to_string(i), key = is_first ? "key1" : "key2",
                          tenant = is_first ? "erie" : "huron",
                          front = fronts[static_cast<std::size_t>(i % kGateways)]] {
      record.Write(SentLine(id, tenant, front));
      const Message response = Book(front, key, id);
      record.Write(id + " is answered with " + std::to_string(response.Status()));
      const std::scoped_lock lock(mutex);
      ++statuses[response.Status()];
      if (response.Status() == 200 && response.complete && response.body != BodyFor(tenant, id)) {
        is_mixed = true;
        record.Write(id + " of tenant " + tenant + " is answered with 200 and the body '" +
                     response.body + "'");
      }
    });
    std::this_thread::sleep_for(kSendPause);
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  for (const Gateway& gateway : gateways) {
    if (!gateway.Runs()) {
      record.Write("a gateway has ended by itself");
      end(2);
    }
  }
  for (const auto& [status, count] : statuses) {
    record.Write("bookings answered with " + std::to_string(status) + ": " + std::to_string(count));
  }
  for (const Worker& worker : workers) {
    record.Write(worker.name() + ": " + std::to_string(worker.answers()) + " answers, " +
                 std::to_string(worker.spoiled()) + " of them spoiled");
  }
  bool is_twice = false;
  for (const auto& [id, by] : runs.workers()) {
    if (by.size() > 1) {
      is_twice = true;
      record.Write(id + " ran " + std::to_string(by.size()) + " times: by " + by[0] + " and " +
                   by[1]);
    }
  }
  record.Write(is_twice ? "TWICE is broken" : "TWICE holds");
  record.Write(is_mixed ? "MIXED is broken" : "MIXED holds");
  end(is_twice || is_mixed ? 1 : 0);
  std::abort();
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
