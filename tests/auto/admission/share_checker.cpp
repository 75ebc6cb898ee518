#include "share_checker.h"

#include <algorithm>
#include <deque>
#include <random>
#include <utility>
#include <vector>

#include "admission/share_window.h"
#include "event_queue.h"
#include "sim_clock.h"

namespace wagtailpick::admission {
namespace {

constexpr std::size_t kEntries = 4;
constexpr SimTime kWindowUs = 1'000 * kMs;
/// Time until a lowered cap must be kept: one lease and one window, lengthened by the clock drift.
constexpr SimTime kCapDelay = 3'020 * kMs;
constexpr SimTime kScheduleEnd = 20'000 * kMs;

/// A share that was granted to an entry and that it may use until `expires_at`, on the leader's
/// clock.
struct GrantedShare {
  base::MonotonicTime expires_at;
  std::uint64_t amount = 0;
};

/// An entry that holds a share.
struct Holder {
  SimClock clock;
  ShareWindow window;
  std::vector<GrantedShare> granted;
  /// Number of restarts. Replies to an earlier process are dropped.
  std::uint64_t process = 0;
  SimTime paused_until = 0;
  SimTime disconnected_until = 0;
};

class ShareChecker {
 public:
  ShareChecker(std::uint64_t seed, ShareFault fault)
      : random_(seed), fault_(fault), leader_(random_), bytes_(seed % 2 == 1) {
    SetCap();
    for (std::size_t i = 0; i < kEntries; ++i) {
      holders_.push_back({SimClock(random_), MakeWindow(), {}});
    }
  }

  ShareResult Run() {
    for (std::size_t i = 0; i < kEntries; ++i) {
      Every(250 * kMs, [this, i] { Renew(holders_[i]); });
      Every(7 * kMs, [this, i] { Admit(holders_[i]); });
      Every(2'000 * kMs, [this, i] { InjectFault(holders_[i]); });
    }
    Every(5'000 * kMs, [this] { SetCap(); });
    result_.events = queue_.RunUntil(kScheduleEnd);
    return result_;
  }

 private:
  SimTime Between(SimTime lowest, SimTime highest) {
    return lowest +
           static_cast<SimTime>(random_() % static_cast<std::uint64_t>(highest - lowest + 1));
  }

  ShareWindow MakeWindow() const {
    const bool is_too_short = fault_ == ShareFault::kWindowTooShort;
    const bool never_expires = fault_ == ShareFault::kShareNeverExpires;
    return ShareWindow(is_too_short ? kShareWindow * 100 / 101 : kShareWindow,
                       never_expires ? kLeaseLength * 100 : kLeaseLength);
  }

  template <typename Run>
  void Every(SimTime interval, Run run) {
    queue_.Post(queue_.now() + Between(interval / 2, interval * 3 / 2), [this, interval, run] {
      run();
      Every(interval, run);
    });
  }

  void SetCap() {
    const std::uint64_t cap = bytes_ ? 20'000 + random_() % 80'000 : 2 + random_() % 60;
    caps_.emplace_back(queue_.now(), cap);
  }

  void InjectFault(Holder& holder) {
    const SimTime now = queue_.now();
    switch (random_() % 5) {
      case 0:
        Restart(holder);
        return;
      case 1:
        holder.paused_until = now + Between(kMs, 4'000 * kMs);
        return;
      case 2:
        holder.disconnected_until = now + Between(kMs, 4'000 * kMs);
        return;
      default:
        return;
    }
  }

  /// A restarted entry has lost the record of what it admitted. It therefore starts a new session,
  /// while the leader still counts the shares of the old one.
  void Restart(Holder& holder) {
    holder.window = MakeWindow();
    ++holder.process;
    if (fault_ != ShareFault::kRestartKeepsSession) ended_.push_back(std::move(holder.granted));
    holder.granted.clear();
  }

  void Renew(Holder& holder) {
    const SimTime sent = queue_.now();
    if (sent < holder.paused_until || sent < holder.disconnected_until || random_() % 20 == 0) {
      return;
    }
    const base::MonotonicTime sent_local = holder.clock.Monotonic(sent);
    queue_.Post(
        sent + Between(kMs / 5, 40 * kMs), [this, &holder, sent_local, process = holder.process] {
          if (process != holder.process) return;
          const std::uint64_t amount = GrantShare(holder);
          const SimTime arrives = queue_.now() + (random_() % 10 == 0 ? Between(0, 1'900 * kMs)
                                                                      : Between(kMs / 5, 40 * kMs));
          if (random_() % 20 == 0) return;
          queue_.Post(arrives, [this, &holder, sent_local, amount, process] {
            if (process == holder.process) Apply(holder, sent_local, amount);
          });
        });
  }

  void Apply(Holder& holder, base::MonotonicTime sent, std::uint64_t amount) {
    if (fault_ == ShareFault::kShareFromReply) sent = holder.clock.Monotonic(queue_.now());
    holder.window.Apply({sent, amount});
  }

  /// Grants a share as the leader does: the sum of all shares that have not expired, or expired
  /// less than one window ago, stays within the cap.
  std::uint64_t GrantShare(Holder& receiver) {
    const base::MonotonicTime now = leader_.Monotonic(queue_.now());
    std::uint64_t others = 0;
    for (Holder& holder : holders_) {
      const std::uint64_t held = HeldShare(holder.granted, now);
      if (&holder != &receiver) others += held;
    }
    for (std::vector<GrantedShare>& granted : ended_) others += HeldShare(granted, now);
    const std::uint64_t cap = caps_.back().second;
    const std::uint64_t left = cap > others ? cap - others : 0;
    const std::uint64_t amount = std::min(left, 1 + random_() % cap);
    const base::Duration wait =
        fault_ == ShareFault::kNoWindowWait ? base::Duration{} : kShareWindow;
    receiver.granted.push_back({now + LengthenForDrift(kLeaseLength + wait), amount});
    return amount;
  }

  /// Removes expired shares and returns the largest of the others.
  static std::uint64_t HeldShare(std::vector<GrantedShare>& granted, base::MonotonicTime now) {
    std::erase_if(granted, [now](const GrantedShare& share) { return share.expires_at <= now; });
    std::uint64_t most = 0;
    for (const GrantedShare& share : granted) most = std::max(most, share.amount);
    return most;
  }

  void Admit(Holder& holder) {
    const SimTime now = queue_.now();
    if (now < holder.paused_until) return;
    const base::MonotonicTime local = holder.clock.Monotonic(now);
    const std::uint64_t amount = bytes_ ? 100 + random_() % 3'000 : 1;
    if (holder.window.TryAdmit(amount, local) != ShareDecision::kAdmitted) return;
    if (bytes_ && random_() % 4 == 0) holder.window.AddDebt(random_() % 2'000, local);
    Count(now, amount);
  }

  void Count(SimTime now, std::uint64_t amount) {
    ++result_.admitted;
    admitted_.emplace_back(now, amount);
    in_window_ += amount;
    while (admitted_.front().first <= now - kWindowUs) {
      in_window_ -= admitted_.front().second;
      admitted_.pop_front();
    }
    std::uint64_t highest = caps_.back().second;
    for (std::size_t i = 0; i + 1 < caps_.size(); ++i) {
      if (caps_[i + 1].first > now - kCapDelay) highest = std::max(highest, caps_[i].second);
    }
    if (in_window_ > highest) ++result_.exceeded;
  }

  std::mt19937_64 random_;
  ShareFault fault_;
  SimClock leader_;
  bool bytes_;
  EventQueue queue_;
  std::vector<Holder> holders_;
  /// Shares of sessions that ended with their process.
  std::vector<std::vector<GrantedShare>> ended_;
  /// Caps with the time from which each was in force, oldest first.
  std::vector<std::pair<SimTime, std::uint64_t>> caps_;
  std::deque<std::pair<SimTime, std::uint64_t>> admitted_;
  std::uint64_t in_window_ = 0;
  ShareResult result_;
};

}  // namespace

ShareResult CheckShares(std::uint64_t seed, ShareFault fault) {
  return ShareChecker(seed, fault).Run();
}

}  // namespace wagtailpick::admission
