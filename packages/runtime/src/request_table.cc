#include "request_table.h"

namespace lagoonwind::runtime {

void RequestTable::Insert(std::shared_ptr<CallerRequest> request) {
  const RequestId id = request->content().id;
  const std::scoped_lock lock(mutex_);
  requests_[id] = std::move(request);
}

std::shared_ptr<CallerRequest> RequestTable::Find(RequestId id) const {
  const std::scoped_lock lock(mutex_);
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second;
}

void RequestTable::Erase(RequestId id) {
  const std::scoped_lock lock(mutex_);
  requests_.erase(id);
}

bool RequestTable::empty() const {
  const std::scoped_lock lock(mutex_);
  return requests_.empty();
}

}  // namespace lagoonwind::runtime
