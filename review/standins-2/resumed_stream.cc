// Gateways are stopped in turn while a worker pauses in the middle of its streams. Usage:
//   resumed_stream RECORD
// The first worker sends its streams in chunks and pauses once in each, as a model worker does that
// preempts a request and reads its prompt again. The second one sends them in chunks without a
// pause, the third one's end with their connection. With TROUBLE=0 no stream pauses.
#include <cstdlib>
#include <exception>
#include <list>

#include "world.h"

namespace lagoonwind::review {
namespace {

constexpr int kGateways = 3;
constexpr int kWorkers = 3;
constexpr int kEvents = 8;
constexpr milliseconds kEventPause{100};
/// The pause of a preempted stream, and the event that it follows.
constexpr milliseconds kPreemptionPause{1900};
constexpr int kEventBeforePause = 3;
/// Streams are sent from 0.6 s before the stop of a gateway to 1.4 s after it.
constexpr milliseconds kBeforeStop{600};
constexpr milliseconds kAfterStop{1400};
constexpr milliseconds kSendPause{80};
/// Time from the stop of a gateway after which the next one is stopped.
constexpr milliseconds kStopPause{6500};
constexpr milliseconds kReadTime{9000};
constexpr const char* kLastChunk = "0\r\n\r\n";

std::string EventOf(int number) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: part " + text + "\n\n";
}

std::string Hexadecimal(std::size_t value) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (; value > 0; value /= 16) {
    text.insert(text.begin(), kDigits[value % 16]);
  }
  return text;
}

std::string ChunkOf(const std::string& bytes) {
  return Hexadecimal(bytes.size()) + "\r\n" + bytes + "\r\n";
}

std::string HeadOf(const std::string& id, bool chunked) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal." + id +
         "\r\nContent-Type: text/event-stream\r\n" +
         (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
}

/// A worker of the service `model`.
class Worker {
 public:
  Worker(int number, Store& store, Record& record)
      : name_("i-model-" + std::to_string(number)),
        chunked_(number != kWorkers),
        pauses_(number == 1 && Trouble() != "0"),
        record_(record),
        listener_(IpOf(10 + number),
                  [this](const std::shared_ptr<Connection>& connection) { Serve(*connection); }) {
    Register(store, name_, "model", listener_.address(), 1796600000000, 1, 64);
  }

 private:
  void Serve(Connection& connection) {
    bool open = true;
    while (open) {
      const Message request = connection.Read();
      open = request.complete && Answer(connection, request);
    }
  }

  /// \return False if the connection is to be closed.
  bool Answer(Connection& connection, const Message& request) {
    const std::string id = request.Field("x-attempt-id");
    if (request.Field("x-expect-instance") != name_) {
      return connection.Write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + id +
                              "\r\nContent-Length: 0\r\n\r\n");
    }
    const int last = std::atoi(request.Field("last-event-id").c_str());
    record_.Write(name_ + " runs " + id + " from event " + std::to_string(last + 1) + " on");
    bool open = connection.Write(HeadOf(id, chunked_));
    for (int event = last + 1; event <= kEvents && open; ++event) {
      std::this_thread::sleep_for(kEventPause);
      open = connection.Write(chunked_ ? ChunkOf(EventOf(event)) : EventOf(event));
      if (pauses_ && event == kEventBeforePause) {
        std::this_thread::sleep_for(kPreemptionPause);
      }
    }
    return open && chunked_ && connection.Write(kLastChunk);
  }

  const std::string name_;
  const bool chunked_;
  const bool pauses_;
  Record& record_;
  Listener listener_;
};

/// Id of the part of the prompt that several requests share.
std::string SharedPart(const std::string& id) {
  constexpr std::size_t kParts = 8;
  return "5c1e07a" + Hexadecimal(1 + std::hash<std::string>()(id) % kParts);
}

/// Sends one request for a stream. \return True if its answer is whole.
bool Ask(const std::string& front, const std::string& id, Record& record) {
  const auto connection = Connect(front);
  if (connection == nullptr) {
    record.Write(id + " finds no connection");
    return true;
  }
  record.Write(id + " is sent to " + front);
  const std::string body = "a question";
  connection->SetReadTimeout(kReadTime);
  connection->Write("POST /ask/run HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: " + id +
                    "\r\nAuthorization: Bearer key1\r\nX-Deadline-Ms: 15000\r\nX-Model: m\r\n"
                    "X-Token-Usage: 300,32\r\nX-Prompt-Prefix: " +
                    SharedPart(id) + ":200," + Hexadecimal(std::hash<std::string>()(id)) +
                    ":100\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  const std::string answer = connection->ReadAll(kLastChunk);
  const bool is_stream = answer.rfind("HTTP/1.1 200", 0) == 0;
  const bool is_chunked = answer.find("Transfer-Encoding: chunked") != std::string::npos;
  const bool has_last_chunk = answer.size() >= 5 && answer.substr(answer.size() - 5) == kLastChunk;
  const bool has_all_events = answer.find("part " + std::to_string(kEvents)) != std::string::npos;
  const bool is_whole =
      !answer.empty() &&
      (!is_stream || (has_all_events && (is_chunked ? has_last_chunk : !connection->broken())));
  record.Write(id + " is answered with " + (answer.empty() ? "nothing" : answer.substr(9, 3)) +
               (is_stream ? is_chunked ? ", in chunks" : ", until the end of the connection" : "") +
               (is_stream && has_all_events ? ", all events" : "") +
               (is_whole ? "" : ", broken off without its end"));
  return is_whole;
}

[[noreturn]] void Run(const std::string& record_path) {
  Record record(record_path);
  TemporaryFolder folder;
  Store store;
  Configure(store, 1,
            {{.name = "ask",
              .prefix = "/ask/",
              .type = "streaming",
              .service = "model",
              .timeout_ms = 15000,
              .max_attempts = 2,
              .resumable = true}});
  std::list<Worker> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.emplace_back(i, store, record);
  }
  std::list<Gateway> gateways;
  // Connections of the stand-ins still have threads when the process ends.
  const auto end = [&](int code) {
    gateways.clear();
    folder.Remove();
    std::_Exit(code);
  };
  for (int i = 1; i <= kGateways; ++i) {
    gateways.emplace_back(i, store.address(), folder.path());
  }
  for (const Gateway& gateway : gateways) {
    if (!gateway.AwaitReady()) {
      record.Write("a gateway does not get ready");
      end(2);
    }
  }
  std::this_thread::sleep_for(milliseconds(3000));
  record.Write("TROUBLE=" + Trouble());
  std::atomic<int> lost = 0;
  int number = 0;
  for (const Gateway& gateway : gateways) {
    const auto stop = Clock::now() + kBeforeStop;
    std::list<std::thread> callers;
    bool stopped = false;
    while (Clock::now() < stop + kAfterStop) {
      if (!stopped && Clock::now() >= stop) {
        stopped = true;
        record.Write("SIGTERM to the gateway at " + gateway.front());
        gateway.Terminate();
      }
      callers.emplace_back([&, id = "stream-" + std::to_string(++number)] {
        lost += Ask(gateway.front(), id, record) ? 0 : 1;
      });
      std::this_thread::sleep_for(kSendPause);
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    std::this_thread::sleep_until(stop + kStopPause);
  }
  record.Write("streams sent: " + std::to_string(number) +
               "; broken off without their end: " + std::to_string(lost));
  record.Write(lost > 0 ? "LOST is broken" : "LOST holds");
  end(lost > 0 ? 1 : 0);
  std::abort();
}

}  // namespace
}  // namespace lagoonwind::review

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  try {
    lagoonwind::review::Run(argv[1]);
  } catch (const std::exception&) {
    std::_Exit(2);
  }
}
