#include "logging/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <utility>

#include "base/printable_text.h"
#include "logging/background_writer.h"

namespace wagtailpick::logging {
namespace {

/// Longest message and field value of a line, in bytes. Both may quote text from outside.
constexpr std::size_t kMaxMessageBytes = 4'096;
constexpr std::size_t kMaxFieldBytes = 1'024;

std::atomic<bool> started = false;
Options process_options;

/// Null if lines are written at once. Never destroyed, as threads that still run when the process
/// ends may write at any time.
std::atomic<BackgroundWriter*> process_writer = nullptr;

log4cxx::LoggerPtr ProcessLogger() { return log4cxx::Logger::getLogger("wagtailpick"); }

log4cxx::LevelPtr ToLog4cxx(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cxx::Level::getDebug();
    case Level::kInfo:
      return log4cxx::Level::getInfo();
    case Level::kWarning:
      return log4cxx::Level::getWarn();
    case Level::kError:
      break;
  }
  return log4cxx::Level::getError();
}

log4cxx::AppenderPtr MakeAppender(const std::string& file) {
  const auto layout = std::make_shared<log4cxx::JSONLayout>();
  if (file == "-") {
    return std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
  }
  if (file == "stdout") {
    return std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.out"));
  }
  return std::make_shared<log4cxx::FileAppender>(layout, file, true);
}

}  // namespace

namespace {

// The JSON layout has no limit for a line, and writes bytes that are not ASCII as question marks,
// so that unreadable bytes from outside could not be told apart.
void MakePrintable(std::string& text, std::size_t max_bytes) {
  if (text.size() <= max_bytes && base::IsPrintable(text)) return;
  text = base::ToPrintable(text, max_bytes);
}

void WriteNow(const Line& line) {
  const auto logger = ProcessLogger();
  const log4cxx::MDC event_field("event", line.event);
  const log4cxx::MDC vm_field("vm", process_options.vm);
  const log4cxx::MDC place_field("place", process_options.place);
  std::vector<std::unique_ptr<log4cxx::MDC>> extra;
  extra.reserve(line.fields.size());
  for (const auto& field : line.fields) {
    extra.push_back(std::make_unique<log4cxx::MDC>(field.name, field.value));
  }
  logger->forcedLog(ToLog4cxx(line.level), line.message);
}

// A write to an output whose reader has ended, or to a file at its size limit, fails; by default it
// ends the process.
void IgnoreOutputSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

}  // namespace

base::Result<void> Start(const Options& options) {
  const bool is_file = options.file != "-" && options.file != "stdout";
  if (is_file && !std::ofstream(options.file, std::ios::app)) {
    return base::Fail(base::ErrorCode::kIo, "log file " + options.file + " can't be opened");
  }
  IgnoreOutputSignals();
  process_options = options;
  const auto logger = ProcessLogger();
  logger->removeAllAppenders();
  logger->setAdditivity(false);
  logger->setLevel(log4cxx::Level::getInfo());
  logger->addAppender(MakeAppender(options.file));
  if (options.in_background) {
    process_writer = std::make_unique<BackgroundWriter>(WriteNow).release();
  }
  started = true;
  return base::Ok();
}

void Write(Level level, const std::string& event, const std::string& message,
           const std::vector<Field>& fields) {
  if (!started || !ProcessLogger()->isEnabledFor(ToLog4cxx(level))) return;
  Line line{level, event, message, fields};
  MakePrintable(line.message, kMaxMessageBytes);
  for (auto& field : line.fields) MakePrintable(field.value, kMaxFieldBytes);
  auto* const writer = process_writer.load();
  if (writer == nullptr) return WriteNow(line);
  writer->Enqueue(std::move(line));
}

void Stop() {
  auto* const writer = process_writer.load();
  if (writer == nullptr || writer->Stop()) return;
  // The blocked thread holds a log4cxx lock that log4cxx's static destructors would wait for. Exit
  // handlers run in the reverse order of their registration, so this one ends the process before
  // those destructors run.
  on_exit([](int status, void* /*unused*/) { std::_Exit(status); }, nullptr);
}

}  // namespace wagtailpick::logging
