// A heartbeat of a worker gets no answer from the platform's store and is carried out late.
// Meanwhile the worker's entry was removed, as it leaves without a report. TROUBLE=0: it is carried
// out at once.
#include "world.h"

namespace review {

namespace {

constexpr double kContact = 3.0;   // contact_ms
constexpr double kDrain = 2.0;     // drain_ms
constexpr double kBeat = 6.0;      // the call that gets no answer
constexpr double kLossEnds = 6.5;  // the end of the store's disruption
constexpr double kCarriedOut = kBeat + 5.9;
constexpr double kRemoved = kLossEnds + kContact + 0.2;
constexpr double kExit = kRemoved + kDrain + 2.5;
constexpr double kEnd = kExit + 2.0;
constexpr int kGateways = 2;

struct Arrival {
  std::string id, worker;
  double at;
};

std::mutex mutex;
std::vector<Arrival> arrivals;
std::atomic<bool> finished = false;
std::atomic<int> booked = 0, refused = 0, lost = 0;

void RunCase() {
  Record record(RecordPath());
  Folder folder;
  Store store;
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
  for (int client = 0; client < 12; ++client) {
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
  SleepUntil(kBeat);
  const std::string beat = workers[0]->NextBeat();
  if (Trouble()) {
    record("worker i-1: its heartbeat %s gets no answer", beat.c_str());
  } else {
    store.Put("keyed.servers", "i-1", beat);
  }
  SleepUntil(kRemoved);
  workers[0]->StopBeating();
  store.Put("keyed.servers", "i-1", "");
  const double acknowledged = Seconds();
  record("store: the entry of i-1 is removed; the worker goes on serving");
  if (Trouble()) {
    SleepUntil(kCarriedOut);
    store.Put("keyed.servers", "i-1", beat);
    record("store: carries out the heartbeat of i-1 that got no answer, %.1f s late",
           kCarriedOut - kBeat);
  }
  SleepUntil(kExit);
  workers[0]->Exit();
  record("worker i-1 exits, %.1f s after its entry was removed", Seconds() - acknowledged);
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
