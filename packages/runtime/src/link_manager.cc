#include "link_manager.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "gossip_messages.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;
using ErrorCode = boost::system::error_code;

Time Now() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

asio::redirect_error_t<asio::use_awaitable_t<>> Redirect(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

/// Connects within limits::kConnectTimeout.
asio::awaitable<absl::StatusOr<http::Tcp::socket>> Connect(std::string address) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint.ok()) {
    co_return endpoint.status();
  }
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(limits::kConnectTimeout);
  ErrorCode error;
  co_await stream.async_connect(*endpoint, Redirect(error));
  if (error) {
    co_return absl::UnavailableError(error.message());
  }
  co_return stream.release_socket();
}

}  // namespace

LinkManager::LinkManager(asio::io_context& io, LinkOptions options, PolicyRunner& policy)
    : io_(io), options_(std::move(options)), policy_(policy) {}

asio::awaitable<void> LinkManager::Accept(http::Tcp::acceptor& acceptor) {
  while (acceptor.is_open()) {
    ErrorCode error;
    auto strand = asio::make_strand(io_);
    http::Tcp::socket socket = co_await acceptor.async_accept(strand, Redirect(error));
    if (!error) {
      asio::co_spawn(strand, Serve(std::move(socket)), asio::detached);
    }
  }
}

asio::awaitable<void> LinkManager::Serve(http::Tcp::socket socket) {
  co_await RunLink(std::make_shared<Link>(std::move(socket), *this), "");
}

void LinkManager::Open(const policy::Member& member) {
  {
    const std::scoped_lock lock(mutex_);
    std::string& address = desired_addresses_[member.id];
    if (address == member.address) {
      return;
    }
    address = member.address;
  }
  asio::co_spawn(asio::make_strand(io_), MaintainLink(member), asio::detached);
}

asio::awaitable<void> LinkManager::MaintainLink(policy::Member member) {
  asio::steady_timer delay(co_await asio::this_coro::executor);
  while (IsDesired(member)) {
    auto socket = co_await Connect(member.address);
    if (socket.ok()) {
      auto link = std::make_shared<Link>(*std::move(socket), *this);
      co_await RunLink(link, member.address);
    }
    delay.expires_after(limits::kReconnectDelay);
    ErrorCode ignored;
    co_await delay.async_wait(Redirect(ignored));
  }
}

asio::awaitable<void> LinkManager::RunLink(std::shared_ptr<Link> link, std::string address) {
  asio::steady_timer deadline(co_await asio::this_coro::executor, limits::kConnectTimeout);
  deadline.async_wait([link](const ErrorCode& error) {
    if (!error) {
      link->Close();
    }
  });
  const auto hello = co_await link->Handshake(MakeHello(), options_.key);
  deadline.cancel();
  if (!hello.ok()) {
    LOG(WARNING) << "event=link_refused reason=\"" << hello.status().message() << "\"";
    link->Close();
    co_return;
  }
  Register(link, *hello, address);
  co_await link->Run();
  Unregister(link);
}

void LinkManager::Register(const std::shared_ptr<Link>& link, const wire::gen::Hello& hello,
                           const std::string& address) {
  const auto role = hello.role == 0 ? policy::Role::kEntry : policy::Role::kAgent;
  LOG(INFO) << "event=link_up peer=" << hello.name;
  const std::scoped_lock lock(mutex_);
  EstablishedLink& slot = links_[link->peer()];
  const auto replaced = std::exchange(slot.link, link);
  slot.role = role;
  if (replaced != nullptr) {
    replaced->Close();
    policy_.Post(policy::LinkDown{.member = link->peer()});
  }
  policy::Member member{.id = link->peer(),
                        .name = hello.name,
                        .role = role,
                        .zone = HandleOf<ZoneId>(hello.zone),
                        .address = address};
  policy_.Post(policy::LinkUp{.member = std::move(member),
                              .incarnation = {static_cast<std::uint64_t>(hello.incarnation)}});
}

void LinkManager::Unregister(const std::shared_ptr<Link>& link) {
  const std::scoped_lock lock(mutex_);
  const auto found = links_.find(link->peer());
  if (found == links_.end() || found->second.link != link) {
    return;
  }
  links_.erase(found);
  LOG(INFO) << "event=link_down peer=" << link->peer().value;
  policy_.Post(policy::LinkDown{.member = link->peer()});
}

void LinkManager::Close(MemberId member) {
  std::shared_ptr<Link> link;
  {
    const std::scoped_lock lock(mutex_);
    desired_addresses_.erase(member);
    if (const auto found = links_.find(member); found != links_.end()) {
      link = found->second.link;
    }
  }
  if (link != nullptr) {
    link->Close();
  }
}

void LinkManager::Send(MemberId member, const wire::Message& message) {
  std::shared_ptr<Link> link;
  {
    const std::scoped_lock lock(mutex_);
    if (const auto found = links_.find(member); found != links_.end()) {
      link = found->second.link;
    }
  }
  if (link != nullptr) {
    link->Send(message);
  }
}

void LinkManager::Broadcast(policy::Role role, const wire::Message& message) {
  std::vector<std::shared_ptr<Link>> links;
  {
    const std::scoped_lock lock(mutex_);
    for (const auto& [id, established] : links_) {
      if (established.role == role) {
        links.push_back(established.link);
      }
    }
  }
  for (const auto& link : links) {
    link->Send(message);
  }
}

bool LinkManager::Flushed() const {
  const std::scoped_lock lock(mutex_);
  return std::ranges::all_of(links_, [](const auto& item) { return item.second.link->flushed(); });
}

void LinkManager::Shutdown() {
  const std::scoped_lock lock(mutex_);
  for (const auto& [id, established] : links_) {
    established.link->Shutdown();
  }
}

bool LinkManager::empty() const {
  const std::scoped_lock lock(mutex_);
  return links_.empty();
}

void LinkManager::OnLinkMessage(Link& link, wire::Message message) {
  {
    const std::scoped_lock lock(mutex_);
    const auto found = links_.find(link.peer());
    if (found == links_.end() || found->second.link.get() != &link) {
      return;
    }
  }
  if (auto event = GossipEventOf(link.peer(), message)) {
    policy_.Post(*std::move(event));
    return;
  }
  handler_->OnMessage(link.peer(), std::move(message));
}

wire::Message LinkManager::MakeHeartbeat() {
  const std::scoped_lock lock(mutex_);
  return MessageOf(announced_version_, Now());
}

bool LinkManager::Execute(const policy::Action& action) {
  if (const auto* open = std::get_if<policy::OpenLink>(&action)) {
    Open(open->member);
  } else if (const auto* close = std::get_if<policy::CloseLink>(&action)) {
    Close(close->member);
  } else if (const auto* version = std::get_if<policy::AnnounceVersion>(&action)) {
    Announce(*version);
  } else if (const auto* request = std::get_if<policy::RequestConfiguration>(&action)) {
    Send(request->member, MessageOf(*request));
  } else if (const auto* configuration = std::get_if<policy::SendConfiguration>(&action)) {
    Send(configuration->member, MessageOf(*configuration));
  } else if (const auto* leaving = std::get_if<policy::SendLeaving>(&action)) {
    SendLeaving(*leaving);
  } else if (const auto* suspects = std::get_if<policy::SendSuspects>(&action)) {
    SendSuspects(*suspects);
  } else {
    return false;
  }
  return true;
}

void LinkManager::Announce(const policy::AnnounceVersion& version) {
  {
    const std::scoped_lock lock(mutex_);
    announced_version_ = version;
  }
  if (version.urgent) {
    BroadcastToAll(MessageOf(version, Now()));
  }
}

void LinkManager::SendLeaving(const policy::SendLeaving& leaving) {
  wire::Message message;
  message.__set_leaving({});
  if (leaving.member.valid()) {
    Send(leaving.member, message);
  } else {
    BroadcastToAll(message);
  }
}

void LinkManager::SendSuspects(const policy::SendSuspects& suspects) {
  wire::Message message;
  message.__set_suspects(wire::ToWire(suspects.suspects));
  const bool from_entry = options_.role == policy::Role::kEntry;
  Broadcast(from_entry ? policy::Role::kAgent : policy::Role::kEntry, message);
}

void LinkManager::BroadcastToAll(const wire::Message& message) {
  Broadcast(policy::Role::kEntry, message);
  Broadcast(policy::Role::kAgent, message);
}

bool LinkManager::IsDesired(const policy::Member& member) const {
  const std::scoped_lock lock(mutex_);
  const auto found = desired_addresses_.find(member.id);
  return found != desired_addresses_.end() && found->second == member.address;
}

wire::gen::Hello LinkManager::MakeHello() const {
  wire::gen::Hello hello;
  hello.name = options_.name;
  hello.role = options_.role == policy::Role::kEntry ? 0 : 1;
  hello.zone = options_.zone;
  hello.incarnation = static_cast<std::int64_t>(options_.incarnation.value);
  return hello;
}

}  // namespace lagoonwind::runtime
