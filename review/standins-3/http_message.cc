#include "http_message.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <cstring>

namespace review {
namespace {

constexpr std::string_view kCrlf = "\r\n";
constexpr int kBacklog = 256;
constexpr int kHexBase = 16;
constexpr int kMillisecondsPerSecond = 1000;
constexpr suseconds_t kMicrosecondsPerMillisecond = 1000;

sockaddr_in AddressOf(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Appends received bytes to `buffer`. \return False at the end of the connection.
bool ReadMore(int socket, std::string& buffer) {
  std::array<char, 16384> bytes{};
  const ssize_t count = recv(socket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

bool ReadUntilSize(int socket, std::string& buffer, std::size_t size) {
  while (buffer.size() < size) {
    if (!ReadMore(socket, buffer)) {
      return false;
    }
  }
  return true;
}

/// Takes a line without its end out of `buffer`.
std::optional<std::string> TakeLine(int socket, std::string& buffer) {
  std::size_t end = 0;
  while ((end = buffer.find(kCrlf)) == std::string::npos) {
    if (!ReadMore(socket, buffer)) {
      return std::nullopt;
    }
  }
  std::string line = buffer.substr(0, end);
  buffer.erase(0, end + kCrlf.size());
  return line;
}

bool ReadChunks(int socket, std::string& buffer, std::string& body) {
  for (;;) {
    const auto line = TakeLine(socket, buffer);
    if (!line) {
      return false;
    }
    const std::size_t size = std::strtoul(line->c_str(), nullptr, kHexBase);
    if (!ReadUntilSize(socket, buffer, size + kCrlf.size())) {
      return false;
    }
    body.append(buffer, 0, size);
    buffer.erase(0, size + kCrlf.size());
    if (size == 0) {
      return true;
    }
  }
}

std::string Word(const std::string& line, int number) {
  std::size_t begin = 0;
  for (int i = 0; i < number && begin != std::string::npos; ++i) {
    const std::size_t space = line.find(' ', begin);
    begin = space == std::string::npos ? space : space + 1;
  }
  return begin == std::string::npos ? std::string()
                                    : line.substr(begin, line.find(' ', begin) - begin);
}

}  // namespace

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

std::string Message::Method() const { return Word(start_line, 0); }
std::string Message::Target() const { return Word(start_line, 1); }
int Message::Status() const { return std::atoi(Word(start_line, 1).c_str()); }

std::string QueryParameter(const std::string& target, const std::string& name) {
  for (const char* separator : {"?", "&"}) {
    const std::string start = separator + name + "=";
    const std::size_t at = target.find(start);
    if (at != std::string::npos) {
      const std::size_t begin = at + start.size();
      return target.substr(begin, target.find('&', begin) - begin);
    }
  }
  return {};
}

int OpenListener(const std::string& ip, std::uint16_t& port) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(ip, port);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(listener, generic, size) != 0 || listen(listener, kBacklog) != 0 ||
      getsockname(listener, generic, &size) != 0) {
    close(listener);
    return -1;
  }
  port = ntohs(address.sin_port);
  return listener;
}

int Connect(const std::string& ip, std::uint16_t port) {
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(connection);
    return -1;
  }
  const int on = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

void SetReadTimeout(int socket, int milliseconds) {
  timeval time{};
  time.tv_sec = milliseconds / kMillisecondsPerSecond;
  time.tv_usec = kMicrosecondsPerMillisecond * (milliseconds % kMillisecondsPerSecond);
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool WriteAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

std::optional<Message> ReadMessage(int socket, std::string& buffer) {
  Message message;
  auto line = TakeLine(socket, buffer);
  if (!line) {
    return std::nullopt;
  }
  message.start_line = *line;
  while ((line = TakeLine(socket, buffer)) && !line->empty()) {
    const std::size_t colon = line->find(':');
    std::string name = line->substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    const std::size_t value = line->find_first_not_of(' ', colon + 1);
    message.fields[name] = value == std::string::npos ? std::string() : line->substr(value);
  }
  if (!line) {
    return std::nullopt;
  }
  if (message.Field("transfer-encoding") == "chunked") {
    return ReadChunks(socket, buffer, message.body) ? std::optional(message) : std::nullopt;
  }
  const std::size_t length = std::strtoul(message.Field("content-length").c_str(), nullptr, 10);
  if (!ReadUntilSize(socket, buffer, length)) {
    return std::nullopt;
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
}

}  // namespace review
