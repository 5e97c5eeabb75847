#include "blackboard.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

#include "lagoonwind/limits.h"

namespace lagoonwind::policy {

void DecisionRing::Add(Decision decision) {
  if (decisions_.size() == limits::kDecisionRingSize) {
    decisions_.pop_front();
  }
  decisions_.push_back(decision);
}

std::vector<Decision> DecisionRing::Find(RequestId request, CustomerId customer,
                                         MemberId member) const {
  std::vector<Decision> found;
  const auto matches = [&](const Decision& decision) {
    return (request.entry.valid() && decision.request == request) ||
           (customer.valid() && decision.customer == customer) ||
           (member.valid() && decision.member == member);
  };
  std::ranges::copy_if(decisions_, std::back_inserter(found), matches);
  return found;
}

bool OfferHistory::Add(AttemptId attempt) {
  if (!attempts_.insert(attempt).second) {
    return false;
  }
  order_.push_back(attempt);
  if (order_.size() > limits::kMaxSeenOffers) {
    attempts_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

void OwnedRequest::TransitionTo(RequestPhase to) {
  assert(IsValidTransition(phase, to));
  phase = to;
}

bool Blackboard::Linked(MemberId member) const {
  const auto found = members.find(member);
  return found != members.end() && found->second.linked;
}

Reason Blackboard::RefusalReason() const {
  if (draining || listed_leaving) {
    return Reason::kDraining;
  }
  if (configuration->IsZoneOutOfService(zone)) {
    return Reason::kZoneOut;
  }
  return cut_off || now < paused_until ? Reason::kCutOff : Reason::kNone;
}

bool Blackboard::RefusesNewWork() const { return RefusalReason() != Reason::kNone; }

std::uint32_t Blackboard::FreeSlots() const {
  const auto used =
      static_cast<std::uint32_t>(running.size() + grants.size()) + backend.external_requests;
  if (RefusesNewWork() || !backend.reachable || backend.stalled ||
      used >= backend.concurrency_limit) {
    return 0;
  }
  return backend.concurrency_limit - used;
}

bool Blackboard::Serves(TargetId target) const {
  const TargetRule* rule = configuration->Target(target);
  if (rule == nullptr || !std::ranges::count(backend.targets, target)) {
    return false;
  }
  return rule->backend_tag.empty() || std::ranges::count(options.tags, rule->backend_tag) > 0;
}

double Blackboard::LocalService(CustomerId customer) const {
  const auto found = service.find(customer);
  return found == service.end() ? 0 : found->second;
}

bool Blackboard::Quarantined(Digest digest) const {
  const auto found = suspects.find(digest);
  return found != suspects.end() && found->second.quarantined();
}

bool Blackboard::MustDefer(Digest digest) const {
  const auto suspected = [this](Digest candidate) {
    const auto found = suspects.find(candidate);
    return found != suspects.end() && found->second.suspected();
  };
  return suspected(digest) && std::ranges::any_of(running, [&](const auto& item) {
           return suspected(item.second.traits.digest);
         });
}

void Blackboard::Record(Decision decision) {
  decision.at = now;
  decisions.Add(decision);
}

}  // namespace lagoonwind::policy
