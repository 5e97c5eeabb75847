#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "event_log.h"
#include "fleet_state.h"
#include "lagoonwind/crash_suspects.h"
#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// Copies records from a peer that has newer ones, so that a gateway that cannot reach the store
/// stays up to date, and serves this gateway's records to its peers. Not thread safe.
class RecordCopier {
 public:
  struct Options {
    /// Port on which all gateways serve their records.
    std::uint16_t peer_port = 0;
    asio::ip::tcp::acceptor& acceptor;
    FleetState& fleet;
    policy::CrashSuspects& suspects;
    EventLog& log;
    /// Returns the IP address of a peer with newer records; empty if there is none.
    std::function<std::string()> find_newer_peer;
    /// Returns the IP address of a peer that is up, another one for each number; empty if there is
    /// none.
    std::function<std::string(int)> find_live_peer;
  };

  explicit RecordCopier(Options options);

  /// Copies newer records as they appear, until the process ends.
  asio::awaitable<void> CopyNewerRecords();
  /// Copies the departures and crashes of backend servers from a peer after each gap in what this
  /// gateway has read, until the process ends.
  asio::awaitable<void> CopyEvidence();
  /// True once the departures and crashes that preceded the start are known from a peer, or after
  /// the longest time that a gateway waits for them.
  [[nodiscard]] bool KnowsEvidence(Time now) const;
  /// Serves records until the acceptor is closed.
  asio::awaitable<void> ServeRecords();

 private:
  asio::awaitable<absl::Status> CopyFrom(std::string address);
  /// \return True if the peer has all evidence.
  asio::awaitable<absl::StatusOr<bool>> CopyEvidenceFrom(std::string address);
  /// \return As CopyEvidenceFrom(). Throws json::exception at malformed fields.
  bool ApplyEvidence(const nlohmann::json& body);
  [[nodiscard]] std::string EvidenceJson() const;
  /// Applies what is newer in a peer's records.
  absl::Status ApplyCopy(const nlohmann::json& copy);
  /// True if the changes since the peer's offset would not bring it up to date.
  [[nodiscard]] bool NeedsAllRecords(std::string_view target, std::string_view name,
                                     Topic topic) const;
  /// Records that the peer lacks, as JSON.
  /// \param target  Request target, which states the positions that the peer has read to and the
  ///                version of its configuration.
  [[nodiscard]] std::string RecordsJson(std::string_view target) const;

  Options options_;
  const Time created_;
  bool evidence_known_ = false;
};

}  // namespace lagoonwind::gateway
