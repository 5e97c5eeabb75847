#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <mutex>

#include "caller_request.h"

namespace lagoonwind::runtime {

/// The requests at an entry. Thread safe. Lock order: its mutex is released before a request's own
/// mutex is acquired.
class RequestTable {
 public:
  void Insert(std::shared_ptr<CallerRequest> request);
  [[nodiscard]] std::shared_ptr<CallerRequest> Find(RequestId id) const;
  void Erase(RequestId id);
  [[nodiscard]] bool empty() const;

 private:
  mutable std::mutex mutex_;
  absl::flat_hash_map<RequestId, std::shared_ptr<CallerRequest>> requests_;
};

}  // namespace lagoonwind::runtime
