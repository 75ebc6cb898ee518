#pragma once

#include <memory>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "entry/entry_options.h"
#include "entry/process_context.h"
#include "rpc/handlers.h"

namespace wagtailpick::entry {

/// The entry role of a process: lookups, callers' requests, owned upstreams.
class Entry {
 public:
  /// Creates the role and starts its threads; callers are served from now on. Fails with
  /// `kUnavailable` when the HTTP address can't be used.
  static base::Result<std::unique_ptr<Entry>> Start(const EntryOptions& options,
                                                    const ProcessContext& context);

  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Methods for the other entries.
  rpc::EntryHandlers Handlers();

  /// Starts a graceful stop: leaves all lookup answers at once, but goes on serving.
  void StartDrain();

  /// Longest time for which callers may still use an answer that names this entry.
  base::Duration LookupAnswerLifetime() const;

  /// Requests that are running.
  std::size_t running() const;

 private:
  struct State;
  explicit Entry(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::entry
