#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// \file
/// Stand-ins of the platform's store, of workers and of clients, and gateways as processes. All
/// addresses are loopback addresses. Blocking sockets, one thread for each connection.
namespace lagoonwind::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Writes `record.txt`, one line for each event, with the time since the start. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Write(const std::string& line);
  /// Seconds since the start.
  [[nodiscard]] double Seconds() const;

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  std::FILE* file_;
};

/// Head and body of a request or a response.
struct Message {
  std::string start_line;
  /// Names in lowercase.
  std::map<std::string, std::string> fields;
  std::string body;
  /// False if the connection ended before the message was whole.
  bool complete = false;
  /// True if a length or chunks show where the body ends.
  bool framed = false;

  /// Value of a field; empty if it is absent.
  [[nodiscard]] std::string Field(const std::string& name) const;
  /// Status of a response; 0 if there is none.
  [[nodiscard]] int Status() const;
};

/// A connected socket. Reads are not thread safe; Shut() may be called by any thread.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Reads a message; its `complete` is false if none arrived.
  Message Read();
  bool Write(const std::string& bytes);
  /// Reads bytes until they end with `last` or the connection ends.
  std::string ReadAll(const std::string& last);
  /// True if a read has failed other than by the end of the connection in order.
  [[nodiscard]] bool broken() const { return broken_; }
  /// Waits until the peer closes the connection or `time` has passed.
  void AwaitClose(milliseconds time);
  /// Ends both directions, so that pending reads return.
  void Shut() const;
  /// Sets the longest time that a read waits.
  void SetReadTimeout(milliseconds time) const;
  /// Makes the destructor reset the connection.
  void ResetOnClose() const;

 private:
  bool Fill();
  std::string ReadLine();

  int fd_;
  bool broken_ = false;
  std::string buffer_;
};

/// Connects to `IP:PORT`. \return Null if the connection is not established in time.
std::unique_ptr<Connection> Connect(const std::string& address,
                                    milliseconds timeout = milliseconds(1000));

/// Listens on a loopback address and serves each connection on a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(const std::shared_ptr<Connection>&)>;

  Listener(std::string ip, Serve serve);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  [[nodiscard]] std::string address() const;
  /// Refuses connections, or accepts them again on the same port.
  void Close();
  void Open();
  /// Drops the packets that open connections, as a machine without power does, until Resume().
  void Silence();
  void Resume();

 private:
  void Accept();

  const std::string ip_;
  const Serve serve_;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  int fd_ = -1;
  std::vector<int> fillers_;
  std::atomic<bool> silent_ = false;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

/// The platform's store, as far as gateways use it. Thread safe.
class Store {
 public:
  Store();

  void Put(const std::string& topic, const std::string& key, const std::string& value);
  [[nodiscard]] std::string address() const { return listener_.address(); }

 private:
  void Serve(Connection& connection);
  std::string ReadNewest(const std::string& topic);
  std::string ReadFrom(const std::string& topic, std::size_t from, milliseconds wait);
  std::string Append(const std::string& topic, const std::string& records);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics_;
  Listener listener_;
};

/// A route of the configuration.
struct Route {
  std::string name;
  std::string prefix;
  /// `idempotent`, `mutating` or `streaming`.
  std::string type;
  std::string service;
  int timeout_ms = 1500;
  int max_attempts = 1;
  bool resumable = false;
};

/// Writes a configuration with the tenants `erie` and `huron`, whose keys are `key1` and `key2`.
void Configure(Store& store, int version, const std::vector<Route>& routes);

/// Writes the entry of a worker.
void Register(Store& store, const std::string& id, const std::string& service,
              const std::string& address, std::int64_t born, int seq, int slots = 6);

/// A gateway, started with the command of the deploy file in the current folder, which is the
/// repository. The destructor ends it.
class Gateway {
 public:
  /// \param folder  For the settings and the log.
  Gateway(int number, const std::string& store, const std::string& folder);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  [[nodiscard]] const std::string& front() const { return front_; }
  /// Waits until the readiness check succeeds. \return False if it doesn't within 10 s.
  [[nodiscard]] bool AwaitReady() const;
  /// True if the process has not ended by itself.
  [[nodiscard]] bool Runs() const;
  /// Sends SIGTERM.
  void Terminate() const;

 private:
  std::string front_;
  std::string ready_;
  pid_t pid_ = -1;
};

/// Loopback address of this run with the last number `host`, so that runs don't share addresses.
std::string IpOf(int host);

/// Creates a temporary folder, which is removed by the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  [[nodiscard]] const std::string& path() const { return path_; }
  void Remove() const;

 private:
  std::string path_;
};

/// Value of the environment variable TROUBLE; `1` if it is not set.
std::string Trouble();

}  // namespace lagoonwind::review
