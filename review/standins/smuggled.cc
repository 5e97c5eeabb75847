// A client sends requests whose transfer coding ends neither in `chunked` nor comes with a length,
// and whose body holds the text of another request. TROUBLE=0: the same bodies in chunks.
#include "world.h"

namespace review {

namespace {

void RunCase() {
  Record record(RecordPath());
  Folder folder;
  Store store;
  store.Put("keyed.op", "config", Configuration(1));
  std::mutex mutex;
  std::vector<std::string> run;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 2; ++i) {
    workers.push_back(std::make_unique<Worker>(
        store, "i-" + std::to_string(i),
        Worker::Options{.service = "desk",
                        .run = [&](Worker& worker, Socket& socket, const Message& request) {
                          const std::string id = request.Field("x-attempt-id");
                          record("worker %s: runs %s %s, id %s, body of %zu bytes",
                                 worker.id().c_str(), request.method.c_str(),
                                 request.target.c_str(), id.c_str(), request.body.size());
                          {
                            const Lock lock(mutex);
                            run.push_back(id);
                          }
                          return socket.Write(Worker::Response(200, request, "booked " + id));
                        }}));
  }
  Sleep(0.1);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= 2; ++i) {
    gateways.push_back(std::make_unique<Gateway>(store, i, 2, folder.path));
  }
  const auto finish = [&](int code) {
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
  Sleep(3.3);  // contact_ms after the start
  const std::vector<std::string> codings{"identity", "xchunked", "chunked, identity"};
  for (std::size_t i = 0; i < codings.size(); ++i) {
    const std::string id = "sent-" + std::to_string(i + 1);
    const std::string inner =
        RequestText("POST", "/book/99", "inside-" + std::to_string(i + 1), "");
    const std::string coding = Trouble() ? codings[i] : "chunked";
    char size[32];
    std::snprintf(size, sizeof(size), "%zx", inner.size());
    const std::string body =
        Trouble() ? inner : std::string(size) + "\r\n" + inner + "\r\n0\r\n\r\n";
    std::ostringstream text;
    text << "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " << id
         << "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\nTransfer-Encoding: " << coding
         << "\r\n\r\n"
         << body;
    const auto socket = gateways[i % 2]->Connect();
    Message response;
    const bool answered =
        socket != nullptr && socket->Write(text.str()) && ReadMessage(*socket, response, false, 4);
    record(
        "client: sent one request, %s, with Transfer-Encoding: %s and the text of a request as its "
        "body; %s%d",
        id.c_str(), coding.c_str(), answered ? "status " : "no answer ", response.status);
    Message second;
    if (answered && ReadMessage(*socket, second, false, 1)) {
      record("client: a second answer comes, though one request was sent: status %d for %s",
             second.status, second.Field("x-attempt-id").c_str());
    }
  }
  Sleep(0.3);
  const Lock lock(mutex);
  const auto smuggled =
      std::ranges::count_if(run, [](const std::string& id) { return id.starts_with("inside-"); });
  record("requests run that no client sent: %zd: %s", smuggled,
         smuggled > 0 ? "UNASKED is broken" : "UNASKED holds");
  std::printf("requests run that no client sent: %zd: %s\n", smuggled,
              smuggled > 0 ? "broken" : "held");
  finish(smuggled > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main() {
  review::RunCase();
  return 2;
}
