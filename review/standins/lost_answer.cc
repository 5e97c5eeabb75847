// Answers of the platform's store are lost for a while. Three seconds after the end of that, a
// worker reports that it is draining, and exits later. TROUBLE=0: no answer is lost.
#include "world.h"

namespace review {

namespace {

constexpr double kContact = 3.0;  // contact_ms
constexpr double kDrain = 2.0;    // drain_ms
constexpr double kLossBegins = 6.0, kLossEnds = kLossBegins + 4.5;
constexpr double kDraining = kLossEnds + kContact + 0.2;
constexpr double kExit = kDraining + kDrain + 1.0;
constexpr double kEnd = kDraining + 6.0;
constexpr int kGateways = 2;

struct Arrival {
  std::string id, worker;
  double at;
};

std::mutex mutex;
std::vector<Arrival> arrivals;
std::atomic<int> answered = 0, lost_answers = 0;
std::atomic<bool> finished = false;
std::atomic<int> booked = 0, refused = 0, lost = 0;

void RunCase() {
  Record record(RecordPath());
  Folder folder;
  Store store;
  // Of the answers in that time only one for each gateway is lost, that to a read of
  // `keyed.servers`, among the last ones.
  store.loses_answer = [&](const std::string& target) {
    const double now = Seconds();
    if (now < kLossBegins || now >= kLossEnds) {
      return false;
    }
    ++answered;
    const bool lose = Trouble() && now > kLossEnds - 0.5 && lost_answers < kGateways &&
                      target.find("/api/log-read?topic=keyed.servers") == 0;
    if (lose) {
      ++lost_answers;
      record("store: the answer to GET %s is lost", target.c_str());
    }
    return lose;
  };
  store.Put("keyed.op", "config", Configuration(1));
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 3; ++i) {
    workers.push_back(std::make_unique<Worker>(
        store, "i-" + std::to_string(i),
        Worker::Options{.service = "desk",
                        .run = [&](Worker& worker, Socket& socket, const Message& request) {
                          const std::string id = request.Field("x-attempt-id");
                          {
                            const Lock lock(mutex);
                            arrivals.push_back({id, worker.id(), Seconds()});
                          }
                          Sleep(0.06);
                          return socket.Write(Worker::Response(200, request, "booked " + id));
                        }}));
    Sleep(0.4);
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(store, i, kGateways, folder.path));
  }
  const auto finish = [&](int code) {
    finished = true;
    gateways.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder.path, ignored);
    End(code);
  };
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady()) {
      finish(2);
    }
  }
  for (int client = 0; client < 6; ++client) {
    std::thread([&, client] {
      for (int i = 0; !finished; ++i) {
        const int gateway = (client + i) % kGateways;
        const std::string id = "book-" + std::to_string(client) + "-" + std::to_string(i);
        const auto socket = gateways[gateway]->Connect();
        Message response;
        const bool has_answer = socket != nullptr &&
                                socket->Write(RequestText("POST", "/book/1", id, "slot " + id)) &&
                                ReadMessage(*socket, response, false, 5);
        if (has_answer && response.status == 200) {
          ++booked;
        } else if (has_answer && response.status == 503) {
          ++refused;
        } else if (socket != nullptr) {
          ++lost;
          record("client: %s through edge-%d is lost: status %d", id.c_str(), gateway + 1,
                 response.status);
        }
        Sleep(0.03);
      }
    }).detach();
  }
  SleepUntil(kLossEnds);
  record("store: from here on no answer is lost; %d of %d answers were", lost_answers.load(),
         answered.load());
  if (Trouble() && (lost_answers < kGateways || lost_answers > 0.35 * answered)) {
    record("the loss did not come about as planned");
    finish(2);
  }
  SleepUntil(kDraining);
  workers[0]->Drain();
  const double acknowledged = Seconds();
  record("store: acknowledges that i-1 is draining");
  SleepUntil(kExit);
  workers[0]->Exit();
  store.Put("keyed.servers", "i-1", "");
  record("worker i-1 exits, %.1f s later", Seconds() - acknowledged);
  SleepUntil(kEnd);
  finished = true;
  Sleep(0.3);
  const Lock lock(mutex);
  int late = 0;
  for (const Arrival& arrival : arrivals) {
    const double after = arrival.at - acknowledged;
    if (arrival.worker == "i-1" && after > kDrain) {
      ++late;
      record("worker i-1: got %s %.3f s after the acknowledgement", arrival.id.c_str(), after);
    }
  }
  record("bookings: %d answered 200, %d refused, %d lost", booked.load(), refused.load(),
         lost.load());
  record("requests that reached i-1 later than drain_ms: %d: %s", late,
         late > 0 ? "DRAIN is broken" : "DRAIN holds");
  std::printf("late requests %d, bookings lost %d: %s\n", late, lost.load(),
              late > 0 ? "broken" : "held");
  finish(late > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main() {
  review::RunCase();
  return 2;
}
