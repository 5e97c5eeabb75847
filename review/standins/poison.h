// A request that crashes each worker that begins to run it, and comes again with the same path,
// caller and body at any machine. Ordinary bookings go on beside it.
#pragma once

#include "world.h"

namespace review {

constexpr double kContact = 3.0;      // contact_ms
constexpr double kWorkerBack = 2.5;   // "the worker is back after some seconds"
constexpr double kEntryExpiry = 3.6;  // three heartbeat intervals
constexpr int kGateways = 4;
constexpr int kWorkers = 6;
constexpr const char* kDeadlyBody = "deadly";

class PoisonCase {
 public:
  PoisonCase() : record(RecordPath()) {
    store.Put("keyed.op", "config", Configuration(1));
    for (int i = 1; i <= kWorkers; ++i) {
      workers.push_back(std::make_unique<Worker>(
          store, "i-" + std::to_string(i),
          Worker::Options{.service = "desk",
                          .run = [this](Worker& worker, Socket& socket, const Message& request) {
                            return Run(worker, socket, request);
                          }}));
    }
    Sleep(0.1);
    for (int i = 1; i <= kGateways; ++i) {
      gateways.push_back(std::make_unique<Gateway>(store, i, kGateways, folder.path));
    }
    for (const auto& gateway : gateways) {
      if (!gateway->AwaitReady()) {
        record("a gateway did not become ready");
        Finish(2);
      }
    }
    for (int i = 0; i < 4; ++i) {
      std::thread([this, i] { Book(i); }).detach();
    }
    Sleep(kContact + 0.3);
  }

  /// Sends the deadly request once to a gateway. \return Status of the answer, 0 without one.
  int SendDeadly(int gateway, const std::string& target, const std::string& body = kDeadlyBody) {
    if (stopping == gateway) {
      gateway = (gateway + 1) % kGateways;
    }
    const std::string id = "deadly-" + std::to_string(++deadly_sent_);
    const double now = Seconds();
    const bool in_touch = now - gateways[gateway]->started_at > kContact;
    {
      const Lock lock(mutex_);
      in_touch_[id] = in_touch;
    }
    const auto socket = gateways[gateway]->Connect();
    Message response;
    const bool answered = socket != nullptr &&
                          socket->Write(RequestText("POST", target, id, body)) &&
                          ReadMessage(*socket, response, false, 5);
    record("client: POST %s, body '%s', as %s at edge-%d (in touch: %s): %s%d", target.c_str(),
           body.c_str(), id.c_str(), gateway + 1, in_touch ? "yes" : "no",
           answered ? "status " : "no answer ", response.status);
    return response.status;
  }

  /// Judges the rule BUDGET.
  [[noreturn]] void Judge() {
    finished_ = true;
    Sleep(0.5);
    const Lock lock(mutex_);
    int late = 0;
    for (const Arrival& arrival : arrivals_) {
      const bool counts =
          arrivals_.size() >= 3 && arrival.at > arrivals_[2].at + kContact && in_touch_[arrival.id];
      late += counts ? 1 : 0;
    }
    record(
        "bookings: %d answered 200, %d lost (502 or no answer) as their worker crashed, %d refused",
        booked_.load(), lost_.load(), refused_.load());
    record("the deadly request was sent %d times, reached workers %zu times and crashed each",
           deadly_sent_, arrivals_.size());
    record(
        "sent by machines in touch, later than contact_ms after the third crash: %d (limit 3): %s",
        late, late > 3 ? "BUDGET is broken" : "BUDGET holds");
    std::printf("crashes %zu, counted retries %d, bookings lost %d: %s\n", arrivals_.size(), late,
                lost_.load(), late > 3 ? "broken" : "held");
    Finish(late > 3 ? 1 : 0);
  }
  [[noreturn]] void Finish(int code) {
    finished_ = true;
    gateways.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder.path, ignored);
    End(code);
  }

  /// The gateway that is being stopped and started; clients are led to the others.
  std::atomic<int> stopping = -1;
  Record record;
  Folder folder;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Gateway>> gateways;

 private:
  struct Arrival {
    std::string id;
    double at;
  };

  bool Run(Worker& worker, Socket& socket, const Message& request) {
    const std::string id = request.Field("x-attempt-id");
    if (request.body == kDeadlyBody) {
      const std::string name = worker.id();
      int number = 0;
      {
        const Lock lock(mutex_);
        arrivals_.push_back({id, Seconds()});
        number = static_cast<int>(arrivals_.size());
      }
      record("worker %s: begins to run %s %s and crashes (crash %d)", name.c_str(), id.c_str(),
             request.target.c_str(), number);
      worker.Crash();
      std::thread([this, &worker, name, number] {
        Sleep(kWorkerBack);
        worker.Restart("i-" + std::to_string(100 + number));
        record("worker %s is back as %s", name.c_str(), worker.id().c_str());
        Sleep(kEntryExpiry - kWorkerBack);
        store.Put("keyed.servers", name, "");
      }).detach();
      return false;
    }
    Sleep(0.06);
    return socket.Write(Worker::Response(200, request, "booked " + id));
  }

  /// Sends ordinary bookings, one after another.
  void Book(int client) {
    for (int i = 0; !finished_; ++i) {
      const std::string id = "book-" + std::to_string(client) + "-" + std::to_string(i);
      const int gateway = (client + i) % kGateways;
      const auto socket = stopping == gateway ? nullptr : gateways[gateway]->Connect();
      Message response;
      if (socket == nullptr ||
          !socket->Write(RequestText("POST", "/book/" + std::to_string(i), id, "slot " + id))) {
        Sleep(0.05);
        continue;
      }
      const bool answered = ReadMessage(*socket, response, false, 5);
      if (answered && response.status == 200) {
        ++booked_;
      } else if (answered && response.status == 503) {
        ++refused_;
      } else if (answered) {
        ++lost_;
        record("client: booking %s is lost: status %d", id.c_str(), response.status);
      }
      Sleep(0.02);
    }
  }

  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::map<std::string, bool> in_touch_;
  int deadly_sent_ = 0;
  std::atomic<int> booked_ = 0, lost_ = 0, refused_ = 0;
  std::atomic<bool> finished_ = false;
};

}  // namespace review
