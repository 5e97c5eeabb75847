#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "daemon.h"
#include "lagoonwind/backend.h"

namespace lagoonwind::runtime {

/// One attempt on the agent's backend server: passes the answer on to the entry and charges its
/// service as it accrues.
class AttemptExecution final : public backend::ResponseSink {
 public:
  /// \param entry  Where the answer goes.
  /// \param offer  The request as the entry sent it.
  AttemptExecution(const DaemonContext& context, MemberId entry, wire::gen::Offer offer);

  [[nodiscard]] AttemptId id() const { return id_; }
  [[nodiscard]] MemberId entry() const { return entry_; }

  /// Breaks the run off at its next part. Thread safe.
  void Cancel() { cancelled_ = true; }
  /// Runs the attempt to its end and tells the entry and the decisions. Call once.
  /// \param backend_incarnation  Instance of the backend server that the attempt starts on; 0 if
  /// unknown.
  http::asio::awaitable<void> Run(backend::Backend& backend, std::uint64_t backend_incarnation);

  void OnHead(const backend::ResponseHead& head) override;
  void OnData(std::string_view data, std::uint32_t tokens) override;
  [[nodiscard]] bool cancelled() const override { return cancelled_; }

 private:
  void Charge(double service, std::uint32_t tokens, Duration took);
  void ChargeTokens(std::uint32_t tokens);
  /// True for a call that was claimed; its answer is kept and its refusal released first.
  [[nodiscard]] bool claimed() const { return !offer_.repeatable && offer_.key != 0; }
  /// The whole answer, or null if it isn't kept.
  [[nodiscard]] std::shared_ptr<const policy::StoredResponse> TakeStoredResponse();
  void Finish(backend::CallResult result, policy::Reason reason);
  void SendEnded(backend::CallResult result, policy::Reason reason);

  DaemonContext context_;
  MemberId entry_;
  wire::gen::Offer offer_;
  AttemptId id_;
  std::atomic<bool> cancelled_{false};
  std::uint64_t sent_bytes_ = 0;
  /// Answer of a claimed call so far, as long as it is small enough to be kept.
  policy::StoredResponse stored_response_;
  std::chrono::steady_clock::time_point started_at_;
  /// When the last streamed token arrived; the epoch before the first.
  std::chrono::steady_clock::time_point last_token_at_;
  bool streaming_ = false;
};

}  // namespace lagoonwind::runtime
