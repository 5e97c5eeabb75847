#include "deployment.h"

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace review {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr int kBitsPerByte = 8;
constexpr milliseconds kWorkTime{60};
constexpr milliseconds kReadyPoll{50};
constexpr int kReadyPolls = 200;
constexpr int kClientDeadlineMs = 3000;
constexpr milliseconds kReconnectPause{20};

std::string BigEndian(std::uint64_t value, std::size_t bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes; ++i) {
    out.push_back(static_cast<char>(value >> (kBitsPerByte * (bytes - 1 - i))));
  }
  return out;
}

std::uint64_t FromBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = (value << kBitsPerByte) | static_cast<unsigned char>(byte);
  }
  return value;
}

std::string Base64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr std::size_t kGroup = 3;
  constexpr int kBitsPerDigit = 6;
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += kGroup) {
    const std::string_view group = bytes.substr(i, kGroup);
    const std::uint64_t value = FromBigEndian(group) << (kBitsPerByte * (kGroup - group.size()));
    for (std::size_t digit = 0; digit <= kGroup; ++digit) {
      const auto index = (value >> (kBitsPerDigit * (kGroup - digit))) % kDigits.size();
      out.push_back(digit <= group.size() ? kDigits[index] : '=');
    }
  }
  return out;
}

std::string Quoted(const std::string& text) {
  std::string out = "\"";
  for (const char character : text) {
    if (character == '"' || character == '\\') {
      out.push_back('\\');
    }
    out.push_back(character);
  }
  return out + "\"";
}

std::string Response(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + (status == 200 ? "OK" : "Error") + "\r\n" +
         fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::uint16_t FreePort(const std::string& ip) {
  std::uint16_t port = 0;
  const int listener = OpenListener(ip, port);
  close(listener);
  return port;
}

}  // namespace

void Record::Add(const std::string& line) { Add(Clock::now(), line); }

void Record::Add(Clock::time_point at, const std::string& line) {
  const std::scoped_lock lock(mutex_);
  lines_.emplace_back(at, line);
}

std::string Record::Seconds(Clock::time_point at) const {
  std::array<char, 32> text{};
  (void)std::snprintf(text.data(), text.size(), "%.3f",
                      std::chrono::duration<double>(at - start_).count());
  return text.data();
}

void Record::Write(const std::string& path) {
  const std::scoped_lock lock(mutex_);
  std::ranges::stable_sort(lines_, {}, [](const auto& line) { return line.first; });
  std::ofstream file(path);
  for (const auto& [at, line] : lines_) {
    file << Seconds(at) << " " << line << "\n";
  }
}

Store::Store(std::string ip) : ip_(std::move(ip)) {
  const int listener = OpenListener(ip_, port_);
  std::thread([this, listener] { Accept(listener); }).detach();
}

std::string Store::address() const { return ip_ + ":" + std::to_string(port_); }

Clock::time_point Store::Put(const std::string& topic, const std::string& key,
                             const std::string& value) {
  const std::scoped_lock lock(mutex_);
  topics_[topic].push_back({.key = key, .value = value});
  changed_.notify_all();
  return Clock::now();
}

void Store::Accept(int listener) {
  for (;;) {
    const int connection = accept(listener, nullptr, nullptr);
    if (connection >= 0) {
      std::thread([this, connection] { Serve(connection); }).detach();
    }
  }
}

void Store::Serve(int connection) {
  std::string buffer;
  if (const auto call = ReadMessage(connection, buffer)) {
    WriteAll(connection, Response(200, "Connection: close\r\n", Answer(*call)));
  }
  close(connection);
}

std::string Store::Answer(const Message& call) {
  const std::string target = call.Target();
  const std::string topic = QueryParameter(target, "topic");
  std::unique_lock lock(mutex_);
  if (target.starts_with("/api/log-newest")) {
    return Newest(topic);
  }
  if (target.starts_with("/api/log-append")) {
    std::string body = Append(topic, call.body);
    changed_.notify_all();
    return body;
  }
  const std::size_t from = std::strtoul(QueryParameter(target, "from").c_str(), nullptr, 10);
  const milliseconds wait(std::atoi(QueryParameter(target, "wait_ms").c_str()));
  changed_.wait_for(lock, wait, [&] { return topics_[topic].size() > from; });
  return ReadFrom(topic, from);
}

std::string Store::Newest(const std::string& topic) const {
  std::map<std::string, std::pair<std::string, std::size_t>> newest;
  const auto found = topics_.find(topic);
  const std::size_t end = found == topics_.end() ? 0 : found->second.size();
  for (std::size_t offset = 0; offset < end; ++offset) {
    const Entry& entry = found->second[offset];
    newest[entry.key] = {entry.value, offset};
  }
  std::string items;
  for (const auto& [key, value] : newest) {
    if (!value.first.empty()) {
      items += std::string(items.empty() ? "" : ",") + "{\"key\":" + Quoted(key) +
               ",\"value\":" + Quoted(Base64(value.first)) +
               ",\"offset\":" + std::to_string(value.second) + "}";
    }
  }
  return "{\"items\":[" + items + R"(],"has_more":false,"end":)" + std::to_string(end) + "}";
}

std::string Store::ReadFrom(const std::string& topic, std::size_t from) const {
  const auto found = topics_.find(topic);
  const std::size_t end = found == topics_.end() ? 0 : found->second.size();
  std::string body = BigEndian(end, kOffsetBytes) + BigEndian(0, kOffsetBytes);
  for (std::size_t offset = from; offset < end; ++offset) {
    const Entry& entry = found->second[offset];
    body += BigEndian(1 + entry.key.size() + entry.value.size(), kLengthBytes) +
            BigEndian(entry.key.size(), 1) + entry.key + entry.value;
  }
  return body;
}

std::string Store::Append(const std::string& topic, std::string_view records) {
  std::vector<Entry>& entries = topics_[topic];
  const std::size_t offset = entries.size();
  while (records.size() > kLengthBytes) {
    const std::size_t length = FromBigEndian(records.substr(0, kLengthBytes));
    const std::string_view content = records.substr(kLengthBytes, length);
    const std::size_t key_length = FromBigEndian(content.substr(0, 1));
    entries.push_back({.key = std::string(content.substr(1, key_length)),
                       .value = std::string(content.substr(1 + key_length))});
    records.remove_prefix(kLengthBytes + length);
  }
  return "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(entries.size()) +
         "}";
}

void Arrivals::Add(const Arrival& arrival) {
  const std::scoped_lock lock(mutex_);
  arrivals_.push_back(arrival);
}

std::vector<Arrival> Arrivals::All() const {
  const std::scoped_lock lock(mutex_);
  return arrivals_;
}

Worker::Worker(Store& store, Arrivals& arrivals, Record& record, std::string id, std::string ip)
    : store_(store), arrivals_(arrivals), record_(record), id_(std::move(id)), ip_(std::move(ip)) {}

void Worker::Start(std::int64_t born_ms) {
  {
    const std::scoped_lock lock(mutex_);
    listener_ = OpenListener(ip_, port_);
    up_ = true;
    born_ms_ = born_ms;
    sequence_ = 0;
    std::thread([this, listener = listener_, incarnation = ++incarnation_] {
      Accept(listener, incarnation);
    }).detach();
  }
  record_.Add("worker " + id_ + " starts, born " + std::to_string(born_ms));
  Report("ready");
}

void Worker::Stop() {
  const std::scoped_lock lock(mutex_);
  up_ = false;
  shutdown(listener_, SHUT_RDWR);
  for (const int connection : connections_) {
    shutdown(connection, SHUT_RDWR);
  }
  record_.Add("worker " + id_ + " ends");
}

Clock::time_point Worker::Report(const std::string& state) {
  std::string entry;
  {
    const std::scoped_lock lock(mutex_);
    state_ = state;
    entry = R"({"backend":"desk","addr":")" + ip_ + ":" + std::to_string(port_) +
            R"(","zone":"z1","version":"1","slots":6,"state":")" + state +
            R"(","cold_left_ms":0,"seq":)" + std::to_string(++sequence_) + R"(,"born":)" +
            std::to_string(born_ms_) + "}";
  }
  return store_.Put("keyed.servers", id_, entry);
}

void Worker::Beat() {
  std::string state;
  {
    const std::scoped_lock lock(mutex_);
    if (!up_) {
      return;
    }
    state = state_;
  }
  Report(state);
}

void Worker::Deregister() { store_.Put("keyed.servers", id_, ""); }

bool Worker::IsUp(int incarnation) const {
  const std::scoped_lock lock(mutex_);
  return up_ && incarnation_ == incarnation;
}

void Worker::Accept(int listener, int incarnation) {
  while (IsUp(incarnation)) {
    const int connection = accept(listener, nullptr, nullptr);
    if (connection >= 0) {
      std::thread([this, connection, incarnation] { Serve(connection, incarnation); }).detach();
    }
  }
  close(listener);
}

void Worker::Serve(int connection, int incarnation) {
  {
    const std::scoped_lock lock(mutex_);
    connections_.insert(connection);
  }
  std::string buffer;
  bool open = true;
  while (open && IsUp(incarnation)) {
    const auto request = ReadMessage(connection, buffer);
    if (!request || !IsUp(incarnation)) {
      break;
    }
    const std::string request_id = request->Field("x-attempt-id");
    const bool expected = request->Field("x-expect-instance") == id_;
    arrivals_.Add({.at = Clock::now(),
                   .id = request_id,
                   .worker = id_,
                   .tenant = request->Field("x-tenant"),
                   .ran = expected});
    if (expected) {
      std::this_thread::sleep_for(kWorkTime);
    }
    const std::string fields = "X-Attempt-Id: " + request_id + "\r\n" +
                               (expected ? "X-Server-Seal: " + id_ + "\r\n" : "") +
                               "Keep-Alive: timeout=5\r\n";
    open = IsUp(incarnation) &&
           WriteAll(connection, Response(expected ? 200 : 421, fields, "answer to " + request_id));
  }
  const std::scoped_lock lock(mutex_);
  connections_.erase(connection);
  close(connection);
}

GatewayProcess::GatewayProcess(int number, const std::string& store_address,
                               const std::string& directory)
    : ip_(LoopbackIp(number)), front_port_(FreePort(ip_)), ready_port_(FreePort(ip_)) {
  const std::string path = directory + "/node-" + std::to_string(number) + ".json";
  const std::uint16_t peer_port = 7400;
  std::ofstream(path)
      << R"({"node_name":"edge-z1-)" << number
      << R"(","role":"gateway","machine_class":"edge","serves":["edge","control"],"ip":")" << ip_
      << R"(","zone":"z1","region":"r1","zones":{"z1":"r1"},"listen":{"front":")" << ip_ << ":"
      << front_port_ << R"(","ready":")" << ip_ << ":" << ready_port_ << R"("},"port_range":[)"
      << peer_port << "," << peer_port + 15 << R"(],"seeds":[")" << LoopbackIp(1) << R"(:8785",")"
      << LoopbackIp(2)
      << R"(:8785"],"bootstrap":true,"limits":{"cpu_share":1,"cpus":1,"ram_mb":110,)"
      << R"("max_fds":4100,"link_mbps":1000.0,"disk_mb":0},"data_dir":null,)"
      << R"("discovery":"platform","entry":"vip","heartbeat_ms":1200,)"
      << R"("tolerate":{"machines":2,"zones":1,"regions":0},"bounds":{"contact_ms":4000,)"
      << R"("drain_ms":3000,"grace_s":8,"apply_ms":3000,"retry_ratio":0.2,"retry_window_s":10,)"
      << R"("retry_slack":86,"quota_window_s":4},"platform":{"addr":")" << store_address
      << R"(","form":"log","keep_s":300}})";
  const std::string log = directory + "/gateway-" + std::to_string(number) + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    setenv("LAGOONWIND_BOOT", path.c_str(), 1);
    if (std::freopen(log.c_str(), "w", stdout) == nullptr) {
      std::_Exit(2);
    }
    execl("target/lagoonwindd", "target/lagoonwindd", "--platform", nullptr);
    std::_Exit(2);
  }
}

bool GatewayProcess::AwaitReady() const {
  for (int i = 0; i < kReadyPolls; ++i) {
    const int connection = Connect(ip_, ready_port_);
    std::string buffer;
    std::optional<Message> answer;
    if (connection >= 0) {
      WriteAll(connection, "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
      answer = ReadMessage(connection, buffer);
      close(connection);
    }
    if (answer && answer->Status() == 200) {
      return true;
    }
    std::this_thread::sleep_for(kReadyPoll);
  }
  return false;
}

void GatewayProcess::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

void Clients::Start(const GatewayProcess& gateway, const std::string& name, const std::string& path,
                    const std::string& key, milliseconds pause) {
  const std::scoped_lock lock(mutex_);
  ++running_;
  std::thread([this, ip = gateway.ip(), port = gateway.port(), name, path, key, pause] {
    Run(ip, port, name, path, key, pause);
  }).detach();
}

void Clients::Run(const std::string& ip, std::uint16_t port, const std::string& name,
                  const std::string& path, const std::string& key, milliseconds pause) {
  int connection = -1;
  std::string buffer;
  for (int number = 1;; ++number) {
    {
      const std::scoped_lock lock(mutex_);
      if (stopping_) {
        --running_;
        close(connection);
        return;
      }
    }
    if (connection < 0) {
      buffer.clear();
      connection = Connect(ip, port);
      SetReadTimeout(connection, kClientDeadlineMs);
    }
    Answer answer{.id = name + "-" + std::to_string(number),
                  .path = path,
                  .key = key,
                  .gateway = ip,
                  .sent = Clock::now(),
                  .received = {}};
    const std::string body = "booking " + answer.id;
    std::string request = "POST " + path;
    request += "1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + answer.id;
    request += "\r\nX-Deadline-Ms: " + std::to_string(kClientDeadlineMs);
    request += "\r\nAuthorization: Bearer " + key;
    request += "\r\nContent-Length: " + std::to_string(body.size());
    request += "\r\n\r\n" + body;
    if (WriteAll(connection, request)) {
      const auto response = ReadMessage(connection, buffer);
      answer.status = response ? response->Status() : 0;
      if (!response || response->Field("connection") == "close") {
        close(connection);
        connection = -1;
      }
    } else {
      close(connection);
      connection = -1;
      std::this_thread::sleep_for(kReconnectPause);
    }
    answer.received = Clock::now();
    {
      const std::scoped_lock lock(mutex_);
      answers_.push_back(answer);
    }
    std::this_thread::sleep_for(pause);
  }
}

void Clients::Stop() {
  for (;;) {
    {
      const std::scoped_lock lock(mutex_);
      stopping_ = true;
      if (running_ == 0) {
        return;
      }
    }
    std::this_thread::sleep_for(kReconnectPause);
  }
}

std::vector<Answer> Clients::All() const {
  const std::scoped_lock lock(mutex_);
  return answers_;
}

std::string LoopbackIp(int number) {
  constexpr int kValues = 250;
  const int pid = getpid();
  return "127." + std::to_string(1 + pid / kValues % kValues) + "." +
         std::to_string(1 + pid % kValues) + "." + std::to_string(number);
}

std::string Configuration(int version, const std::vector<std::string>& keys) {
  const auto route = [](const std::string& name, const std::string& type, int attempts) {
    return R"({"name":")" + name + R"(","host":"shop.example","path_prefix":"/)" + name +
           R"(/","type":")" + type +
           R"(","backend":"desk","timeout_ms":1500,"slo_ms":300,"max_attempts":)" +
           std::to_string(attempts) + R"(,"priority":2,"public":false})";
  };
  std::string tenants;
  for (const std::string& key : keys) {
    tenants += tenants.empty() ? "" : ",";
    tenants += R"({"name":"tenant-)" + key;
    tenants += R"(","priority":1,"api_keys":[")" + key;
    tenants += R"("]})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         route("book", "mutating", 1) + "," + route("look", "idempotent", 2) +
         R"(],"services":[{"name":"desk","max_conns":100,"health_path":"/healthz"}],)" +
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)" +
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)" + tenants + "]}";
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void AddTraffic(Record& record, const Clients& clients, const Arrivals& arrivals) {
  for (const Answer& answer : clients.All()) {
    record.Add(answer.sent, "sent " + answer.id + " " + answer.path + " with " + answer.key +
                                " to " + answer.gateway + ", answered " +
                                std::to_string(answer.status) + " at " +
                                record.Seconds(answer.received));
  }
  for (const Arrival& arrival : arrivals.All()) {
    record.Add(arrival.at, "worker " + arrival.worker + (arrival.ran ? " runs " : " refuses ") +
                               arrival.id + " for " + arrival.tenant);
  }
}

}  // namespace review
