#include "logging/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <atomic>
#include <fstream>
#include <memory>

namespace wagtailpick::logging {
namespace {

std::atomic<bool> started = false;
Options process_options;

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
  return std::make_shared<log4cxx::FileAppender>(layout, file, true);
}

}  // namespace

base::Result<void> Start(const Options& options) {
  if (options.file != "-" && !std::ofstream(options.file, std::ios::app)) {
    return base::Fail(base::ErrorCode::kIo, "log file " + options.file + " can't be opened");
  }
  process_options = options;
  const auto logger = ProcessLogger();
  logger->removeAllAppenders();
  logger->setAdditivity(false);
  logger->setLevel(log4cxx::Level::getInfo());
  logger->addAppender(MakeAppender(options.file));
  started = true;
  return base::Ok();
}

void Write(Level level, const std::string& event, const std::string& message,
           const std::vector<Field>& fields) {
  if (!started) return;
  const auto logger = ProcessLogger();
  const auto log4cxx_level = ToLog4cxx(level);
  if (!logger->isEnabledFor(log4cxx_level)) return;
  const log4cxx::MDC event_field("event", event);
  const log4cxx::MDC vm_field("vm", process_options.vm);
  const log4cxx::MDC place_field("place", process_options.place);
  std::vector<std::unique_ptr<log4cxx::MDC>> extra;
  extra.reserve(fields.size());
  for (const auto& field : fields) {
    extra.push_back(std::make_unique<log4cxx::MDC>(field.name, field.value));
  }
  logger->forcedLog(log4cxx_level, message);
}

}  // namespace wagtailpick::logging
