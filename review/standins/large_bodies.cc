// Many clients send a long request at once, each within the limits of the configuration, beside
// ordinary bookings on kept connections. The platform ends a process that exceeds its memory.
// TROUBLE=0: the long requests come one after another.
#include "world.h"

namespace review {

namespace {
constexpr int kGateways = 2;
constexpr int kRamMb = 110;
constexpr int kLongRequests = 80;
constexpr std::size_t kBodyBytes = 4'000'000;
constexpr double kBurst = 7.0;
constexpr int kBookingClients = 12;
/// A client sends its long request in this time, as over a slow line.
constexpr double kUploadSeconds = 1.5;
constexpr std::size_t kPieceBytes = 50'000;

std::mutex mutex;
std::map<std::string, bool> at_worker;  // by id: true while the request runs
std::set<std::string> passed_on;
std::atomic<bool> finished = false;
std::atomic<int> booked = 0, cut = 0, other = 0, kills = 0;
void RunCase() {
  Record record(RecordPath());
  Folder folder;
  Store store;
  store.Put("keyed.op", "config", Configuration(1));
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 4; ++i) {
    workers.push_back(std::make_unique<Worker>(
        store, "i-" + std::to_string(i),
        Worker::Options{.service = "desk",
                        .run = [&](Worker&, Socket& socket, const Message& request) {
                          const std::string id = request.Field("x-attempt-id");
                          {
                            const Lock lock(mutex);
                            passed_on.insert(id);
                          }
                          Sleep(0.2);
                          return socket.Write(Worker::Response(200, request, "booked " + id));
                        }}));
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(store, i, kGateways, folder.path, kRamMb));
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
  // The platform's limit on memory.
  std::thread([&] {
    std::vector<double> peak(kGateways);
    while (!finished) {
      for (int i = 0; i < kGateways; ++i) {
        const double resident = gateways[i]->ResidentMb();
        if (resident > peak[i] + 10) {
          peak[i] = resident;
          record("edge-%d: %.0f MB resident", i + 1, resident);
        }
        if (resident > kRamMb) {
          ++kills;
          record("platform: edge-%d exceeds ram_mb = %d with %.0f MB: SIGKILL", i + 1, kRamMb,
                 resident);
          gateways[i]->Signal(SIGKILL);
          gateways[i]->Wait();
          Sleep(0.3);
          peak[i] = 0;
          gateways[i]->Start();
        }
      }
      Sleep(0.005);
    }
  }).detach();
  for (int client = 0; client < kBookingClients; ++client) {
    std::thread([&, client] {
      std::unique_ptr<Socket> socket;
      int on_connection = 0;
      for (int i = 0; !finished; ++i) {
        const int gateway = client % kGateways;
        if (socket == nullptr) {
          socket = gateways[gateway]->Connect();
          on_connection = 0;
          if (socket == nullptr) {
            Sleep(0.1);
            continue;
          }
        }
        const std::string id = "book-" + std::to_string(client) + "-" + std::to_string(i);
        Message response;
        const bool answered = socket->Write(RequestText("POST", "/book/1", id, "slot " + id)) &&
                              ReadMessage(*socket, response, false, 5);
        ++on_connection;
        if (answered && response.complete && response.status == 200) {
          ++booked;
        } else if (answered) {
          ++other;
        } else {
          const Lock lock(mutex);
          if (passed_on.contains(id) && on_connection > 1) {
            ++cut;
            record(
                "client: %s through edge-%d: passed on to a worker, connection closed without an "
                "answer",
                id.c_str(), gateway + 1);
          }
        }
        if (!answered || response.Field("connection") == "close") {
          socket = nullptr;
        }
        Sleep(0.02);
      }
    }).detach();
  }
  SleepUntil(kBurst);
  std::atomic<int> done = 0;
  std::vector<std::thread> senders;
  const std::string body(kBodyBytes, 'x');
  for (int i = 0; i < kLongRequests; ++i) {
    const auto send = [&, i] {
      const auto socket = gateways[i % kGateways]->Connect();
      Message response;
      const std::string id = "long-" + std::to_string(i);
      const std::string text = RequestText("POST", "/look/1", id, body);
      bool sent = socket != nullptr;
      const double pause = Trouble() ? kUploadSeconds * kPieceBytes / kBodyBytes : 0;
      for (std::size_t at = 0; sent && at < text.size(); at += kPieceBytes) {
        sent = socket->Write(text.substr(at, kPieceBytes));
        Sleep(pause);
      }
      const bool answered = sent && ReadMessage(*socket, response, false, 6);
      record("client: %s, %zu bytes, through edge-%d: %s%d", id.c_str(), body.size(),
             i % kGateways + 1, answered ? "status " : "no answer ", response.status);
      ++done;
    };
    if (Trouble()) {
      senders.emplace_back(send);
    } else {
      send();
    }
  }
  for (auto& sender : senders) {
    sender.join();
  }
  Sleep(1.5);
  finished = true;
  Sleep(0.3);
  record("bookings: %d answered 200, %d otherwise, %d cut; processes over their memory: %d",
         booked.load(), other.load(), cut.load(), kills.load());
  std::printf("processes over memory %d, cut %d: %s\n", kills.load(), cut.load(),
              cut > 3 ? "broken" : "held");
  finish(cut > 3 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main() {
  review::RunCase();
  return 2;
}
