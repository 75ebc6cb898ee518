#pragma once

namespace wagtailpick::logging {

/// Makes the process leave a trace when it ends by a fault of its own: a log line
/// `process_terminated` with the exception that nothing has caught, and a line on standard error
/// with the number of a fatal signal, such as SIGSEGV or SIGABRT. It still ends as by default; a
/// log line that is not written within 1 s is given up.
void InstallCrashReport();

}  // namespace wagtailpick::logging
