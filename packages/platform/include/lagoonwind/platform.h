#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "lagoonwind/http.h"
#include "lagoonwind/policy.h"

/// \file
/// Services that the hosting platform provides to the entry and agent daemons: an append-only log
/// and the list of hosts.
namespace lagoonwind::platform {

/// One record of a log stream.
struct LogRecord {
  std::int64_t offset = 0;
  std::string data;
};

/// Result of one read of a log stream.
struct LogPage {
  std::vector<LogRecord> records;
  /// Offset of the oldest record that the log retains.
  std::int64_t first_offset = 0;
  /// Offset that the next appended record will have.
  std::int64_t next_offset = 0;
};

/// The append-only log, divided into named streams. Thread safe.
class LogService {
 public:
  virtual ~LogService() = default;

  /// Appends records at consecutive offsets.
  /// \param stream   Name of a stream.
  /// \param records  At least one.
  /// \return Offset of the first record. Unavailable if nothing was appended. After any other error
  ///         the records may have been appended.
  virtual http::asio::awaitable<absl::StatusOr<std::int64_t>> Append(
      std::string stream, std::vector<std::string> records) = 0;

  /// Reads up to limits::kMaxLogReadRecords records, starting at an offset.
  /// \param from  If records from this offset on are no longer retained, the read starts at the
  ///              oldest retained record.
  virtual http::asio::awaitable<absl::StatusOr<LogPage>> Read(std::string stream,
                                                              std::int64_t from) = 0;
};

/// The platform's list of hosts; may be out of date. Thread safe.
class HostList {
 public:
  virtual ~HostList() = default;
  /// Reads the current list.
  virtual http::asio::awaitable<absl::StatusOr<std::vector<policy::Member>>> Read() = 0;
};

/// Creates a client of the log's HTTP interface.
/// \param address  `IP:PORT`.
std::unique_ptr<LogService> MakeHttpLogService(std::string address);
/// Creates a client of the host list's HTTP interface.
/// \param address  `IP:PORT`.
std::unique_ptr<HostList> MakeHttpHostList(std::string address);

}  // namespace lagoonwind::platform
