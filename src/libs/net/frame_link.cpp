#include "net/frame_link.h"

#include <asio/write.hpp>
#include <exception>
#include <utility>

#include "net/socket_options.h"

namespace wagtailpick::net {
namespace {

constexpr std::size_t kLengthBytes = 4;
/// Larger than the largest message, which is a catalog of the target size.
constexpr std::size_t kMaxFrameBytes = 16UL * 1024 * 1024;
constexpr unsigned kByteBits = 8;

void AppendLength(std::size_t length, std::string& out) {
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    out.push_back(static_cast<char>((length >> (kByteBits * i)) & 0xffU));
  }
}

std::size_t ReadLength(const std::string& bytes, std::size_t at) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[at + i]))
              << (kByteBits * i);
  }
  return length;
}

/// Frees the socket of a dead peer. The owners of links detect silent peers by their own pings.
constexpr base::Duration kDeadPeerTimeout = std::chrono::seconds(3);

}  // namespace

FrameLink::FrameLink(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), last_received_(base::MonotonicNow()) {}

void FrameLink::Start(Hooks hooks) {
  hooks_ = std::move(hooks);
  DetectDeadPeer(socket_, kDeadPeerTimeout);
  ReadSome();
}

void FrameLink::ReadSome() {
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this()](asio::error_code error, std::size_t length) {
                            if (self->closed_) return;
                            if (error) return self->Fail(error.message());
                            // Every part of a frame counts as activity: on a slow link a long
                            // frame may take seconds.
                            self->last_received_ = base::MonotonicNow();
                            self->input_.append(self->buffer_.data(), length);
                            if (self->ParseFrames()) self->ReadSome();
                          });
}

bool FrameLink::ParseFrames() {
  std::size_t at = 0;
  while (input_.size() - at >= kLengthBytes) {
    const std::size_t length = ReadLength(input_, at);
    if (length > kMaxFrameBytes) {
      Fail("frame of " + std::to_string(length) + " bytes exceeds the limit of " +
           std::to_string(kMaxFrameBytes) + " bytes");
      return false;
    }
    if (input_.size() - at - kLengthBytes < length) break;
    const std::string frame = input_.substr(at + kLengthBytes, length);
    at += kLengthBytes + length;
    try {
      hooks_.frame(frame);
    } catch (const std::exception& error) {
      Fail(std::string("the handler of a frame failed: ") + error.what());
    }
    if (closed_) return false;
  }
  input_.erase(0, at);
  return true;
}

void FrameLink::Send(const std::string& frame) {
  if (closed_) return;
  if (queued_.size() + frame.size() > kMaxQueuedBytes) {
    return Fail("send queue is full: the peer does not read");
  }
  AppendLength(frame.size(), queued_);
  queued_.append(frame);
  if (writing_.empty()) WriteNext();
}

void FrameLink::WriteNext() {
  writing_ = std::exchange(queued_, {});
  if (writing_.empty()) return;
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](asio::error_code error, std::size_t /*length*/) {
                      if (self->closed_) return;
                      if (error) return self->Fail(error.message());
                      self->writing_.clear();
                      self->WriteNext();
                    });
}

void FrameLink::Fail(const std::string& reason) {
  if (closed_) return;
  const auto closed = std::move(hooks_.closed);
  Close();
  if (closed) closed(reason);
}

void FrameLink::Close() {
  if (closed_) return;
  closed_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
}

}  // namespace wagtailpick::net
