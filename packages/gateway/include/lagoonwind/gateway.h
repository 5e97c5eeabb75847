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
/// Gateway process: accepts requests from callers and forwards them to backend servers. The
/// platform's header fields, record formats and record store are supplied by an Adapter.
/// RunGateway() is the entry point.
namespace lagoonwind::gateway {

namespace asio = boost::asio;

using RequestHead = boost::beast::http::request_header<>;
using ResponseHead = boost::beast::http::response_header<>;

/// Request properties that the platform's header codec extracts.
struct CallerRequest {
  /// Identifies one attempt of the caller; each retry by the caller has a new id.
  std::string id;
  std::string host;
  /// Request target as received: path and query.
  std::string target;
  std::string path;
  std::string api_key;
  /// Time left until the caller's deadline; absent if the request states none.
  std::optional<milliseconds> time_left;
  std::optional<Prompt> prompt;
  /// Id of the last event that the caller received of an interrupted stream; empty for a new
  /// stream.
  std::string last_event_id;
};

/// Values that the gateway sets on a request that it forwards to a backend server.
struct ForwardOptions {
  std::string_view customer;
  /// Name of the backend server that the request is for.
  std::string_view expected_server;
  /// Time left until the caller's deadline.
  milliseconds time_left{0};
  /// Id of the event after which the stream resumes; if empty, the caller's value is forwarded.
  std::string_view last_event_id;
};

/// Response properties that the platform's header codec extracts.
struct ResponseInfo {
  /// Id of the request that the response belongs to; empty if not stated.
  std::string request_id;
  /// True if the backend server states that it did not execute the request.
  bool not_run = false;
  /// True if the backend server at this address is not the one that the request expected.
  bool wrong_server = false;
  /// True if the response carries a backend server's signature.
  bool is_signed = false;
  /// Time for which the backend server keeps the idle connection open; zero if not stated.
  milliseconds keep_alive{0};
  /// Remaining time of the backend server's cold start; zero if not stated.
  milliseconds cold_left{0};
};

/// Decodes and encodes the platform's header fields. Implementations must be thread safe.
class HeaderCodec {
 public:
  virtual ~HeaderCodec() = default;
  /// \return InvalidArgument if a header field of the platform is malformed or ambiguous.
  [[nodiscard]] virtual absl::StatusOr<CallerRequest> DecodeRequest(
      const RequestHead& head) const = 0;
  /// Returns the request head to send to a backend server, without the fields that frame the body.
  [[nodiscard]] virtual RequestHead EncodeForward(const RequestHead& head,
                                                  const ForwardOptions& options) const = 0;
  /// \return DataLoss if fields that may occur once have several values, or contradict the status.
  [[nodiscard]] virtual absl::StatusOr<ResponseInfo> DecodeResponse(
      const ResponseHead& head) const = 0;
  /// Name of the response field with the id of the request.
  [[nodiscard]] virtual std::string_view request_id_field() const = 0;
  /// Path of the load balancer's readiness check.
  [[nodiscard]] virtual std::string_view readiness_path() const = 0;
};

/// Kinds of records: operators' configuration, evacuations and roll-out orders, backend servers,
/// gateways, quarantined prompt segments, status of roll-outs.
enum class Topic { kOperator, kServers, kPeers, kQuarantine, kStatus };

/// Latest value of a record key; no value means that the key was deleted.
struct Record {
  std::string key;
  std::optional<std::string> value;
  /// Offset of the record in its topic; absent if it is unknown.
  std::optional<std::int64_t> offset;
};

struct RecordPage {
  std::vector<Record> records;
  /// Offset at which the next read continues.
  std::int64_t next_offset = 0;
  /// Generation of the store's history: rises each time the store comes back from a copy that may
  /// lack the last records. Offsets of different generations can't be compared. 0 if the store
  /// doesn't state one.
  std::int64_t generation = 0;
};

/// Client of the platform's store of keyed records. Implementations must be thread safe.
class RecordStore {
 public:
  virtual ~RecordStore() = default;
  /// Reads the latest record of every key.
  /// \return Unavailable or DeadlineExceeded if the store cannot be reached; Aborted if it was
  /// restored meanwhile.
  virtual asio::awaitable<absl::StatusOr<RecordPage>> ReadNewest(Topic topic) = 0;
  /// Reads the records written at or after an offset.
  /// \param wait  Long-poll time: how long the store holds the call if there is no record yet.
  /// \return OutOfRange if the store no longer has the records at that offset, or if the topic ends
  /// before it.
  virtual asio::awaitable<absl::StatusOr<RecordPage>> ReadFrom(Topic topic, std::int64_t offset,
                                                               milliseconds wait) = 0;
  /// Writes a record. After an error the record may or may not have been written.
  virtual asio::awaitable<absl::Status> Write(Topic topic, Record record) = 0;
  /// Writes a record if the topic ends at `end`. After an error other than FailedPrecondition the
  /// record may have been written, or may still be written while the topic ends there.
  /// \return FailedPrecondition, with the end offset if it is known (see EndOffsetOf()), if the
  /// topic does not end there.
  virtual asio::awaitable<absl::Status> WriteAt(Topic topic, Record record, std::int64_t end);
};

/// Adds the end offset of a topic to the status of a conditional write. Thread safe.
void SetEndOffset(absl::Status& status, std::int64_t end);

/// End offset of the topic from the status of a conditional write; absent if it states none. Thread
/// safe.
std::optional<std::int64_t> EndOffsetOf(const absl::Status& status);

/// Operator's order to move a service to the backend servers of another version.
struct RolloutRequest {
  std::string target;
  milliseconds duration{0};
};

/// Status record of a roll-out.
struct RolloutStatusRecord {
  std::string service;
  std::string target;
  /// kTrial for a roll-out that is in progress, kComplete or kReverted.
  policy::RolloutState state = policy::RolloutState::kTrial;
  /// Identity of the order; 0 if the record states none.
  std::uint64_t order_id = 0;
  /// Why the state is what it is, for operators.
  std::string reason;
};

/// Decoded operator record.
struct OperatorChange {
  /// Null if the record holds no configuration.
  std::shared_ptr<const Configuration> configuration;
  /// Zone whose evacuation starts or ends with this record; empty if none.
  std::string evacuated_zone;
  /// True if the record ends the evacuation of `evacuated_zone`.
  bool evacuation_ended = false;
  /// Service whose roll-out order was written or deleted with this record; empty if none.
  std::string rollout_service;
  /// The order; absent if it was deleted.
  std::optional<RolloutRequest> rollout;
};

/// Decodes record values. Implementations must be thread safe.
class RecordCodec {
 public:
  virtual ~RecordCodec() = default;
  /// \return InvalidArgument if the record cannot be decoded.
  [[nodiscard]] virtual absl::StatusOr<OperatorChange> DecodeOperatorRecord(
      const Record& record) const = 0;
  /// \return InvalidArgument if the record does not describe a usable backend server.
  [[nodiscard]] virtual absl::StatusOr<BackendServer> DecodeServer(const Record& record) const = 0;
  /// Encodes the status of a roll-out.
  [[nodiscard]] virtual Record EncodeRolloutStatus(const RolloutStatusRecord& status) const;
  /// \return NotFound if the record is not the status of a roll-out or was deleted; InvalidArgument
  ///         if it cannot be decoded.
  [[nodiscard]] virtual absl::StatusOr<RolloutStatusRecord> DecodeRolloutStatus(
      const Record& record) const;
};

/// Platform-specific parts of a gateway. All of them must outlive the gateway.
struct Adapter {
  const HeaderCodec& headers;
  const RecordCodec& records;
  RecordStore& store;
};

/// Runs a gateway until SIGTERM or SIGINT and the drain that follows. Call once per process, from
/// the main thread.
/// \return Exit code of the process: 0 after a drain, 1 if the gateway could not start.
int RunGateway(const Settings& settings, const Adapter& adapter);

}  // namespace lagoonwind::gateway
