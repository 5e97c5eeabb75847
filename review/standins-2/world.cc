#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lagoonwind::review {
namespace {

constexpr int kBacklog = 128;
constexpr int kMaxFillers = 8;
constexpr milliseconds kReadyTime{10000};
constexpr milliseconds kPoll{20};

sockaddr_in AddressOf(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Starts to connect without waiting. \return The socket.
int StartConnect(const sockaddr_in& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  (void)connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return fd;
}

/// True if the connection was established within `timeout`.
bool AwaitConnected(int fd, milliseconds timeout) {
  pollfd state{.fd = fd, .events = POLLOUT, .revents = 0};
  int error = 0;
  socklen_t size = sizeof(error);
  return poll(&state, 1, static_cast<int>(timeout.count())) == 1 &&
         getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

std::string Lowercase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
  }
  return text;
}

std::string Base64(const std::string& bytes) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group =
          (group << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool present = i + k <= bytes.size();
      text.push_back(present ? kDigits[(group >> (6 * (3 - k))) & 0x3fU] : '=');
    }
  }
  return text;
}

std::string Parameter(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr) {
    throw std::runtime_error("cannot write " + path);
  }
}

Record::~Record() { std::fclose(file_); }

double Record::Seconds() const {
  return std::chrono::duration<double>(Clock::now() - start_).count();
}

void Record::Write(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  std::fprintf(file_, "%8.3f  %s\n", Seconds(), line.c_str());
  std::fflush(file_);
}

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

int Message::Status() const {
  return start_line.rfind("HTTP/", 0) == 0 ? std::atoi(start_line.c_str() + 9) : 0;
}

Connection::~Connection() { close(fd_); }

void Connection::Shut() const { shutdown(fd_, SHUT_RDWR); }

void Connection::SetReadTimeout(milliseconds time) const {
  const timeval value{.tv_sec = time.count() / 1000, .tv_usec = time.count() % 1000 * 1000};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

void Connection::ResetOnClose() const {
  const linger option{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

bool Connection::Fill() {
  std::string chunk(16384, '\0');
  const ssize_t count = recv(fd_, chunk.data(), chunk.size(), 0);
  if (count <= 0) {
    broken_ = count < 0;
    return false;
  }
  buffer_.append(chunk, 0, static_cast<std::size_t>(count));
  return true;
}

std::string Connection::ReadLine() {
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos && Fill()) {
    end = buffer_.find("\r\n");
  }
  if (end == std::string::npos) {
    return {};
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

Message Connection::Read() {
  Message message{.start_line = ReadLine()};
  if (message.start_line.empty()) {
    return message;
  }
  for (std::string line = ReadLine(); !line.empty(); line = ReadLine()) {
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t begin = std::min(line.find_first_not_of(' ', colon + 1), line.size());
      message.fields[Lowercase(line.substr(0, colon))] = line.substr(begin);
    }
  }
  const std::string length = message.Field("content-length");
  message.framed = !length.empty();
  if (message.framed) {
    const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
    bool open = true;
    while (open && buffer_.size() < size) {
      open = Fill();
    }
    message.complete = buffer_.size() >= size;
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
  } else if (message.Status() != 0) {
    // The body ends with the connection.
    while (Fill()) {
    }
    message.body.swap(buffer_);
    message.complete = true;
  } else {
    message.complete = true;
  }
  return message;
}

bool Connection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string Connection::ReadAll(const std::string& last) {
  bool open = true;
  while (open && !(buffer_.size() >= last.size() &&
                   buffer_.compare(buffer_.size() - last.size(), last.size(), last) == 0)) {
    open = Fill();
  }
  return std::exchange(buffer_, {});
}

void Connection::AwaitClose(milliseconds time) {
  SetReadTimeout(time);
  while (Fill()) {
  }
}

std::unique_ptr<Connection> Connect(const std::string& address, milliseconds timeout) {
  const std::size_t colon = address.rfind(':');
  const auto port = static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1));
  const int fd = StartConnect(AddressOf(address.substr(0, colon), port));
  if (!AwaitConnected(fd, timeout)) {
    close(fd);
    return nullptr;
  }
  fcntl(fd, F_SETFL, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return std::make_unique<Connection>(fd);
}

Listener::Listener(std::string ip, Serve serve) : ip_(std::move(ip)), serve_(std::move(serve)) {
  Open();
  thread_ = std::thread([this] { Accept(); });
}

Listener::~Listener() {
  stopping_ = true;
  thread_.join();
  Resume();
  Close();
}

std::string Listener::address() const { return ip_ + ":" + std::to_string(port_); }

void Listener::Open() {
  const std::scoped_lock lock(mutex_);
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in address = AddressOf(ip_, port_);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd_, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on " + ip_);
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size);
  port_ = ntohs(bound.sin_port);
}

void Listener::Close() {
  const std::scoped_lock lock(mutex_);
  if (fd_ >= 0) {
    close(fd_);
    fd_ = -1;
  }
}

void Listener::Silence() {
  const std::scoped_lock lock(mutex_);
  silent_ = true;
  // A full queue of new connections drops further ones.
  listen(fd_, 0);
  bool connected = true;
  for (int i = 0; i < kMaxFillers && connected; ++i) {
    fillers_.push_back(StartConnect(AddressOf(ip_, port_)));
    connected = AwaitConnected(fillers_.back(), kPoll);
  }
}

void Listener::Resume() {
  const std::scoped_lock lock(mutex_);
  for (const int filler : fillers_) {
    close(filler);
  }
  fillers_.clear();
  if (fd_ >= 0) {
    listen(fd_, kBacklog);
  }
  silent_ = false;
}

void Listener::Accept() {
  while (!stopping_) {
    int accepted = -1;
    {
      const std::scoped_lock lock(mutex_);
      if (fd_ >= 0 && !silent_) {
        accepted = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      }
    }
    if (accepted < 0) {
      std::this_thread::sleep_for(milliseconds(1));
      continue;
    }
    const int one = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    // Connections outlive the listener; the process ends them.
    std::thread([serve = serve_, connection = std::make_shared<Connection>(accepted)] {
      serve(connection);
    }).detach();
  }
}

Store::Store()
    : listener_(IpOf(1),
                [this](const std::shared_ptr<Connection>& connection) { Serve(*connection); }) {}

void Store::Put(const std::string& topic, const std::string& key, const std::string& value) {
  const std::scoped_lock lock(mutex_);
  topics_[topic].emplace_back(key, value);
  changed_.notify_all();
}

void Store::Serve(Connection& connection) {
  const Message request = connection.Read();
  if (!request.complete) {
    return;
  }
  const std::string target = request.start_line.substr(request.start_line.find(' ') + 1);
  const std::string topic = Parameter(target, "topic");
  std::string body;
  std::string type = "application/json";
  if (target.rfind("/api/log-newest", 0) == 0) {
    body = ReadNewest(topic);
  } else if (target.rfind("/api/log-read", 0) == 0) {
    type = "application/octet-stream";
    body = ReadFrom(topic, static_cast<std::size_t>(std::atoll(Parameter(target, "from").c_str())),
                    milliseconds(std::atoll(Parameter(target, "wait_ms").c_str())));
  } else if (target.rfind("/api/log-append", 0) == 0) {
    body = Append(topic, request.body);
  }
  connection.Write("HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
}

std::string Store::ReadNewest(const std::string& topic) {
  const std::scoped_lock lock(mutex_);
  const auto& records = topics_[topic];
  std::map<std::string, std::pair<std::string, std::size_t>> newest;
  for (std::size_t i = 0; i < records.size(); ++i) {
    newest[records[i].first] = {records[i].second, i};
  }
  std::string items;
  for (const auto& [key, record] : newest) {
    if (!record.first.empty()) {
      items += (items.empty() ? "" : ",") + (R"({"key":")" + key) + R"(","value":")" +
               Base64(record.first) + R"(","offset":)" + std::to_string(record.second) + "}";
    }
  }
  return R"({"items":[)" + items + R"(],"has_more":false,"end":)" + std::to_string(records.size()) +
         "}";
}

std::string Store::ReadFrom(const std::string& topic, std::size_t from, milliseconds wait) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [&] { return topics_[topic].size() > from; });
  const auto& records = topics_[topic];
  std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = from; i < records.size(); ++i) {
    const auto& [key, value] = records[i];
    body.append(BigEndian(1 + key.size() + value.size(), 4))
        .append(BigEndian(key.size(), 1))
        .append(key)
        .append(value);
  }
  return body;
}

std::string Store::Append(const std::string& topic, const std::string& records) {
  const std::scoped_lock lock(mutex_);
  // One record: its length, the length of the key, the key, the value.
  const auto key_size = static_cast<std::size_t>(static_cast<unsigned char>(records.at(4)));
  topics_[topic].emplace_back(records.substr(5, key_size), records.substr(5 + key_size));
  changed_.notify_all();
  const std::size_t end = topics_[topic].size();
  return R"({"offset":)" + std::to_string(end - 1) + R"(,"end":)" + std::to_string(end) + "}";
}

void Configure(Store& store, int version, const std::vector<Route>& routes) {
  std::ostringstream text;
  text << R"({"version":)" << version << R"(,"routes":[)";
  for (const Route& route : routes) {
    text << (&route == routes.data() ? "" : ",") << R"({"name":")" << route.name
         << R"(","host":"shop","path_prefix":")" << route.prefix << R"(","type":")" << route.type
         << R"(","backend":")" << route.service << R"(","timeout_ms":)" << route.timeout_ms
         << R"(,"slo_ms":300,"priority":2,"max_attempts":)" << route.max_attempts
         << R"(,"resumable":)" << (route.resumable ? "true" : "false") << "}";
  }
  text
      << R"(],"services":[{"name":"desk","max_conns":100},)"
      << R"({"name":"model","max_conns":360,"engine":{"slots":64,"kv_capacity":315709}}],)"
      << R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)"
      << R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
      << R"("tenants":[{"name":"erie","api_keys":["key1"]},{"name":"huron","api_keys":["key2"]}]})";
  store.Put("keyed.op", "config", text.str());
}

void Register(Store& store, const std::string& id, const std::string& service,
              const std::string& address, std::int64_t born, int seq, int slots) {
  std::ostringstream text;
  text << R"({"backend":")" << service << R"(","addr":")" << address
       << R"(","zone":"lakes-a","version":"1","slots":)" << slots
       << R"(,"state":"ready","cold_left_ms":0,"seq":)" << seq << R"(,"born":)" << born << "}";
  store.Put("keyed.servers", id, text.str());
}

std::string IpOf(int host) {
  const int pid = getpid();
  return "127." + std::to_string(20 + pid / 250 % 200) + "." + std::to_string(1 + pid % 250) + "." +
         std::to_string(host);
}

Gateway::Gateway(int number, const std::string& store, const std::string& folder) {
  constexpr int kFirstHost = 100;
  const std::string ip = IpOf(kFirstHost + number);
  front_ = ip + ":18701";
  ready_ = ip + ":18702";
  const std::string name = "edge-" + std::to_string(number);
  const std::string settings = folder + "/" + name + ".json";
  std::ofstream(settings)
      << R"({"node_name":")" << name << R"(","role":"gateway","machine_class":"edge","ip":")" << ip
      << R"(","zone":"lakes-a","region":"lakes","listen":{"front":")" << front_ << R"(","ready":")"
      << ready_ << R"(","control":")" << ip << R"(:18703"},)"
      << R"("port_range":[18710,18725],"seeds":[")" << IpOf(kFirstHost + 1) << R"(:18703",")"
      << IpOf(kFirstHost + 2) << R"(:18703"],"bootstrap":true,)"
      << R"("limits":{"cpu_share":0.19,"cpus":1,"ram_mb":260,"max_fds":4100,"link_mbps":1000.0},)"
      << R"("heartbeat_ms":1200,"bounds":{"contact_ms":3000,"drain_ms":2000,"grace_s":8,)"
      << R"("apply_ms":2000,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":54,)"
      << R"("quota_window_s":4},"platform":{"addr":")" << store << R"(","form":"log"}})";
  const std::string log = folder + "/" + name + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("LAGOONWIND_BOOT", settings.c_str(), 1);
    execl("target/lagoonwindd", "target/lagoonwindd", "--platform", nullptr);
    _exit(127);
  }
}

Gateway::~Gateway() {
  if (Runs()) {
    kill(pid_, SIGKILL);
  }
  waitpid(pid_, nullptr, 0);
}

bool Gateway::Runs() const {
  siginfo_t info{};
  return waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == 0;
}

void Gateway::Terminate() const { kill(pid_, SIGTERM); }

bool Gateway::AwaitReady() const {
  const auto until = Clock::now() + kReadyTime;
  while (Clock::now() < until && Runs()) {
    const auto connection = Connect(ready_);
    if (connection != nullptr) {
      connection->SetReadTimeout(milliseconds(1000));
      connection->Write("GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      if (connection->Read().Status() == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "lagoonwind-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  path_ = pattern;
}

TemporaryFolder::~TemporaryFolder() { Remove(); }

void TemporaryFolder::Remove() const {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr ? "1" : value;
}

}  // namespace lagoonwind::review
