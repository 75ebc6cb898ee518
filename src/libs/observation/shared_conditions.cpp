#include "observation/shared_conditions.h"

#include <algorithm>

namespace wagtailpick::observation {
namespace {

/// How long conditions are valid without a new message. Several messages have been lost by then.
constexpr base::Duration kValidity = std::chrono::seconds(3);

}  // namespace

void SharedConditions::Apply(const std::vector<Condition>& conditions, base::MonotonicTime now) {
  conditions_.clear();
  for (const auto& condition : conditions) conditions_[condition.upstream] = condition;
  received_at_ = now;
}

std::size_t SharedConditions::ejected_count(base::MonotonicTime now) const {
  if (!IsValid(now)) return 0;
  return static_cast<std::size_t>(std::count_if(
      conditions_.begin(), conditions_.end(), [](const auto& one) { return one.second.ejected; }));
}

bool SharedConditions::IsValid(base::MonotonicTime now) const {
  return now - received_at_ <= kValidity;
}

void SharedConditions::CopyTo(std::vector<Condition>& list, base::MonotonicTime now) const {
  if (!IsValid(now)) return;
  for (const auto& [upstream, condition] : conditions_) list.push_back(condition);
}

const Condition* SharedConditions::Find(const std::string& upstream,
                                        base::MonotonicTime now) const {
  if (conditions_.empty() || !IsValid(now)) return nullptr;
  const auto found = conditions_.find(upstream);
  return found == conditions_.end() ? nullptr : &found->second;
}

bool SharedConditions::IsEjected(const std::string& upstream, base::MonotonicTime now) const {
  const auto* condition = Find(upstream, now);
  return condition != nullptr && condition->ejected;
}

}  // namespace wagtailpick::observation
