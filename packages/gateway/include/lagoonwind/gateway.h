#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/gateway_types.h"

/// \file
/// A gateway: the process between callers and backend servers on a platform whose protocols an
/// adapter decodes.
namespace lagoonwind::gateway {

namespace asio = boost::asio;

using RequestHead = boost::beast::http::request_header<>;
using ResponseHead = boost::beast::http::response_header<>;

/// What a caller's request says of itself.
struct CallerRequest {
  /// Unique for each try of a caller.
  std::string id;
  std::string host;
  /// Path and query.
  std::string target;
  std::string path;
  std::string api_key;
  /// Time that the caller waits; absent if it doesn't say.
  std::optional<milliseconds> time_left;
  std::optional<Prompt> prompt;
  /// Where a broken stream is to be continued; empty for a new one.
  std::string last_event_id;
};

/// What the gateway adds to a request on its way to a backend server.
struct ForwardOptions {
  std::string_view customer;
  std::string_view expected_server;
  milliseconds time_left{0};
  /// Event after which the stream goes on; the caller's own if empty.
  std::string_view last_event_id;
};

/// What a backend server's answer says of itself.
struct ResponseInfo {
  std::string request_id;
  /// True if the backend server states that it hasn't run the request.
  bool not_run = false;
  /// True if another backend server has the address.
  bool wrong_server = false;
  /// True if it carries a backend server's signature.
  bool is_signed = false;
  /// How long the connection may be reused; zero if it doesn't say.
  milliseconds keep_alive{0};
  milliseconds cold_left{0};
};

/// Header fields of requests and answers. Thread safe.
class HeaderCodec {
 public:
  virtual ~HeaderCodec() = default;
  /// \return Invalid argument if the head is malformed beyond what HTTP asks.
  [[nodiscard]] virtual absl::StatusOr<CallerRequest> DecodeRequest(
      const RequestHead& head) const = 0;
  /// Head of the request as a backend server gets it, but for its framing.
  [[nodiscard]] virtual RequestHead EncodeForward(const RequestHead& head,
                                                  const ForwardOptions& options) const = 0;
  [[nodiscard]] virtual ResponseInfo DecodeResponse(const ResponseHead& head) const = 0;
  /// Path of the balancer's readiness check.
  [[nodiscard]] virtual std::string_view readiness_path() const = 0;
};

/// Kinds of records in the store.
enum class Topic { kOperator, kServers, kPeers };

/// The newest value of a key. Without a value the key was deleted.
struct Record {
  std::string key;
  std::optional<std::string> value;
};

struct RecordPage {
  std::vector<Record> records;
  /// Offset from which on to read what follows.
  std::int64_t next_offset = 0;
};

/// The platform's store of keyed records. Thread safe.
class RecordStore {
 public:
  virtual ~RecordStore() = default;
  /// Reads the newest record of every key.
  /// \return Unavailable or DeadlineExceeded if the store can't be reached.
  virtual asio::awaitable<absl::StatusOr<RecordPage>> ReadNewest(Topic topic) = 0;
  /// Reads what was written from an offset on.
  /// \param wait  Longest time that the store holds the call until there is a record.
  /// \return OutOfRange if records from that offset on are gone.
  virtual asio::awaitable<absl::StatusOr<RecordPage>> ReadFrom(Topic topic, std::int64_t offset,
                                                               milliseconds wait) = 0;
  /// Writes a record. Any error leaves open whether it took effect.
  virtual asio::awaitable<absl::Status> Write(Topic topic, Record record) = 0;
};

/// What an operators' record says.
struct OperatorChange {
  /// A configuration, if the record holds one.
  std::shared_ptr<const Configuration> configuration;
  /// A zone whose evacuation the record begins or ends.
  std::string evacuated_zone;
  bool evacuation_ended = false;
};

/// Contents of records. Thread safe.
class RecordCodec {
 public:
  virtual ~RecordCodec() = default;
  /// \return Invalid argument if the record isn't understood.
  [[nodiscard]] virtual absl::StatusOr<OperatorChange> DecodeOperatorRecord(
      const Record& record) const = 0;
  /// \return Invalid argument if the record names no backend server to use.
  [[nodiscard]] virtual absl::StatusOr<BackendServer> DecodeServer(const Record& record) const = 0;
};

/// The adapter to one platform. All must outlive the gateway.
struct Adapter {
  const HeaderCodec& headers;
  const RecordCodec& records;
  RecordStore& store;
};

/// Runs a gateway until SIGTERM and its drain are over. Call once for each process, from the main
/// thread.
/// \return Exit code of the process.
int RunGateway(const Settings& settings, const Adapter& adapter);

}  // namespace lagoonwind::gateway
