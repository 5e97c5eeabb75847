#include "lagoonwind/response_memory.h"

#include <algorithm>
#include <tuple>

namespace lagoonwind::policy {

ResponseNumber ResponseMemory::Add(ServerId server) {
  responses_[++last_number_] = {.server = server};
  return last_number_;
}

void ResponseMemory::Update(ResponseNumber response, std::uint64_t bytes) {
  Response& known = responses_.at(response);
  bytes_ += bytes - known.bytes;
  if (!known.complete && (bytes > 0 || known.bytes > 0)) {
    incomplete_bytes_[known.server] += bytes - known.bytes;
  }
  known.bytes = bytes;
}

void ResponseMemory::Complete(ResponseNumber response) {
  const std::uint64_t bytes = responses_.at(response).bytes;
  Update(response, 0);
  responses_.at(response).complete = true;
  Update(response, bytes);
}

void ResponseMemory::Remove(ResponseNumber response) {
  const auto found = responses_.find(response);
  if (found == responses_.end()) {
    return;
  }
  const ServerId server = found->second.server;
  Update(response, 0);
  responses_.erase(found);
  const auto sum = incomplete_bytes_.find(server);
  if (sum != incomplete_bytes_.end() && sum->second == 0) {
    incomplete_bytes_.erase(sum);
  }
}

std::optional<ResponseNumber> ResponseMemory::Excess() const {
  if (bytes_ <= limit_bytes_ || incomplete_bytes_.empty()) {
    return std::nullopt;
  }
  const auto [server, sum] = *std::ranges::max_element(
      incomplete_bytes_, {}, [](const auto& item) { return std::tuple(item.second, item.first); });
  std::optional<ResponseNumber> largest;
  std::uint64_t bytes = 0;
  for (const auto& [number, response] : responses_) {
    const bool is_candidate = response.server == server && !response.complete;
    if (is_candidate &&
        std::tuple(response.bytes, number) > std::tuple(bytes, largest.value_or(0))) {
      largest = number;
      bytes = response.bytes;
    }
  }
  return largest;
}

}  // namespace lagoonwind::policy
