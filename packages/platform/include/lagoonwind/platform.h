#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "lagoonwind/http.h"
#include "lagoonwind/policy.h"

/// \file
/// The platform's services: the append-only log and the list of hosts.
namespace lagoonwind::platform {

struct LogRecord {
  std::int64_t offset = 0;
  std::string data;
};

struct LogPage {
  std::vector<LogRecord> records;
  /// Offset of the oldest record that the log still keeps.
  std::int64_t first_offset = 0;
  /// Offset that the next append gets.
  std::int64_t next_offset = 0;
};

/// The append-only log service. Thread safe.
class LogService {
 public:
  virtual ~LogService() = default;

  /// Appends records in one call; they get consecutive offsets.
  /// \param stream   Name of a stream.
  /// \param records  At least one.
  /// \return Offset of the first record. Unavailable if nothing was appended; any other error
  ///         leaves open whether the append took effect.
  virtual http::asio::awaitable<absl::StatusOr<std::int64_t>> Append(
      std::string stream, std::vector<std::string> records) = 0;

  /// Reads records from an offset on.
  /// \param from  A smaller offset than the oldest kept one reads from the oldest.
  virtual http::asio::awaitable<absl::StatusOr<LogPage>> Read(std::string stream,
                                                              std::int64_t from) = 0;
};

/// The platform's list of hosts; it lags. Thread safe.
class HostList {
 public:
  virtual ~HostList() = default;
  virtual http::asio::awaitable<absl::StatusOr<std::vector<policy::Member>>> Read() = 0;
};

/// Clients of the platform's HTTP interface.
/// \param address  `HOST:PORT`.
std::unique_ptr<LogService> MakeHttpLogService(std::string address);
std::unique_ptr<HostList> MakeHttpHostList(std::string address);

}  // namespace lagoonwind::platform
