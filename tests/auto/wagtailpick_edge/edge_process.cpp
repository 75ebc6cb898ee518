#include "edge_process.h"

#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <thread>
#include <utility>

namespace wagtailpick::edge_test {
namespace {

constexpr std::chrono::milliseconds kPollInterval{5};

/// Test processes that run at the same time use different addresses.
std::string OwnAddress() {
  constexpr int kValuesPerByte = 250;
  const int pid = getpid();
  return "127.240." + std::to_string(pid / kValuesPerByte % kValuesPerByte) + "." +
         std::to_string(1 + pid % kValuesPerByte);
}

std::string At(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

}  // namespace

EdgeProcess::EdgeProcess(std::string program)
    : program_(std::move(program)),
      ip_(OwnAddress()),
      folder_(std::make_unique<processes::WorkFolder>()) {}

void EdgeProcess::SetSettings(const std::string& role, const std::string& section) {
  settings_ = "[node]\nrole = " + role + "\nvm = vm-1\ndata_centre = dc-0\nregions = dc-0:east\n" +
              "ip = " + ip_ + "\ncluster_port = " + std::to_string(kClusterPort) +
              "\nseeds = " + At(ip_, kServicePort) + "\n" + section;
  folder_->Write("settings.ini", settings_);
}

EdgeProcess EdgeProcess::Replica(std::string program) {
  EdgeProcess process(std::move(program));
  process.SetSettings("control", "[control]\norders = " + At(process.ip_, kServicePort) +
                                     "\ndirectory = " + At(process.ip_, kSecondPort) +
                                     "\ndata_folder = " + process.folder_->MakeEmpty("data") +
                                     "\nfirst_start = true\n");
  return process;
}

EdgeProcess EdgeProcess::Entry(std::string program) {
  EdgeProcess process(std::move(program));
  process.SetSettings("entry", "[entry]\ncallers = " + At(process.ip_, kServicePort) +
                                   "\nreadiness = " + At(process.ip_, kSecondPort) +
                                   "\ngrace_s = 1\n");
  return process;
}

void EdgeProcess::Start() { StartWithOutput(folder_->Path("out")); }

void EdgeProcess::StartWithOutput(const std::string& path) {
  child_ = std::make_unique<processes::Child>(
      std::vector<std::string>{program_, "--config=" + settings_path()}, path,
      folder_->Path("err"));
}

std::optional<int> EdgeProcess::WaitForEnd(std::chrono::milliseconds timeout) {
  std::optional<int> status;
  HoldsWithin(timeout, [&] {
    status = child_->TryReap();
    return status.has_value();
  });
  return status;
}

bool EdgeProcess::WaitForOutput(const std::string& text, std::chrono::milliseconds timeout) const {
  return HoldsWithin(timeout, [&] { return output().find(text) != std::string::npos; });
}

bool EdgeProcess::WaitForListener(int port, std::chrono::milliseconds timeout) const {
  return HoldsWithin(timeout, [&] { return IsListening(ip_, port); });
}

bool IsListening(const std::string& ip, int port) {
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  asio::error_code error;
  socket.connect({asio::ip::make_address(ip), static_cast<std::uint16_t>(port)}, error);
  return !error;
}

bool HoldsWithin(std::chrono::milliseconds timeout, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace wagtailpick::edge_test
