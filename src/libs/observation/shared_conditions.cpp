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
  ejected_count_ = static_cast<std::size_t>(std::count_if(
      conditions.begin(), conditions.end(), [](const auto& one) { return one.ejected; }));
  received_at_ = now;
}

void SharedConditions::CopyTo(std::vector<Condition>& list, base::MonotonicTime now) const {
  if (now - received_at_ > kValidity) return;
  for (const auto& [upstream, condition] : conditions_) list.push_back(condition);
}

const Condition* SharedConditions::Find(const std::string& upstream,
                                        base::MonotonicTime now) const {
  if (conditions_.empty() || now - received_at_ > kValidity) return nullptr;
  const auto found = conditions_.find(upstream);
  return found == conditions_.end() ? nullptr : &found->second;
}

bool SharedConditions::IsEjected(const std::string& upstream, base::MonotonicTime now) const {
  const auto* condition = Find(upstream, now);
  return condition != nullptr && condition->ejected;
}

}  // namespace wagtailpick::observation
