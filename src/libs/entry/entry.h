#pragma once

#include <memory>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "entry/entry_options.h"
#include "entry/process_context.h"
#include "rpc/handlers.h"

namespace wagtailpick::entry {

/// The entry role of a process: answers lookups, serves callers' requests and owns upstreams.
class Entry {
 public:
  /// Creates the role and starts its threads, from which time callers are served. Fails with
  /// `kUnavailable` if the HTTP address cannot be used or the HTTP client cannot be set up.
  static base::Result<std::unique_ptr<Entry>> Start(const EntryOptions& options,
                                                    const ProcessContext& context);

  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Returns the RPC handlers that the other entries call.
  rpc::EntryHandlers Handlers();

  /// Starts a graceful stop: new lookup answers no longer list this entry, which keeps serving.
  void StartDrain();

  /// Refuses requests to services that are not started yet, and all later ones, with status 503.
  /// Returns once this has taken effect; from then on `running()` does not rise.
  void RefuseNewRequests();

  /// Answers the running requests of callers: with status 502 if they may have run, else with 503.
  void AnswerRunningRequests();

  /// Closes the HTTP listener. Open connections are still served.
  void StopAccepting();

  /// Lifetime of lookup answers: the time for which callers may still use an answer that lists this
  /// entry. Zero before the first bundle.
  base::Duration LookupAnswerLifetime() const;

  /// Number of running requests.
  std::size_t running() const;

 private:
  struct State;
  explicit Entry(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::entry
