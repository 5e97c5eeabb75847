#include "link.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "digest.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kNonceBytes = 16;

asio::redirect_error_t<asio::use_awaitable_t<>> Redirect(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

/// Computes the proof that the prover knows the shared key. It covers both nonces and the prover's
/// name, so that it cannot be replayed or reflected.
std::string ComputeMac(const std::string& key, const wire::gen::Hello& prover,
                       const wire::gen::Hello& verifier) {
  return HmacSha256(key, absl::StrCat(verifier.nonce, prover.nonce, prover.name));
}

}  // namespace

Link::Link(http::Tcp::socket socket, LinkHandler& handler)
    : socket_(std::move(socket)),
      handler_(handler),
      last_received_(std::chrono::steady_clock::now()) {
  ErrorCode ignored;
  socket_.set_option(http::Tcp::no_delay(true), ignored);
}

asio::awaitable<absl::StatusOr<wire::gen::Hello>> Link::Handshake(wire::gen::Hello own_hello,
                                                                  std::string key) {
  own_hello.protocol = wire::kProtocolVersion;
  own_hello.nonce = RandomBytes(kNonceBytes);
  wire::Message hello;
  hello.__set_hello(own_hello);
  absl::Status written = co_await WriteMessage(hello);
  if (!written.ok()) {
    co_return written;
  }
  auto incoming = co_await ReadMessage();
  if (!incoming.ok()) {
    co_return incoming.status();
  }
  if (!incoming->__isset.hello || incoming->hello.protocol != wire::kProtocolVersion) {
    co_return absl::FailedPreconditionError("the peer does not use the same protocol version");
  }
  const wire::gen::Hello peer_hello = incoming->hello;
  wire::Message proof;
  proof.__set_proof({});
  proof.proof.mac = ComputeMac(key, own_hello, peer_hello);
  written = co_await WriteMessage(proof);
  if (!written.ok()) {
    co_return written;
  }
  incoming = co_await ReadMessage();
  if (!incoming.ok()) {
    co_return incoming.status();
  }
  if (!incoming->__isset.proof ||
      !ConstantTimeEqual(incoming->proof.mac, ComputeMac(key, peer_hello, own_hello))) {
    co_return absl::PermissionDeniedError("the peer does not know the shared key");
  }
  peer_ = HandleOf<MemberId>(peer_hello.name);
  co_return peer_hello;
}

asio::awaitable<void> Link::Run() {
  auto self = shared_from_this();
  asio::co_spawn(socket_.get_executor(), RunHeartbeat(), [self](const std::exception_ptr&) {});
  while (open_) {
    auto message = co_await ReadMessage();
    if (!message.ok()) {
      break;
    }
    last_received_ = std::chrono::steady_clock::now();
    handler_.OnLinkMessage(*this, *std::move(message));
  }
  Close();
}

void Link::Send(const wire::Message& message) {
  std::string encoded = wire::EncodeFrame(message);
  handler_.traffic().sent[MessageKindIndex(message)].Add(encoded.size());
  ++unsent_frames_;
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), frame = std::move(encoded)]() mutable {
               self->outbox_.push_back(std::move(frame));
               if (!std::exchange(self->writing_, true)) {
                 asio::co_spawn(self->socket_.get_executor(), self->WriteOutbox(),
                                [self](const std::exception_ptr&) {});
               }
             });
}

void Link::Shutdown() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    ErrorCode ignored;
    self->socket_.shutdown(http::Tcp::socket::shutdown_send, ignored);
  });
}

void Link::Close() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->open_ = false;
    ErrorCode ignored;
    self->socket_.close(ignored);
  });
}

asio::awaitable<absl::StatusOr<wire::Message>> Link::ReadMessage() {
  std::array<char, wire::kFrameHeaderBytes> header{};
  ErrorCode error;
  co_await asio::async_read(socket_, asio::buffer(header), Redirect(error));
  if (error) {
    co_return absl::UnavailableError(error.message());
  }
  const auto length = wire::DecodeFrameLength({header.data(), header.size()});
  if (!length.ok()) {
    co_return length.status();
  }
  std::string body(*length, '\0');
  co_await asio::async_read(socket_, asio::buffer(body), Redirect(error));
  if (error) {
    co_return absl::UnavailableError(error.message());
  }
  auto message = wire::DecodeMessage(body);
  if (message.ok()) {
    handler_.traffic().received[MessageKindIndex(*message)].Add(wire::kFrameHeaderBytes +
                                                                body.size());
  }
  co_return message;
}

asio::awaitable<absl::Status> Link::WriteMessage(wire::Message message) {
  const std::string frame = wire::EncodeFrame(message);
  handler_.traffic().sent[MessageKindIndex(message)].Add(frame.size());
  ErrorCode error;
  co_await asio::async_write(socket_, asio::buffer(frame), Redirect(error));
  co_return error ? absl::UnavailableError(error.message()) : absl::OkStatus();
}

asio::awaitable<void> Link::WriteOutbox() {
  while (!outbox_.empty() && open_) {
    const std::string frame = std::move(outbox_.front());
    outbox_.pop_front();
    ErrorCode error;
    co_await asio::async_write(socket_, asio::buffer(frame), Redirect(error));
    if (error) {
      Close();
      break;
    }
    --unsent_frames_;
  }
  writing_ = false;
}

asio::awaitable<void> Link::RunHeartbeat() {
  asio::steady_timer timer(socket_.get_executor());
  while (open_) {
    Send(handler_.MakeHeartbeat());
    timer.expires_after(limits::kHeartbeatInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Redirect(ignored));
    if (std::chrono::steady_clock::now() - last_received_ > limits::kLinkTimeout) {
      Close();
    }
  }
}

}  // namespace lagoonwind::runtime
