#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <mutex>

#include "lagoonwind/policy.h"
#include "link.h"
#include "policy_runner.h"

namespace lagoonwind::runtime {

/// Receives messages of established links. Several links call at a time.
class MessageHandler {
 public:
  virtual ~MessageHandler() = default;
  virtual void OnMessage(MemberId from, wire::Message message) = 0;
};

/// Options of a LinkManager.
struct LinkOptions {
  std::string name;
  policy::Role role = policy::Role::kEntry;
  std::string zone;
  Incarnation incarnation;
  std::string key;
  /// Counts what the links carry; outlives them.
  LinkTraffic* traffic = nullptr;
};

/// Opens, accepts and keeps the links of a process; at most one to each member, the newest wins.
/// Posts LinkUp and LinkDown, in the order of the table's changes. Lock order: its mutex before the
/// inbox of PolicyRunner.
class LinkManager final : public LinkHandler {
 public:
  LinkManager(http::asio::io_context& io, LinkOptions options, PolicyRunner& policy);

  /// Sets who receives messages. Call once, before any link is open.
  void Start(MessageHandler& handler) { handler_ = &handler; }
  /// Accepts links until the acceptor is closed.
  http::asio::awaitable<void> Accept(http::Tcp::acceptor& acceptor);
  /// Opens a link and opens it again whenever it breaks. Thread safe.
  void Open(const policy::Member& member);
  /// Closes the link to a member and stops opening it. Thread safe.
  void Close(MemberId member);
  /// Sends to a member; drops the message if there is no link. Thread safe.
  void Send(MemberId member, const wire::Message& message);
  /// Sends to every linked member of a role. Thread safe.
  void Broadcast(policy::Role role, const wire::Message& message);

  /// Carries out an action on links, heartbeats or the spread of the configuration. Thread safe.
  /// \return False if it isn't one.
  bool Execute(const policy::Action& action);
  /// True if every link has handed on all that was sent. Thread safe.
  [[nodiscard]] bool Flushed() const;
  /// Ends the sending direction of every link; peers then close them. Thread safe.
  void Shutdown();
  /// True if no link is established. Thread safe.
  [[nodiscard]] bool empty() const;

  void OnLinkMessage(Link& link, wire::Message message) override;
  wire::Message MakeHeartbeat() override;
  LinkTraffic& traffic() override { return *options_.traffic; }

 private:
  struct EstablishedLink {
    std::shared_ptr<Link> link;
    policy::Role role = policy::Role::kEntry;
  };

  http::asio::awaitable<void> MaintainLink(policy::Member member);
  http::asio::awaitable<void> Serve(http::Tcp::socket socket);
  http::asio::awaitable<void> RunLink(std::shared_ptr<Link> link, std::string address);
  void Register(const std::shared_ptr<Link>& link, const wire::gen::Hello& hello,
                const std::string& address);
  void Unregister(const std::shared_ptr<Link>& link);
  void Announce(const policy::AnnounceVersion& version);
  void BroadcastToAll(const wire::Message& message);
  void SendLeaving(const policy::SendLeaving& leaving);
  void SendSuspects(const policy::SendSuspects& suspects);
  [[nodiscard]] bool IsDesired(const policy::Member& member) const;
  [[nodiscard]] wire::gen::Hello MakeHello() const;

  http::asio::io_context& io_;
  LinkOptions options_;
  PolicyRunner& policy_;
  MessageHandler* handler_ = nullptr;

  mutable std::mutex mutex_;
  absl::flat_hash_map<MemberId, EstablishedLink> links_;
  /// Address at which each wanted member is opened.
  absl::flat_hash_map<MemberId, std::string> desired_addresses_;
  /// What heartbeats say.
  policy::AnnounceVersion announced_version_;
};

}  // namespace lagoonwind::runtime
