// Guards against callers whose requests exhaust the gateway's memory or descriptors: many large
// bodies of legal size that stop before their end, bodies over the limit, and connections that stay
// open inside a request. One gateway grew from 11 to 248 MB on a host of 110 MB and was ended.
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <iterator>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "caller.h"
#include "platform_world.h"
#include "process.h"
#include "scripted_fixture.h"

namespace lagoonwind {
namespace {

namespace asio = http::asio;
using testing::Caller;
using testing::ChunkOf;
using testing::kApiKeyField;
using testing::PeakMemory;
using testing::PlatformWorld;
using testing::Process;
using testing::ServerMode;

constexpr unsigned kOk = 200;
constexpr int kMemoryMegabytes = 48;
constexpr int kSmallestHostMegabytes = 88;
constexpr int kConnections = 40;
/// The default limit on bodies.
constexpr std::size_t kMaxBodyBytes = 4UL << 20U;
/// Size of bodies over the limit.
constexpr std::size_t kOverLimitBytes = 2 * kMaxBodyBytes;
/// Size of bodies in chunks of one byte, each of which takes six bytes.
constexpr std::size_t kOneByteChunks = 2UL << 20U;
constexpr std::size_t kPieceBytes = 64UL << 10U;
/// One connection in so many sends its whole body.
constexpr int kWholeInterval = 8;
/// With this limit the gateway keeps 44 callers' connections.
constexpr int kMaxDescriptors = 380;
constexpr int kManyConnections = 60;
/// Number of times that the ordinary request is sent until it is answered: a gateway on a busy
/// machine may refuse it.
constexpr int kTries = 20;
constexpr std::chrono::milliseconds kTryInterval{100};
/// Time after which a connection that the gateway doesn't read gives up sending.
constexpr timeval kSendTimeout{.tv_sec = 5, .tv_usec = 0};

/// A caller that doesn't read what it receives.
class Client {
 public:
  explicit Client(asio::io_context& io) : socket_(io) {
    boost::system::error_code error;
    socket_.connect(*http::ParseEndpoint(PlatformWorld::CallerAddress(1)), error);
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &kSendTimeout,
               sizeof kSendTimeout);
    open_ = !error;
  }

  /// Sends bytes; no effect once the gateway has closed the connection or stopped reading it.
  void Send(std::string_view bytes) {
    while (open_ && !bytes.empty()) {
      const ssize_t count = send(socket_.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      open_ = count > 0;
      bytes.remove_prefix(open_ ? static_cast<std::size_t>(count) : 0);
    }
  }

 private:
  asio::ip::tcp::socket socket_;
  bool open_ = false;
};

/// Sends the request of one client.
using Script = std::function<void(Client&, int index)>;

/// Connections that stay open until the destructor.
class Crowd {
 public:
  /// Opens the connections and runs `script` on all of them at once.
  Crowd(int connections, const Script& script) {
    clients_.reserve(connections);
    for (int i = 0; i < connections; ++i) {
      clients_.emplace_back(io_);
    }
    std::vector<std::jthread> threads;
    threads.reserve(clients_.size());
    for (int i = 0; i < connections; ++i) {
      threads.emplace_back([&, i] { script(clients_[i], i); });
    }
  }

 private:
  asio::io_context io_;
  std::vector<Client> clients_;
};

/// One gateway with one backend server of service `desk`.
struct Fixture {
  explicit Fixture(int memory_megabytes, int max_descriptors = 4096) {
    world.SetMemory(memory_megabytes);
    world.SetMaxDescriptors(max_descriptors);
    world.AddServer("d-1", "desk");
    world.Configure(1, {.max_body_bytes = kMaxBodyBytes});
    gateway = &world.StartGateway(1);
    REQUIRE(Answers("ready"));
  }

  /// Sends an ordinary request until it is answered.
  static bool Answers(const std::string& id, const std::string& body = "body") {
    for (int i = 0; i < kTries; ++i) {
      const auto response = Caller(PlatformWorld::CallerAddress(1))
                                .Send("POST", "/look/1", absl::StrCat(id, "-", i), {}, body);
      if (response.status == kOk && response.complete) {
        return true;
      }
      std::this_thread::sleep_for(kTryInterval);
    }
    return false;
  }

  [[nodiscard]] std::int64_t open_descriptors() const {
    const std::filesystem::path directory = absl::StrCat("/proc/", gateway->pid(), "/fd");
    return std::distance(std::filesystem::directory_iterator(directory), {});
  }

  /// Checks the gateway while `crowd` is connected.
  void CheckWith(const Crowd& /*crowd*/, int memory_megabytes, int max_descriptors) const {
    REQUIRE(!gateway->HasExited());
    const std::int64_t peak = PeakMemory(gateway->pid());
    MESSAGE("peak memory in KiB: ", peak, ", descriptors: ", open_descriptors());
    CHECK(peak < std::int64_t{memory_megabytes} << 10U);
    CHECK(open_descriptors() < max_descriptors);
    CHECK(Answers("after"));
    REQUIRE(!gateway->HasExited());
    CHECK(PeakMemory(gateway->pid()) < std::int64_t{memory_megabytes} << 10U);
  }

  PlatformWorld world;
  Process* gateway = nullptr;
};

std::string HeadOf(int index, std::string_view framing) {
  return absl::StrCat("POST /book/1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: u", index,
                      "\r\nX-Deadline-Ms: 4000\r\n", kApiKeyField.name, ": ", kApiKeyField.value,
                      "\r\n", std::string(framing), "\r\n\r\n");
}

std::string LengthOf(std::size_t bytes) { return absl::StrCat("Content-Length: ", bytes); }

constexpr const char* kChunked = "Transfer-Encoding: chunked";

/// Sends `piece` until it has been sent `count` times.
void Repeat(Client& client, const std::string& piece, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    client.Send(piece);
  }
}

/// Number of bytes by which the body of a client stops short.
std::size_t ShortBy(int index) {
  return index % kWholeInterval == 0 ? 0 : 1 + static_cast<std::size_t>(index % 3);
}

void CheckCrowd(const Script& script) {
  const Fixture fixture(kMemoryMegabytes);
  const Crowd crowd(kConnections, script);
  fixture.CheckWith(crowd, kMemoryMegabytes, kMaxDescriptors);
}

}  // namespace

TEST_CASE("large bodies that are sent at once and stop before their end") {
  CheckCrowd([](Client& client, int index) {
    client.Send(absl::StrCat(HeadOf(index, LengthOf(kMaxBodyBytes)),
                             std::string(kMaxBodyBytes - ShortBy(index), 'x')));
  });
}

TEST_CASE("large bodies that are sent piece by piece and stop before their end") {
  CheckCrowd([](Client& client, int index) {
    client.Send(HeadOf(index, LengthOf(kMaxBodyBytes)));
    const std::string piece(kPieceBytes, 'x');
    const std::size_t count = kMaxBodyBytes / kPieceBytes - 1;
    for (std::size_t i = 0; i < count; ++i) {
      client.Send(piece);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    client.Send(piece.substr(ShortBy(index)));
  });
}

TEST_CASE("bodies in large chunks that stop before their end") {
  CheckCrowd([](Client& client, int index) {
    client.Send(HeadOf(index, kChunked));
    Repeat(client, ChunkOf(std::string(kPieceBytes, 'x')), kMaxBodyBytes / kPieceBytes);
    client.Send(std::string_view("0\r\n\r\n").substr(ShortBy(index) == 0 ? 0 : 5));
  });
}

TEST_CASE("bodies in chunks of one byte that stop before their end") {
  std::string piece;
  constexpr std::size_t kChunksOfPiece = 16384;
  for (std::size_t i = 0; i < kChunksOfPiece; ++i) {
    piece.append("1\r\nx\r\n");
  }
  CheckCrowd([&](Client& client, int index) {
    client.Send(HeadOf(index, kChunked));
    Repeat(client, piece, kOneByteChunks / kChunksOfPiece);
    client.Send(std::string_view("0\r\n\r\n").substr(ShortBy(index) == 0 ? 0 : 5));
  });
}

TEST_CASE("bodies far over the limit that state their length") {
  CheckCrowd([](Client& client, int index) {
    client.Send(HeadOf(index, LengthOf(1UL << 40U)));
    Repeat(client, std::string(kPieceBytes, 'x'), kOverLimitBytes / kPieceBytes);
  });
}

TEST_CASE("bodies far over the limit in chunks") {
  CheckCrowd([](Client& client, int index) {
    client.Send(HeadOf(index, kChunked));
    Repeat(client, ChunkOf(std::string(kPieceBytes, 'x')), kOverLimitBytes / kPieceBytes);
  });
}

TEST_CASE("chunk extensions without end") {
  CheckCrowd([](Client& client, int index) {
    client.Send(HeadOf(index, kChunked) + "1;extension=");
    Repeat(client, std::string(kPieceBytes, 'x'), kOverLimitBytes / kPieceBytes);
  });
}

TEST_CASE("large whole bodies whose backend server doesn't respond") {
  Fixture fixture(kMemoryMegabytes);
  fixture.world.SetMode("d-1", ServerMode::kHang);
  const Crowd crowd(kConnections, [](Client& client, int index) {
    client.Send(
        absl::StrCat(HeadOf(index, LengthOf(kMaxBodyBytes)), std::string(kMaxBodyBytes, 'x')));
  });
  fixture.world.SetMode("d-1", ServerMode::kRespond);
  fixture.CheckWith(crowd, kMemoryMegabytes, kMaxDescriptors);
}

TEST_CASE("connections that stay open inside a head or body leave room for other callers") {
  const Fixture fixture(kMemoryMegabytes, kMaxDescriptors);
  const Crowd crowd(kManyConnections, [](Client& client, int index) {
    const std::string head = HeadOf(index, LengthOf(kMaxBodyBytes));
    client.Send(index % 2 == 0 ? head + "x" : head.substr(0, head.size() - 2));
  });
  fixture.CheckWith(crowd, kMemoryMegabytes, kMaxDescriptors);
}

TEST_CASE("one body of the largest size is served on the smallest host") {
  const Fixture fixture(kSmallestHostMegabytes);
  CHECK(Fixture::Answers("large", std::string(kMaxBodyBytes, 'x')));
  CHECK(PeakMemory(fixture.gateway->pid()) < std::int64_t{kSmallestHostMegabytes} << 10U);
}

}  // namespace lagoonwind
