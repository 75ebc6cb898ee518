#include <docopt/docopt.h>
#include <malloc.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>

#include "net/http_listener.h"
#include "relay_fixture.h"

// Measures the peak memory of a relay process that passes on one large request or answer.

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

constexpr const char* kUsage = R"(bench_relay: peak memory of a relay for one large body.

Usage:
  bench_relay
  bench_relay --help
)";

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::array<std::size_t, 3> kBodyMegabytes{1, 20, 60};
/// Budget of a VM with 260 MB.
constexpr std::size_t kMemoryBudget = 169 * kMegabyte;
constexpr int kMappedBufferBytes = 256 * 1024;
constexpr std::uint16_t kUpstreamPort = 17'951;
constexpr double kKibibytesPerMegabyte = 1'000'000.0 / 1'024;

/// An upstream that answers each request with a body of the length that the target names.
class LargeAnswers {
 public:
  LargeAnswers() {
    auto started = net::HttpListener::Start(
        loop_, {"127.0.0.1", kUpstreamPort},
        [](const std::shared_ptr<net::InboundRequest>& inbound) {
          http::Response response;
          response.headers = {{"Id", "1"}};
          response.body = std::string(std::stoul(inbound->request.target.substr(1)), 'x') + "END";
          inbound->Answer(std::move(response));
        },
        [] { return net::ServerPolicy(); });
    if (started) listener_ = std::move(started.value());
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~LargeAnswers() {
    loop_.stop();
    thread_.join();
  }

 private:
  asio::io_context loop_;
  std::unique_ptr<net::HttpListener> listener_;
  std::thread thread_;
};

double PeakMegabytes(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / kKibibytesPerMegabyte;
  }
  return 0;
}

/// Sends one request through a relay in a new process; returns the peak memory of that process in
/// MB, or 0 if the request was not served.
double Measure(std::size_t request_bytes, std::size_t answer_bytes) {
  std::array<int, 2> ports{};
  if (::pipe(ports.data()) != 0) return 0;
  const pid_t child = ::fork();
  if (child == 0) {
    const relay_test::RelayHost host({"127.0.0.1:" + std::to_string(kUpstreamPort)}, false,
                                     kMemoryBudget);
    const std::uint16_t port = host.endpoint().port;
    static_cast<void>(::write(ports[1], &port, sizeof(port)));
    ::pause();
  }
  std::uint16_t port = 0;
  if (::read(ports[0], &port, sizeof(port)) != sizeof(port)) return 0;
  const LargeAnswers upstream;
  asio::io_context loop;
  asio::ip::tcp::socket client(loop);
  client.connect({asio::ip::address_v4::loopback(), port});
  const std::string head = "POST /" + std::to_string(answer_bytes) +
                           " HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n"
                           "Content-Length: " +
                           std::to_string(request_bytes) + "\r\n\r\n";
  asio::write(client, asio::buffer(head + std::string(request_bytes, 'x')));
  std::string answer;
  asio::error_code ended;
  asio::read(client, asio::dynamic_buffer(answer), ended);
  const double peak = PeakMegabytes(child);
  ::kill(child, SIGKILL);
  ::waitpid(child, nullptr, 0);
  ::close(ports[0]);
  ::close(ports[1]);
  return answer.starts_with("HTTP/1.1 200") && answer.ends_with("END") ? peak : 0;
}

}  // namespace

int main(int argc, char** argv) {
  docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  // As in the daemon. It also keeps freed buffers of this process out of the measured one.
  mallopt(M_MMAP_THRESHOLD, kMappedBufferBytes);
  std::printf("%-28s %10s\n", "one body", "peak MB");
  std::printf("%-28s %10.1f\n", "none", Measure(0, 0));
  for (const auto megabytes : kBodyMegabytes) {
    const auto bytes = megabytes * kMegabyte;
    std::printf("request of %2zu MB%12s %10.1f\n", megabytes, "", Measure(bytes, 0));
    std::printf("answer of %2zu MB%13s %10.1f\n", megabytes, "", Measure(0, bytes));
  }
  return 0;
}
