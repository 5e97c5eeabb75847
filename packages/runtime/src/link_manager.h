#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <mutex>

#include "lagoonwind/policy.h"
#include "link.h"
#include "policy_runner.h"

namespace lagoonwind::runtime {

/// Receives the messages of established links. Links call it concurrently.
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
  /// Secret shared by all daemons of the fleet.
  std::string key;
  /// Traffic counters of all links; must outlive them.
  LinkTraffic* traffic = nullptr;
};

/// Opens, accepts and maintains the links of a process, at most one to each member: a new link
/// replaces the old one. Posts LinkUp and LinkDown in the order in which the link table changes.
/// Lock order: its mutex before the pending_mutex_ of PolicyRunner.
class LinkManager final : public LinkHandler {
 public:
  LinkManager(http::asio::io_context& io, LinkOptions options, PolicyRunner& policy);

  /// Sets the receiver of messages. Call once, before any link is open.
  void Start(MessageHandler& handler) { handler_ = &handler; }
  /// Accepts links until the acceptor is closed.
  http::asio::awaitable<void> Accept(http::Tcp::acceptor& acceptor);
  /// Opens a link to a member and reopens it whenever it breaks. Thread safe.
  void Open(const policy::Member& member);
  /// Closes the link to a member and stops reopening it. Thread safe.
  void Close(MemberId member);
  /// Sends a message to a member, or drops it if there is no link. Thread safe.
  void Send(MemberId member, const wire::Message& message);
  /// Sends a message to every linked member of a role. Thread safe.
  void Broadcast(policy::Role role, const wire::Message& message);

  /// Executes an action on links, heartbeats or the gossip of the configuration. Thread safe.
  /// \return False if the action is of another kind.
  bool Execute(const policy::Action& action);
  /// Returns true if every link has passed all its messages to the operating system. Thread safe.
  [[nodiscard]] bool Flushed() const;
  /// Shuts down the sending direction of every link; the peers then close the links. Thread safe.
  void Shutdown();
  /// Returns true if no link is established. Thread safe.
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
  /// Addresses of the members to which links are kept open.
  absl::flat_hash_map<MemberId, std::string> desired_addresses_;
  /// Configuration version that heartbeats announce.
  policy::AnnounceVersion announced_version_;
};

}  // namespace lagoonwind::runtime
