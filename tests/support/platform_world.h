#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "lagoonwind/http.h"
#include "process.h"

namespace lagoonwind::testing {

/// How a backend server stand-in responds.
enum class ServerMode {
  kRespond,
  /// Responds with status 500, signed like any other response.
  kFail,
  /// Responds that it has not run the request.
  kNotRun,
  /// Runs the request and closes the connection before the response is complete.
  kLoseResponse,
  /// Runs the request and never responds.
  kHang,
  /// Aborts a stream after two events.
  kBreakStream,
  /// Responds with neither a length nor chunks.
  kUnframed,
  /// As kUnframed, and closes the connection in order after two events of a stream or half of
  /// another body.
  kBreakUnframed,
  /// Ends a stream with its last chunk inside the third event.
  kEndInsideEvent,
  /// Aborts a stream after two events, and responds with status 404 if it is to be resumed.
  kRefuseResumption,
  /// Sends a body, or an event of a stream, without end.
  kEndless,
};

/// One request as a backend server received it.
struct ReceivedRequest {
  std::string server;
  http::Request request;
  /// False if the backend server responded that it has not run the request.
  bool executed = true;
  /// False if the response has neither a length nor chunks.
  bool framed = true;
  /// True if the response without framing ends before it is complete.
  bool broken_off = false;
  std::chrono::steady_clock::time_point arrived{};
  /// Time until the response and between the events of a stream.
  std::chrono::milliseconds processing_time{0};
};

/// Record of a backend server in the store.
struct Registration {
  std::string name;
  std::string service;
  std::string address;
  std::string state = "ready";
  /// Start of the backend server, in milliseconds; a later one is a new incarnation.
  std::int64_t born = 1;
  std::string zone = "z1";
  /// Increases with each record of the incarnation.
  std::int64_t sequence = 1;
  /// Software version; empty for none.
  std::string version;
};

/// A record as the store holds it.
struct StoredRecord {
  std::string topic;
  /// Empty in topics without keys.
  std::string key;
  std::string value;
};

/// Parts of a configuration that tests vary.
struct ConfigurationOptions {
  /// Path prefix of a further route like /look/; empty for none.
  std::string added_prefix;
  /// Limit on the time for which callers' connections are idle.
  std::chrono::milliseconds idle_timeout{15000};
  /// Timeout of each route.
  std::chrono::milliseconds route_timeout{4000};
  /// Limit on the size of callers' request bodies.
  std::size_t max_body_bytes = 10000;
};

/// Stand-ins for the platform's store and backend servers, and gateways as processes, each on its
/// own loopback address. Thread safe, except for StartGateway(), SetStoreAddress(),
/// SetMaxDescriptors(), SetMemory() and KeepFiles().
class PlatformWorld {
 public:
  PlatformWorld();
  ~PlatformWorld();
  PlatformWorld(const PlatformWorld&) = delete;
  PlatformWorld& operator=(const PlatformWorld&) = delete;

  /// Opens and registers a backend server of service `model` or `desk`. Those of service `model`
  /// are engines, which SetDeadlySegment() applies to; each runs on a thread of its own.
  void AddServer(const std::string& name, const std::string& service);
  /// Opens a backend server without registering it in the store. \return Its `IP:PORT`.
  std::string OpenServer(const std::string& name);
  void Register(const Registration& registration);
  /// Sets the time that backend servers take for a response and between the events of a stream.
  void SetProcessingTime(std::chrono::milliseconds time);
  /// Sets a function that returns this time for each request. It is called on another thread.
  void SetProcessingTimes(
      std::function<std::chrono::milliseconds(const http::Request&)> processing_times);
  void SetMode(const std::string& name, ServerMode mode);
  /// Replaces a backend server by one named `new_name` at the same address, as after a restart that
  /// the store does not show yet.
  void Rename(const std::string& name, const std::string& new_name);
  /// Makes each engine crash when it would begin to respond to a request whose prompt has this
  /// segment as any entry but the last; every second crash comes after the response head. A crash
  /// closes all connections of the engine. Its port refuses connections and its record in the store
  /// stays as it was until the engine starts again on the same port as a new incarnation, with a
  /// new record.
  /// \param segment_id  As in the field X-Prompt-Prefix; empty for none.
  void SetDeadlySegment(std::string segment_id);
  /// Sets the time from a crash until the engine starts again.
  void SetRestartTime(std::chrono::milliseconds time);
  /// Number of crashes of engines.
  [[nodiscard]] int crash_count() const;
  /// True if no engine is down after a crash.
  [[nodiscard]] bool AllEnginesUp() const;
  /// Writes a configuration with the routes /plan/ (resumable stream), /chat/ (stream), /book/
  /// (mutating) and /look/ (idempotent, public).
  void Configure(int version, const ConfigurationOptions& options = {});
  /// Writes a record of the topic `keyed.servers` or `keyed.op`; an empty value deletes it.
  void Put(const std::string& topic, const std::string& key, const std::string& value);
  void Delete(const std::string& topic, const std::string& key);
  [[nodiscard]] std::string store_address() const;
  /// Gives the settings of gateways started afterwards the limits of roll-outs.
  void EnableRollouts() { rollouts_enabled_ = true; }
  /// Sets the store address in the settings of gateways started afterwards.
  void SetStoreAddress(const std::string& address) { store_address_ = address; }
  /// Sets the descriptor limit in the settings of gateways started afterwards.
  void SetMaxDescriptors(int descriptors) { max_descriptors_ = descriptors; }
  /// Sets the memory in the settings of gateways started afterwards.
  void SetMemory(int megabytes) { memory_megabytes_ = megabytes; }
  /// Makes the store refuse all calls, or accept them again.
  void SetStoreDown(bool down);
  /// Makes reads of the newest records of the topic wait, until called with another one.
  /// \param topic  Empty for none.
  void HoldStoreReads(std::string topic);
  /// Records of the store, to be brought back by RestoreStore().
  using StoreCopy = std::vector<StoredRecord>;
  [[nodiscard]] StoreCopy CopyStore() const;
  /// Brings back the store from a copy: what was written since is gone, its offsets are given out
  /// again, and the header `Store-Era`, which all responses bear, rises by one. The store stays up
  /// or down as it was.
  void RestoreStore(StoreCopy copy);
  /// Leaves `Store-Era` out of all responses, as a store of an older version does.
  void HideStoreEra();
  /// Number of calls that the store has refused.
  [[nodiscard]] int refused_store_calls() const;

  /// Starts a gateway on its own loopback address and waits until its readiness check succeeds.
  /// \param await_ready  False to return without waiting.
  Process& StartGateway(int number, bool await_ready = true);
  /// `IP:PORT` of a gateway for callers, readiness checks and metrics.
  [[nodiscard]] static std::string CallerAddress(int number);
  [[nodiscard]] static std::string ReadinessAddress(int number);
  [[nodiscard]] static std::string MetricsAddress(int number);
  /// `IP:PORT` of a gateway for reports of its peers.
  [[nodiscard]] static std::string PeerAddress(int number);
  /// HTTP status of the readiness check, 0 if there is no response.
  static unsigned Readiness(int number);
  /// Polls until `condition` holds. \return False if it did not hold within 1500 polls, 10 ms
  /// apart.
  static bool Await(const std::function<bool()>& condition);

  /// \return All requests that backend servers have received, in order.
  [[nodiscard]] std::vector<ReceivedRequest> ReceivedRequests() const;

  /// Path of the log of the gateway with this number.
  [[nodiscard]] std::filesystem::path LogPath(int number) const;
  /// Keeps settings and logs of gateways after destruction. \return Their directory.
  std::string KeepFiles();

 private:
  /// One incarnation of an engine. Its destructor closes all connections and forgets the requests
  /// in flight, as the end of a process does, which is why it has an I/O context of its own.
  struct Incarnation {
    Incarnation(const http::Tcp::endpoint& endpoint, const http::Handler& handler);
    ~Incarnation();
    Incarnation(const Incarnation&) = delete;
    Incarnation& operator=(const Incarnation&) = delete;

    http::asio::io_context io;
    http::Tcp::acceptor acceptor;
    std::thread thread;
  };
  struct Server {
    std::string name;
    ServerMode mode = ServerMode::kRespond;
    /// Of backend servers other than engines.
    std::unique_ptr<http::Tcp::acceptor> acceptor;
    /// The members below are those of engines.
    std::optional<Registration> registration;
    /// Bound to the engine's port, so that nothing else gets it while the engine is down.
    std::unique_ptr<http::Tcp::socket> port_reservation;
    /// Null while the engine is down.
    std::unique_ptr<Incarnation> incarnation;
  };

  /// Opens an engine. \return Its `IP:PORT`.
  std::string OpenEngine(const std::string& name, const std::string& service);
  http::Handler HandlerOfServer(std::size_t index);
  /// Ends the incarnation of an engine; called on its thread.
  void Crash(std::size_t index);
  http::asio::awaitable<void> RestartAfterCrash(std::size_t index);

  http::asio::awaitable<http::Response> HandleStore(http::Request request);
  /// \param era  Receives the store's era at the time of the response, if the store states it.
  http::asio::awaitable<http::Response> HandleStoreCall(http::Request request,
                                                        std::optional<int>& era);
  http::asio::awaitable<http::Response> HandleServer(std::size_t index, http::Request request);
  /// \param at  Offset at which the topic must end, or empty. Responds with status 412 otherwise.
  http::Response Append(const std::string& topic, std::string_view records, const std::string& at);
  http::Response ReadNewest(const std::string& topic) const;
  /// Responds with status 410 if the topic ends before `from`.
  http::Response ReadFrom(const std::string& topic, std::int64_t from) const;
  /// True if the engine must crash instead of responding. Requires that `mutex_` is held.
  [[nodiscard]] bool IsDeadly(const Server& server, const http::Request& request) const;
  static http::Response Stream(const http::Request& request, ServerMode mode,
                               std::chrono::milliseconds pause);

  http::asio::io_context io_;
  http::Tcp::acceptor store_;
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<StoredRecord> records_;
  std::vector<ReceivedRequest> received_;
  bool store_down_ = false;
  int store_era_ = 1;
  bool states_era_ = true;
  std::string held_topic_;
  std::string store_address_;
  int max_descriptors_ = 4096;
  int memory_megabytes_ = 110;
  bool rollouts_enabled_ = false;
  std::chrono::milliseconds processing_time_{0};
  /// Overrides `processing_time_` if set.
  std::function<std::chrono::milliseconds(const http::Request&)> processing_times_;
  std::string deadly_segment_;
  std::chrono::milliseconds restart_time_{300};
  int crash_count_ = 0;
  /// Requests with the deadly segment that engines have received.
  int deadly_requests_ = 0;
  bool keeps_files_ = false;
  int refused_store_calls_ = 0;
  std::filesystem::path directory_;
  std::vector<std::unique_ptr<Process>> gateways_;
  std::jthread thread_;
};

}  // namespace lagoonwind::testing
