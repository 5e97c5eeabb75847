#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "daemon.h"
#include "lagoonwind/backend.h"

namespace lagoonwind::runtime {

/// Execution of one attempt on the agent's backend server: forwards the response to the entry and
/// charges service as it accrues.
class AttemptExecution final : public backend::ResponseSink {
 public:
  /// \param entry  Entry that receives the response.
  /// \param offer  The request as received from the entry.
  AttemptExecution(const DaemonContext& context, MemberId entry, wire::gen::Offer offer);

  [[nodiscard]] AttemptId id() const { return id_; }
  [[nodiscard]] MemberId entry() const { return entry_; }

  /// Cancels the execution at the next part of the response. Thread safe.
  void Cancel() { cancelled_ = true; }
  /// Runs the attempt to its end and notifies the entry and the policy. Call once.
  /// \param backend_incarnation  Incarnation of the backend server when the attempt starts; 0 if
  ///                             unknown.
  http::asio::awaitable<void> Run(backend::Backend& backend, std::uint64_t backend_incarnation);

  void OnHead(const backend::ResponseHead& head) override;
  void OnData(std::string_view data, std::uint32_t tokens) override;
  [[nodiscard]] bool cancelled() const override { return cancelled_; }

 private:
  void Charge(double service, std::uint32_t tokens, Duration generation_time);
  void ChargeTokens(std::uint32_t tokens);
  /// True if the idempotency key of the attempt was claimed. Then the response is stored, and if
  /// the attempt was not executed, the claim is released before the entry is notified.
  [[nodiscard]] bool claimed() const { return !offer_.repeatable && offer_.key != 0; }
  /// Returns the complete response, or null if it is not to be stored.
  [[nodiscard]] std::shared_ptr<const policy::StoredResponse> TakeStoredResponse();
  void Finish(backend::CallResult result, policy::Reason reason);
  void SendEnded(backend::CallResult result, policy::Reason reason);

  DaemonContext context_;
  MemberId entry_;
  wire::gen::Offer offer_;
  AttemptId id_;
  std::atomic<bool> cancelled_{false};
  std::uint64_t sent_bytes_ = 0;
  /// Response of a claimed attempt so far, as long as it is small enough to be stored.
  policy::StoredResponse stored_response_;
  std::chrono::steady_clock::time_point started_at_;
  /// Arrival time of the last streamed token; the epoch before the first.
  std::chrono::steady_clock::time_point last_token_at_;
  bool streaming_ = false;
};

}  // namespace lagoonwind::runtime
