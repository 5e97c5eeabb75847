#pragma once

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "http_message.h"

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Lines of record.txt with the seconds since the start. Thread safe.
class Record {
 public:
  void Add(const std::string& line);
  /// Adds a line for the time `at`.
  void Add(Clock::time_point at, const std::string& line);
  /// Seconds since the start, with three decimals.
  [[nodiscard]] std::string Seconds(Clock::time_point at) const;
  /// Writes all lines in the order of their times.
  void Write(const std::string& path);

 private:
  std::mutex mutex_;
  const Clock::time_point start_ = Clock::now();
  std::vector<std::pair<Clock::time_point, std::string>> lines_;
};

/// The platform's store: keyed topics of one partition. Thread safe.
class Store {
 public:
  explicit Store(std::string ip);
  /// `IP:PORT`.
  [[nodiscard]] std::string address() const;
  /// Writes a record for the operator or a worker; an empty value deletes.
  /// \return When the store acknowledged it.
  Clock::time_point Put(const std::string& topic, const std::string& key, const std::string& value);

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  void Accept(int listener);
  void Serve(int connection);
  /// \return The answer's body.
  std::string Answer(const Message& call);
  [[nodiscard]] std::string Newest(const std::string& topic) const;
  [[nodiscard]] std::string ReadFrom(const std::string& topic, std::size_t from) const;
  /// Appends the records of a call. \return The answer's body.
  std::string Append(const std::string& topic, std::string_view records);

  std::string ip_;
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Entry>> topics_;
};

/// A request as a worker received it.
struct Arrival {
  Clock::time_point at;
  std::string id;
  std::string worker;
  std::string tenant;
  bool ran = false;
};

/// Arrivals at all workers. Thread safe.
class Arrivals {
 public:
  void Add(const Arrival& arrival);
  [[nodiscard]] std::vector<Arrival> All() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
};

/// A worker of a plain service. It keeps its address over restarts. Thread safe.
class Worker {
 public:
  /// \param store, arrivals, record  Must outlive this object.
  Worker(Store& store, Arrivals& arrivals, Record& record, std::string id, std::string ip);
  /// Starts a new incarnation. \param born_ms  The time of day that its machine shows.
  void Start(std::int64_t born_ms);
  /// Ends the process: its port refuses connections, its connections break.
  void Stop();
  /// Writes the entry in the store with this state. \return When the store acknowledged it.
  Clock::time_point Report(const std::string& state);
  /// Writes the entry once more if the worker runs, as each heartbeat does.
  void Beat();
  /// Deletes the entry in the store.
  void Deregister();
  [[nodiscard]] const std::string& id() const { return id_; }

 private:
  void Accept(int listener, int incarnation);
  void Serve(int connection, int incarnation);
  [[nodiscard]] bool IsUp(int incarnation) const;

  Store& store_;
  Arrivals& arrivals_;
  Record& record_;
  std::string id_;
  std::string ip_;
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  int listener_ = -1;
  std::set<int> connections_;
  int incarnation_ = 0;
  bool up_ = false;
  std::int64_t born_ms_ = 0;
  std::int64_t sequence_ = 0;
  std::string state_;
};

/// A gateway process, started with the command of the deploy file. Not thread safe.
class GatewayProcess {
 public:
  /// \param number  Distinguishes the gateways of a deployment, from 1 on.
  GatewayProcess(int number, const std::string& store_address, const std::string& directory);
  /// Waits until it says that it is ready. \return False if it doesn't within 10 s.
  [[nodiscard]] bool AwaitReady() const;
  /// Ends the process.
  void Kill();
  [[nodiscard]] const std::string& ip() const { return ip_; }
  [[nodiscard]] std::uint16_t port() const { return front_port_; }

 private:
  std::string ip_;
  std::uint16_t front_port_ = 0;
  std::uint16_t ready_port_ = 0;
  pid_t pid_ = -1;
};

/// What a client saw of one request.
struct Answer {
  std::string id;
  std::string path;
  std::string key;
  std::string gateway;
  Clock::time_point sent;
  Clock::time_point received;
  /// 0 if the connection ended without a complete answer.
  int status = 0;
};

/// Clients that send one request after another, each over a kept connection. Thread safe.
class Clients {
 public:
  /// Starts a client. \param path  With the slash at its end.
  void Start(const GatewayProcess& gateway, const std::string& name, const std::string& path,
             const std::string& key, milliseconds pause);
  /// Ends all clients and waits until their last answers have come.
  void Stop();
  [[nodiscard]] std::vector<Answer> All() const;

 private:
  void Run(const std::string& ip, std::uint16_t port, const std::string& name,
           const std::string& path, const std::string& key, milliseconds pause);

  mutable std::mutex mutex_;
  std::vector<Answer> answers_;
  bool stopping_ = false;
  int running_ = 0;
};

/// A loopback address of this process. \param number  The last byte.
std::string LoopbackIp(int number);
/// Configuration with a mutating route /book/ and an idempotent route /look/ to the service `desk`.
/// \param keys  API keys, one for each tenant.
std::string Configuration(int version, const std::vector<std::string>& keys);
/// The time of day in milliseconds.
std::int64_t UnixMilliseconds();
/// Adds what was sent, answered and run to the record.
void AddTraffic(Record& record, const Clients& clients, const Arrivals& arrivals);

}  // namespace review
