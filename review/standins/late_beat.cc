// A heartbeat of a worker gets no answer from the platform's store and is carried out late.
// Meanwhile the worker's entry was removed, as it leaves without a report. TROUBLE=0: it is carried
// out at once.
#include "world.h"

namespace review {

namespace {

constexpr double kContact = 3.0;     // contact_ms
constexpr double kDrain = 2.0;       // drain_ms
constexpr double kLossBegins = 2.0;  // the store's disruption, for_s = 4.5
constexpr double kLossEnds = kLossBegins + 4.5;
constexpr double kBeatLost = kLossEnds - 1.3;  // the first heartbeat from here on gets no answer
constexpr double kLate = 5.9;                  // "done 1 to 6 s later"
constexpr double kEntryExpiry = 3.6;           // three heartbeat intervals
constexpr double kRemoved = kLossEnds + kContact + 0.2;
constexpr double kExit = kRemoved + kDrain + 2.5;
constexpr double kEnd = kExit + 2.0;
constexpr double kMaxLossShare = 0.35;
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
  SleepUntil(kLossBegins);
  const int writes_before = store.writes;
  SleepUntil(kBeatLost);
  if (Trouble()) {
    workers[0]->LoseNextBeat();
    while (workers[0]->lost_beat().empty() && Seconds() < kLossEnds) {
      Sleep(0.005);
    }
  }
  const double beat_at = Seconds();
  const std::string beat = workers[0]->lost_beat();
  SleepUntil(kLossEnds);
  const int lost_writes = beat.empty() ? 0 : 1;
  const int writes = store.writes - writes_before + lost_writes;
  if (Trouble()) {
    record("worker i-1: its heartbeat at %.3f gets no answer: %s", beat_at, beat.c_str());
  }
  record("store: from here on no call goes without an answer; %d of %d writes did", lost_writes,
         writes);
  if (Trouble() && (lost_writes == 0 || lost_writes > kMaxLossShare * writes)) {
    record("the loss did not come about as planned");
    finish(2);
  }
  SleepUntil(kRemoved);
  workers[0]->StopBeating();
  store.Put("keyed.servers", "i-1", "");
  const double acknowledged = Seconds();
  record("store: the entry of i-1 is removed; the worker goes on serving");
  if (Trouble()) {
    SleepUntil(beat_at + kLate);
    store.Put("keyed.servers", "i-1", beat);
    record("store: carries out the heartbeat of i-1 that got no answer, %.1f s late", kLate);
  }
  SleepUntil(kExit);
  workers[0]->Exit();
  record("worker i-1 exits, %.1f s after its entry was removed", Seconds() - acknowledged);
  if (Trouble()) {
    SleepUntil(beat_at + kLate + kEntryExpiry);
    store.Put("keyed.servers", "i-1", "");
    record("store: the entry of i-1 expires");
  }
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
