// Callers send requests whose bodies look like requests themselves. Usage:
//   smuggled_body RECORD
// The bodies have a Transfer-Encoding other than `chunked`; with TROUBLE=0 they have a length.
#include <cstdlib>
#include <exception>
#include <list>
#include <set>

#include "world.h"

namespace lagoonwind::review {
namespace {

constexpr milliseconds kReadTime{1500};
/// Time after the last answer in which a smuggled request would reach the worker.
constexpr milliseconds kSettleTime{500};
constexpr const char* kWorker = "i-desk-1";

/// Ids of requests that a worker ran. Thread safe.
class Runs {
 public:
  void Add(const std::string& id) {
    const std::scoped_lock lock(mutex_);
    ids_.insert(id);
  }
  std::set<std::string> ids() {
    const std::scoped_lock lock(mutex_);
    return ids_;
  }

 private:
  std::mutex mutex_;
  std::set<std::string> ids_;
};

std::string AnswerTo(const std::string& id) {
  const std::string body = "booked: " + id;
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal." + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string RefusalOf(const std::string& id) {
  return "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + id +
         "\r\nContent-Length: 0\r\n\r\n";
}

void ServeAsWorker(Connection& connection, Runs& runs, Record& record) {
  for (Message request = connection.Read(); request.complete; request = connection.Read()) {
    const std::string id = request.Field("x-attempt-id");
    const bool is_expected = request.Field("x-expect-instance") == kWorker;
    if (is_expected) {
      runs.Add(id);
      record.Write("the worker runs " + id + ": " + request.start_line + ", tenant " +
                   request.Field("x-tenant") + ", body of " + std::to_string(request.body.size()) +
                   " bytes");
    }
    connection.Write(is_expected ? AnswerTo(id) : RefusalOf(id));
  }
}

std::string RequestOf(const std::string& id, const std::string& fields, const std::string& body) {
  return "POST /book/run HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: " + id +
         "\r\nAuthorization: Bearer key1\r\nX-Deadline-Ms: 1000\r\n" + fields + "\r\n" + body;
}

[[noreturn]] void Run(const std::string& record_path) {
  Record record(record_path);
  Runs runs;
  TemporaryFolder folder;
  Store store;
  Listener worker(IpOf(11), [&](const std::shared_ptr<Connection>& connection) {
    ServeAsWorker(*connection, runs, record);
  });
  Configure(store, 1,
            {{.name = "book", .prefix = "/book/", .type = "mutating", .service = "desk"}});
  Register(store, kWorker, "desk", worker.address(), 1796600000000, 1);
  std::list<Gateway> gateways;
  const auto end = [&](int code) {
    gateways.clear();
    folder.Remove();
    std::_Exit(code);
  };
  const Gateway& gateway = gateways.emplace_back(1, store.address(), folder.path());
  if (!gateway.AwaitReady()) {
    record.Write("the gateway does not get ready");
    end(2);
  }
  record.Write("TROUBLE=" + Trouble());
  std::set<std::string> sent;
  int number = 0;
  for (const char* encoding : {"identity", "xchunked", "chunked;q=1", ""}) {
    const std::string id = "sent-" + std::to_string(++number);
    const std::string inner =
        RequestOf("smuggled-" + std::to_string(number), "Content-Length: 0\r\n", "");
    const std::string fields = Trouble() == "0"
                                   ? "Content-Length: " + std::to_string(inner.size()) + "\r\n"
                                   : std::string("Transfer-Encoding: ") + encoding + "\r\n";
    const auto connection = Connect(gateway.front());
    if (connection == nullptr) {
      record.Write("the gateway accepts no connection");
      end(2);
    }
    sent.insert(id);
    record.Write(id + " is sent with '" + fields.substr(0, fields.size() - 2) +
                 "', its body contains smuggled-" + std::to_string(number));
    connection->Write(RequestOf(id, fields, inner));
    connection->SetReadTimeout(kReadTime);
    for (Message response = connection->Read(); response.Status() != 0;
         response = connection->Read()) {
      record.Write("answer on that connection: " + std::to_string(response.Status()) + " '" +
                   response.body + "'");
    }
  }
  std::this_thread::sleep_for(kSettleTime);
  bool broken = false;
  for (const std::string& id : runs.ids()) {
    if (!sent.contains(id)) {
      record.Write(id + " was run, but no caller sent a request with this id");
      broken = true;
    }
  }
  record.Write(broken ? "UNASKED is broken" : "UNASKED holds");
  end(broken ? 1 : 0);
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
