// Stand-ins of the platform's store, backend workers and clients, and gateways as processes, for
// the cases in review/. Everything listens on loopback addresses only. Blocking sockets, a thread
// for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Lock = std::unique_lock<std::mutex>;

inline const Clock::time_point kStart = Clock::now();
/// Seconds since the start of the case.
inline double Seconds() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void SleepUntil(double seconds) {
  std::this_thread::sleep_until(
      kStart + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds)));
}
inline void Sleep(double seconds) { SleepUntil(Seconds() + seconds); }
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
/// False with TROUBLE=0: the case runs without its disruption.
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Writes record.txt. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  void operator()(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const Lock lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", Seconds(), text);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
};

/// Path of record.txt, as run.sh states it.
inline std::string RecordPath() {
  const char* path = std::getenv("RECORD");
  return path == nullptr ? "record.txt" : path;
}

/// Loopback address that depends on the process id, so that cases don't meet.
inline std::string Ip(int number) {
  const int pid = getpid();
  return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) + "." +
         std::to_string(number);
}

inline sockaddr_in Endpoint(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A connected socket with a read buffer.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Socket() { ::close(fd_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Returns null if the connection was not made within a second.
  static std::unique_ptr<Socket> Connect(const std::string& ip, int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = Endpoint(ip, port);
    int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (result != 0 && errno == EINPROGRESS) {
      pollfd state{fd, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof(error);
      result = poll(&state, 1, 1000) == 1 &&
                       getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0
                   ? 0
                   : -1;
    }
    if (result != 0) {
      ::close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Socket>(fd);
  }

  bool Write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  /// Reads more bytes into the buffer. \return False at the end, after an error or `seconds`.
  bool Fill(double seconds = 60) {
    pollfd state{fd_, POLLIN, 0};
    if (poll(&state, 1, static_cast<int>(seconds * 1000)) != 1) {
      timed_out = true;
      return false;
    }
    char bytes[16384];
    const ssize_t count = ::recv(fd_, bytes, sizeof(bytes), 0);
    if (count < 0) {
      was_reset = true;
    }
    if (count <= 0) {
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  /// True if the peer has closed or reset the connection.
  bool PeerClosed() {
    pollfd state{fd_, POLLRDHUP, 0};
    return poll(&state, 1, 0) == 1 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  void Reset() {
    const linger option{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    ::shutdown(fd_, SHUT_RDWR);
  }
  int fd() const { return fd_; }

  std::string buffer;
  bool timed_out = false;
  bool was_reset = false;

 private:
  int fd_;
};

/// A request or a response.
struct Message {
  std::string method, target;
  int status = 0;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  bool complete = false;
  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

inline std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// Reads a request or a response. \return False if the connection ended before its head.
inline bool ReadMessage(Socket& socket, Message& message, bool is_request, double seconds = 60) {
  std::size_t end = 0;
  while ((end = socket.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!socket.Fill(seconds)) {
      return false;
    }
  }
  std::istringstream head(socket.buffer.substr(0, end));
  socket.buffer.erase(0, end + 4);
  std::string line, word;
  std::getline(head, line);
  std::istringstream first(line);
  if (is_request) {
    first >> message.method >> message.target;
  } else {
    first >> word >> message.status;
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t at = line.find_first_not_of(' ', colon + 1);
      message.fields[Lower(line.substr(0, colon))] = at == std::string::npos ? "" : line.substr(at);
    }
  }
  if (Lower(message.Field("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t eol = 0;
      while ((eol = socket.buffer.find("\r\n")) == std::string::npos) {
        if (!socket.Fill(seconds)) {
          return true;
        }
      }
      const std::size_t size = std::stoul(socket.buffer.substr(0, eol), nullptr, 16);
      while (socket.buffer.size() < eol + 2 + size + 2) {
        if (!socket.Fill(seconds)) {
          return true;
        }
      }
      message.body.append(socket.buffer, eol + 2, size);
      socket.buffer.erase(0, eol + 2 + size + 2);
      if (size == 0) {
        message.complete = true;
        return true;
      }
    }
  }
  const std::string length = message.Field("content-length");
  if (length.empty() && !is_request) {
    while (socket.Fill(seconds)) {
    }
    message.complete = !socket.was_reset && !socket.timed_out;
    message.body = std::exchange(socket.buffer, "");
    return true;
  }
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (socket.buffer.size() < size) {
    if (!socket.Fill(seconds)) {
      message.body = socket.buffer;
      return true;
    }
  }
  message.body = socket.buffer.substr(0, size);
  socket.buffer.erase(0, size);
  message.complete = true;
  return true;
}

/// Accepts connections and serves each on a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(std::shared_ptr<Socket>)>;
  Listener(std::string ip, int port, Serve serve) : ip_(std::move(ip)), serve_(std::move(serve)) {
    Open(port);
  }
  ~Listener() { Close(true); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  int port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  void Open(int port) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Endpoint(ip_, port);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(fd_, 1024) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    socklen_t size = sizeof(address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    open_ = true;
    thread_ = std::thread([this] {
      while (open_) {
        pollfd state{fd_, POLLIN, 0};
        if (poll(&state, 1, 50) != 1) {
          continue;
        }
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          continue;
        }
        auto socket = std::make_shared<Socket>(fd);
        {
          const Lock lock(mutex_);
          sockets_.push_back(socket);
          std::erase_if(sockets_, [](const auto& weak) { return weak.expired(); });
        }
        std::thread([serve = serve_, socket] { serve(socket); }).detach();
      }
    });
  }
  /// Stops to listen. \param reset  Resets the open connections, as the end of a process does.
  void Close(bool reset) {
    if (open_.exchange(false)) {
      thread_.join();
      ::close(fd_);
    }
    const Lock lock(mutex_);
    for (const auto& weak : sockets_) {
      if (const auto socket = weak.lock(); reset && socket != nullptr) {
        socket->Reset();
      }
    }
  }

 private:
  std::string ip_;
  Serve serve_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> open_ = false;
  std::thread thread_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Socket>> sockets_;
};

inline std::string Base64(const std::string& in) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8 | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out.push_back(i + j > in.size() ? '=' : kDigits[value >> (18 - 6 * j) & 63]);
    }
  }
  return out;
}

inline std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>(value >> (8 * i)));
  }
  return out;
}

inline std::string Query(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  return at == std::string::npos
             ? ""
             : target.substr(at + name.size() + 1, target.find('&', at) - at - name.size() - 1);
}

/// The platform's store of keyed records (PROTOCOL.md, "The platform's metadata store").
class Store {
 public:
  Store() : listener_(Ip(1), 0, [this](auto socket) { Serve(*socket); }) {}

  std::string address() const { return listener_.address(); }
  /// Appends a record as another party does; an empty value drops the key.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const Lock lock(mutex_);
    ++writes;
    topics_[topic].push_back({key, value});
    changed_.notify_all();
  }
  /// Writes by workers and operators that were carried out.
  std::atomic<int> writes = 0;
  /// Called before each answer to a gateway; true loses the answer: its connection returns nothing
  /// further. Set before the gateways start.
  std::function<bool(const std::string& target)> loses_answer = [](const std::string&) {
    return false;
  };

 private:
  struct Item {
    std::string key, value;
  };

  void Serve(Socket& socket) {
    Message request;
    if (!ReadMessage(socket, request, true)) {
      return;
    }
    const std::string topic = Query(request.target, "topic");
    int status = 200;
    std::string body;
    if (request.target.starts_with("/api/log-append")) {
      Sleep(0.004);
      const Lock lock(mutex_);
      auto& items = topics_[topic];
      const std::size_t offset = items.size();
      for (std::size_t at = 0; at + 4 < request.body.size();) {
        std::uint32_t size = 0;
        for (int i = 0; i < 4; ++i) {
          size = size << 8 | static_cast<unsigned char>(request.body[at + i]);
        }
        const std::size_t key = static_cast<unsigned char>(request.body[at + 4]);
        items.push_back(
            {request.body.substr(at + 5, key), request.body.substr(at + 5 + key, size - 1 - key)});
        at += 4 + size;
      }
      changed_.notify_all();
      body = "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(items.size()) +
             "}";
    } else if (request.target.starts_with("/api/log-newest")) {
      const Lock lock(mutex_);
      std::map<std::string, std::size_t> newest;
      const auto& items = topics_[topic];
      for (std::size_t i = 0; i < items.size(); ++i) {
        newest[items[i].key] = i;
      }
      for (const auto& [key, at] : newest) {
        if (!items[at].value.empty()) {
          body += (body.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\"" +
                  Base64(items[at].value) + "\",\"offset\":" + std::to_string(at) + "}";
        }
      }
      body = "{\"items\":[" + body +
             "],\"has_more\":false,\"end\":" + std::to_string(items.size()) + "}";
    } else if (request.target.starts_with("/api/log-read")) {
      const std::size_t from = std::stoul(Query(request.target, "from"));
      const std::string wait = Query(request.target, "wait_ms");
      const auto until =
          Clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait));
      Lock lock(mutex_);
      while (topics_[topic].size() <= from && Clock::now() < until && !socket.PeerClosed()) {
        changed_.wait_until(lock, std::min(until, Clock::now() + std::chrono::milliseconds(200)));
      }
      const auto& items = topics_[topic];
      body = BigEndian(items.size(), 8) + BigEndian(0, 8);
      for (std::size_t i = from; i < items.size(); ++i) {
        const std::string record =
            BigEndian(items[i].key.size(), 1) + items[i].key + items[i].value;
        body += BigEndian(record.size(), 4) + record;
      }
    } else {
      status = 404;
    }
    if (loses_answer(request.target)) {
      while (!socket.PeerClosed()) {
        Sleep(0.02);
      }
      return;
    }
    socket.Write("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Item>> topics_;
  Listener listener_;
};

/// A backend worker: registers itself, writes heartbeats, and serves requests that name it.
class Worker {
 public:
  /// Runs a request. Called on the connection's thread. \return False to close the connection.
  using Run = std::function<bool(Worker&, Socket&, const Message&)>;
  struct Options {
    std::string service;
    std::string zone = "z1";
    int slots = 6;
    Run run;
  };
  Worker(Store& store, std::string id, Options options)
      : store_(store),
        id_(std::move(id)),
        options_(std::move(options)),
        born_(UnixMs()),
        listener_(Ip(2), 0, [this](auto socket) { Serve(socket); }) {
    heartbeats_ = std::thread([this] {
      while (!stopped_) {
        if (beating_) {
          Beat();
        }
        for (int i = 0; i < 60 && !stopped_; ++i) {
          Sleep(0.02);
        }
      }
    });
  }
  ~Worker() {
    stopped_ = true;
    heartbeats_.join();
  }

  std::string id() const {
    const Lock lock(mutex_);
    return id_;
  }
  std::string EntryJson(const std::string& state) const {
    return "{\"backend\":\"" + options_.service + "\",\"addr\":\"" + listener_.address() +
           "\",\"zone\":\"" + options_.zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) + ",\"state\":\"" +
           state + "\",\"cold_left_ms\":0,\"seq\":" + std::to_string(sequence_) +
           ",\"born\":" + std::to_string(born_) + "}";
  }
  void Beat() {
    const Lock lock(mutex_);
    ++sequence_;
    if (std::exchange(loses_beat_, false)) {
      lost_beat_ = EntryJson(state_);
      return;
    }
    store_.Put("keyed.servers", id_, EntryJson(state_));
  }
  /// The store gives no answer to the next regular heartbeat and does not carry it out yet.
  void LoseNextBeat() {
    const Lock lock(mutex_);
    loses_beat_ = true;
  }
  /// The heartbeat that was lost; empty before.
  std::string lost_beat() const {
    const Lock lock(mutex_);
    return lost_beat_;
  }
  /// Ends its heartbeats; it goes on serving.
  void StopBeating() { beating_ = false; }
  /// Reports that it takes no new requests. The store has accepted it when this returns.
  void Drain() {
    {
      const Lock lock(mutex_);
      state_ = "draining";
    }
    Beat();
  }
  /// Ends at once: resets all connections and refuses new ones. Its heartbeats stop.
  void Crash() {
    beating_ = false;
    std::thread([this] { listener_.Close(true); }).detach();
  }
  /// The process ends: its connections are reset.
  void Exit() {
    beating_ = false;
    listener_.Close(true);
  }
  /// Starts again under another id at the same address, after Crash().
  void Restart(const std::string& id) {
    {
      const Lock lock(mutex_);
      id_ = id;
      born_ = UnixMs();
      sequence_ = 0;
    }
    listener_.Open(listener_.port());
    Beat();
    beating_ = true;
  }
  static std::string Response(int status, const Message& request, const std::string& body,
                              const std::string& fields = "") {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nX-Attempt-Id: " + request.Field("x-attempt-id") + "\r\nX-Server-Seal: s." +
           request.Field("x-attempt-id") + "\r\nKeep-Alive: timeout=10\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  void Serve(const std::shared_ptr<Socket>& socket) {
    for (;;) {
      Message request;
      if (!ReadMessage(*socket, request, true) || !request.complete) {
        return;
      }
      if (request.Field("x-expect-instance") != id()) {
        socket->Write("HTTP/1.1 421 X\r\nX-Attempt-Id: " + request.Field("x-attempt-id") +
                      "\r\nX-Instance-Id: " + id() + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!options_.run(*this, *socket, request)) {
        return;
      }
    }
  }

  Store& store_;
  mutable std::mutex mutex_;
  std::string id_;
  Options options_;
  std::int64_t born_;
  std::int64_t sequence_ = 0;
  std::string state_ = "ready";
  bool loses_beat_ = false;
  std::string lost_beat_;
  std::atomic<bool> beating_ = true;
  std::atomic<bool> stopped_ = false;
  Listener listener_;
  std::thread heartbeats_;
};

/// A gateway process, started with the command of deploy/system.toml.
class Gateway {
 public:
  static constexpr int kFront = 18783, kReady = 18780, kControl = 18785, kPeer = 17400;
  Gateway(Store& store, int number, int gateways, std::string directory, int ram_mb = 110)
      : ip_(Ip(10 + number)),
        log_(directory + "/gateway-" + std::to_string(number) + ".log"),
        settings_(directory + "/gateway-" + std::to_string(number) + ".json") {
    std::string seeds;
    for (int i = 1; i <= gateways; ++i) {
      seeds += (i > 1 ? "," : "") + ("\"" + Ip(10 + i)) + ":" + std::to_string(kControl) + "\"";
    }
    const auto listen = [&](int port) { return "\"" + ip_ + ":" + std::to_string(port) + "\""; };
    std::ofstream(settings_)
        << "{\"node_name\":\"edge-" << number << "\",\"role\":\"gateway\","
        << "\"machine_class\":\"edge\",\"serves\":[\"edge\",\"control\"],\"ip\":\"" << ip_
        << "\",\"zone\":\"z" << number
        << "\",\"region\":\"r\",\"zones\":{\"z1\":\"r\",\"z2\":\"r\",\"z3\":\"r\",\"z4\":\"r\"},"
        << "\"listen\":{\"front\":" << listen(kFront) << ",\"ready\":" << listen(kReady)
        << ",\"control\":" << listen(kControl) << "},\"port_range\":[" << kPeer << "," << kPeer + 15
        << "],\"seeds\":[" << seeds << "],\"bootstrap\":true,\"counts_as_loss\":false,"
        << "\"limits\":{\"cpu_share\":0.19,\"cpus\":1,\"ram_mb\":" << ram_mb
        << ",\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,"
        << "\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1200,"
        << "\"bounds\":{\"contact_ms\":3000,\"drain_ms\":2000,\"grace_s\":8,\"apply_ms\":2000,"
        << "\"retry_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":54,\"quota_window_s\":4},"
        << "\"platform\":{\"addr\":\"" << store.address()
        << "\",\"form\":\"log\",\"writes_per_s\":400,\"reads_per_s\":2000}}\n";
    Start();
  }
  ~Gateway() {
    if (Running()) {
      Signal(SIGKILL);
      Wait();
    }
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start() {
    const std::string variable = "LAGOONWIND_BOOT=" + settings_;
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const char* arguments[] = {"target/lagoonwindd", "--platform", nullptr};
      const char* variables[] = {variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C.UTF-8", nullptr};
      execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(variables));
      _exit(127);
    }
    started_at = Seconds();
  }
  /// Has no effect unless the process runs or has not been waited for.
  void Signal(int signal) {
    if (pid_ > 0) {
      ::kill(pid_, signal);
    }
  }
  bool Running() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
    }
    return pid_ > 0;
  }
  void Wait() {
    while (Running()) {
      Sleep(0.01);
    }
  }
  /// Stops it as the platform does: SIGTERM, and SIGKILL after `grace_s`.
  void Stop() {
    Signal(SIGTERM);
    const double until = Seconds() + 8;
    while (Running() && Seconds() < until) {
      Sleep(0.01);
    }
    if (Running()) {
      Signal(SIGKILL);
      Wait();
    }
  }
  bool IsReady() const {
    const auto socket = Socket::Connect(ip_, kReady);
    Message response;
    return socket != nullptr &&
           socket->Write("GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
           ReadMessage(*socket, response, false, 1) && response.status == 200;
  }
  /// \return False if it isn't ready after ten seconds.
  bool AwaitReady() const {
    const double until = Seconds() + 10;
    while (!IsReady()) {
      if (Seconds() > until) {
        return false;
      }
      Sleep(0.02);
    }
    return true;
  }
  std::unique_ptr<Socket> Connect() const { return Socket::Connect(ip_, kFront); }
  /// Resident memory in MB; 0 if it does not run.
  double ResidentMb() {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmRSS:")) {
        return std::stod(line.substr(6)) / 1024;
      }
    }
    return 0;
  }
  pid_t pid() const { return pid_; }

  double started_at = 0;

 private:
  std::string ip_, log_, settings_;
  pid_t pid_ = -1;
};

inline std::string RequestText(const std::string& method, const std::string& target,
                               const std::string& id, const std::string& body,
                               const std::string& key = "key1", int deadline_ms = 3000,
                               const std::string& fields = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
         (key.empty() ? "" : "\r\nAuthorization: Bearer " + key) + "\r\n" + fields +
         (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

/// A configuration with the routes /book/ (mutating) and /look/ (idempotent) to the service `desk`.
inline std::string Configuration(int version, const std::string& keys = "\"key1\"",
                                 std::int64_t max_body_bytes = 4194304) {
  const auto route = [](const char* name, const char* prefix, const char* type, int attempts) {
    return std::string("{\"name\":\"") + name + "\",\"host\":\"shop.example\",\"path_prefix\":\"" +
           prefix + "\",\"type\":\"" + type +
           "\",\"timeout_ms\":3000,\"slo_ms\":300,\"priority\":2,\"backend\":\"desk\","
           "\"max_attempts\":" +
           std::to_string(attempts) + ",\"public\":false,\"resumable\":false}";
  };
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         route("r-book", "/book/", "mutating", 1) + "," +
         route("r-look", "/look/", "idempotent", 2) +
         "],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":100,"
         "\"cold_s\":0.0}],\"tenants\":[{\"name\":\"t1\",\"api_keys\":[" +
         keys + "]}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" +
         std::to_string(max_body_bytes) + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

/// A temporary folder for settings and logs, removed at the end unless KEEP is set.
struct Folder {
  Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    path = mkdtemp(pattern.data());
  }
  ~Folder() {
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(path);
    } else {
      std::fprintf(stderr, "kept: %s\n", path.c_str());
    }
  }
  std::string path;
};

/// Ends the process without waiting for the threads of connections.
[[noreturn]] inline void End(int code) {
  std::fflush(nullptr);
  std::_Exit(code);
}

}  // namespace review
