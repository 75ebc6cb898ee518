#include "standins/connection.h"

#include <algorithm>
#include <array>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace wagtailpick::standins {
namespace {

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

ReceivedRequest ParseHead(const std::string& head) {
  std::istringstream lines(head);
  ReceivedRequest request;
  std::string version;
  lines >> request.method >> request.target >> version;
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line) && line != "\r") {
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    const auto first = line.find_first_not_of(' ', colon + 1);
    const auto last = line.find_last_not_of("\r ");
    request.headers[LowerCase(line.substr(0, colon))] =
        first > last ? "" : line.substr(first, last - first + 1);
  }
  return request;
}

}  // namespace

std::string ReceivedRequest::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

Connection::Connection(asio::ip::tcp::socket socket) : socket_(std::move(socket)) {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

std::optional<ReceivedRequest> Connection::Read() {
  asio::error_code error;
  const auto size = asio::read_until(socket_, asio::dynamic_buffer(buffer_), "\r\n\r\n", error);
  if (error) return std::nullopt;
  ReceivedRequest request = ParseHead(buffer_.substr(0, size));
  buffer_.erase(0, size);
  const auto length = std::strtoull(request.Header("content-length").c_str(), nullptr, 10);
  if (buffer_.size() < length) {
    asio::read(socket_, asio::dynamic_buffer(buffer_),
               asio::transfer_exactly(length - buffer_.size()), error);
    if (error) return std::nullopt;
  }
  request.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return request;
}

void Connection::Send(int status, const std::string& extra_headers, const std::string& body) {
  SendRaw("HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + extra_headers +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void Connection::SendRaw(const std::string& bytes) {
  asio::error_code ignored;
  asio::write(socket_, asio::buffer(bytes), ignored);
}

void Connection::Close() {
  asio::error_code ignored;
  socket_.close(ignored);
}

}  // namespace wagtailpick::standins
