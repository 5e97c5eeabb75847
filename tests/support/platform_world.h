#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lagoonwind/http.h"
#include "process.h"

namespace lagoonwind::testing {

/// How a stand-in of a backend server answers.
enum class ServerMode {
  kRespond,
  /// A failure of its own, as signed as any answer.
  kFail,
  /// States that it hasn't run the request.
  kNotRun,
  /// Runs the request and loses the answer.
  kLoseResponse,
  /// Runs the request and never answers.
  kHang,
  /// Breaks a stream off after two events.
  kBreakStream,
};

/// One request as a backend server got it.
struct ReceivedRequest {
  std::string server;
  http::Request request;
  /// False if the backend server stated that it hasn't run it.
  bool executed = true;
};

/// An entry of a backend server in the store.
struct Registration {
  std::string name;
  std::string service;
  std::string address;
  std::string state = "ready";
};

/// Stand-ins of the users' platform, their store and backend servers, and gateways as processes on
/// loopback addresses of their own. Thread safe.
class PlatformWorld {
 public:
  PlatformWorld();
  ~PlatformWorld();
  PlatformWorld(const PlatformWorld&) = delete;
  PlatformWorld& operator=(const PlatformWorld&) = delete;

  /// Adds a backend server of service `model` or `desk`.
  void AddServer(const std::string& name, const std::string& service);
  /// Opens a backend server that nobody knows of yet. \return Its `IP:PORT`.
  std::string OpenServer(const std::string& name);
  void Register(const Registration& registration);
  /// Time that backend servers take for an answer, and between the events of a stream.
  void SetProcessingTime(std::chrono::milliseconds time);
  void SetMode(const std::string& name, ServerMode mode);
  /// Gives its address to another backend server, as after a restart that the list doesn't show.
  void Rename(const std::string& name, const std::string& new_name);
  /// Writes a configuration with routes /plan/ (resumable stream), /chat/ (stream), /book/
  /// (mutating), /look/ (idempotent, public).
  void Configure(int version);
  /// Writes or, without a value, deletes a record of `keyed.servers` or `keyed.op`.
  void Put(const std::string& topic, const std::string& key, const std::string& value);
  void Delete(const std::string& topic, const std::string& key);
  [[nodiscard]] std::string store_address() const;
  /// Address at which gateways that start from now on find the store.
  void SetStoreAddress(const std::string& address) { store_address_ = address; }
  /// Makes the store refuse all calls, or answer again.
  void SetStoreDown(bool down);
  /// Calls that the store refused so far.
  [[nodiscard]] int refused_store_calls() const;

  /// Starts a gateway on a loopback address of its own and waits until it says that it is ready.
  /// \param await_ready  False if it is not to become ready.
  Process& StartGateway(int number, bool await_ready = true);
  /// `IP:PORT` for callers, and for readiness checks.
  [[nodiscard]] static std::string CallerAddress(int number);
  [[nodiscard]] static std::string ReadinessAddress(int number);
  [[nodiscard]] static std::string MetricsAddress(int number);
  /// Status of the readiness check, 0 if there is no answer.
  static unsigned Readiness(int number);
  /// Waits until `condition` holds; false if it doesn't within a generous limit.
  static bool Await(const std::function<bool()>& condition);

  /// What backend servers were sent.
  [[nodiscard]] std::vector<ReceivedRequest> ReceivedRequests() const;

  /// Log of the gateway that was started with this number.
  [[nodiscard]] std::filesystem::path LogPath(int number) const;
  /// Leaves settings and logs of gateways behind. \return Their directory.
  std::string KeepFiles();

 private:
  struct Server {
    std::string name;
    ServerMode mode = ServerMode::kRespond;
    std::unique_ptr<http::Tcp::acceptor> acceptor;
  };
  struct StoredRecord {
    std::string topic;
    std::string key;
    std::string value;
  };

  http::asio::awaitable<http::Response> HandleStore(http::Request request);
  http::asio::awaitable<http::Response> HandleServer(std::size_t index, http::Request request);
  http::Response ReadNewest(const std::string& topic) const;
  http::Response ReadFrom(const std::string& topic, std::int64_t from) const;
  static http::Response Stream(const http::Request& request, bool break_early,
                               std::chrono::milliseconds pause);

  http::asio::io_context io_;
  http::Tcp::acceptor store_;
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<StoredRecord> records_;
  std::vector<ReceivedRequest> received_;
  bool store_down_ = false;
  std::string store_address_;
  std::chrono::milliseconds processing_time_{0};
  bool keeps_files_ = false;
  int refused_store_calls_ = 0;
  std::filesystem::path directory_;
  std::vector<std::unique_ptr<Process>> gateways_;
  std::jthread thread_;
};

/// A caller's connection that sends requests one after another.
class Caller {
 public:
  explicit Caller(const std::string& address);

  struct Response {
    unsigned status = 0;
    std::vector<http::Field> fields;
    std::string body;
    /// False if the connection ended before the answer was whole.
    bool complete = false;
  };

  /// Sends a request and reads its answer.
  Response Send(const std::string& method, const std::string& target, const std::string& id,
                const std::vector<http::Field>& fields = {}, const std::string& body = "");
  /// Sends bytes as they are and reads one answer.
  Response SendRaw(const std::string& bytes);
  /// True if there are bytes that no request asked for.
  bool HasUnreadBytes();

 private:
  http::asio::io_context io_;
  http::Tcp::socket socket_;
  std::string buffer_;
};

}  // namespace lagoonwind::testing
