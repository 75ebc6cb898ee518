#include "testing/request_series.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace wagtailpick::testing {
namespace {

/// A way to write a request. `%` stands for the length of the body in a head; `framing` and
/// `ending` are written before and after the body.
struct Variant {
  std::string_view name;
  std::string_view method;
  std::string_view version;
  /// Field lines with their ends, and the empty line.
  std::string_view head;
  /// What comes before the body; `@` stands for its length in hexadecimal digits.
  std::string_view before;
  std::string_view after;
};

constexpr std::array<Variant, 12> kSound{{
    {"length", "POST", "1.1", "Content-Length: %\r\n\r\n", "", ""},
    {"length in another case", "PUT", "1.1", "content-LENGTH:%\r\n\r\n", "", ""},
    {"blanks around the length", "POST", "1.1", "Content-Length:  %  \r\n\r\n", "", ""},
    {"GET with a body", "GET", "1.1", "Content-Length: %\r\n\r\n", "", ""},
    {"chunk", "POST", "1.1", "Transfer-Encoding: chunked\r\n\r\n", "@\r\n", "\r\n0\r\n\r\n"},
    {"coding in another case", "POST", "1.1", "transfer-encoding: CHUNKED\r\n\r\n", "@\r\n",
     "\r\n0\r\n\r\n"},
    {"chunk extension", "POST", "1.1", "Transfer-Encoding: chunked\r\n\r\n", "@;a=b\r\n",
     "\r\n000;c\r\n\r\n"},
    {"trailer", "POST", "1.1", "Transfer-Encoding: chunked\r\n\r\n", "0@\r\n",
     "\r\n0\r\nX-Check: 1\r\n\r\n"},
    {"upgrade", "POST", "1.1", "Connection: upgrade\r\nUpgrade: other\r\nContent-Length: %\r\n\r\n",
     "", ""},
    {"upgrade of chunks", "POST", "1.1",
     "Connection: upgrade\r\nUpgrade: other\r\nTransfer-Encoding: chunked\r\n\r\n", "@\r\n",
     "\r\n0\r\n\r\n"},
    {"kept HTTP/1.0", "POST", "1.0", "Connection: keep-alive\r\nContent-Length: %\r\n\r\n", "", ""},
    {"a field that begins like a length", "POST", "1.1",
     "Content-Length-X: 3\r\nContent-Length: %\r\n\r\n", "", ""},
}};

constexpr std::array<Variant, 35> kUnsound{{
    {"CONNECT with a length", "CONNECT", "1.1", "Content-Length: %\r\n\r\n", "", ""},
    {"CONNECT with chunks", "CONNECT", "1.1", "Transfer-Encoding: chunked\r\n\r\n", "@\r\n",
     "\r\n0\r\n\r\n"},
    {"CONNECT without a length", "CONNECT", "1.1", "\r\n", "", ""},
    {"CONNECT with an upgrade", "CONNECT", "1.1",
     "Connection: upgrade\r\nUpgrade: other\r\nContent-Length: %\r\n\r\n", "", ""},
    {"TRACE", "TRACE", "1.1", "Content-Length: %\r\n\r\n", "", ""},
    {"an unknown method", "FLY", "1.1", "Content-Length: %\r\n\r\n", "", ""},
    {"equal lengths", "POST", "1.1", "Content-Length: %\r\nContent-Length: %\r\n\r\n", "", ""},
    {"other lengths", "POST", "1.1", "Content-Length: %\r\nContent-Length: 0\r\n\r\n", "", ""},
    {"other lengths, 0 first", "POST", "1.1", "Content-Length: 0\r\nContent-Length: %\r\n\r\n", "",
     ""},
    {"a list of lengths", "POST", "1.1", "Content-Length: %, %\r\n\r\n", "", ""},
    {"a length with a sign", "POST", "1.1", "Content-Length: +%\r\n\r\n", "", ""},
    {"an empty length", "POST", "1.1", "Content-Length:\r\n\r\n", "", ""},
    {"length and chunks", "POST", "1.1", "Content-Length: %\r\nTransfer-Encoding: chunked\r\n\r\n",
     "@\r\n", "\r\n0\r\n\r\n"},
    {"chunks and length 0", "POST", "1.1",
     "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", "@\r\n", "\r\n0\r\n\r\n"},
    {"a blank before the colon of a length", "POST", "1.1", "Content-Length : %\r\n\r\n", "", ""},
    {"a blank before the colon of a coding", "POST", "1.1", "Transfer-Encoding : chunked\r\n\r\n",
     "@\r\n", "\r\n0\r\n\r\n"},
    {"a blank in a name", "POST", "1.1", "Content Length: %\r\n\r\n", "", ""},
    {"a control byte in a name", "POST", "1.1", "Content\x01-Length: %\r\n\r\n", "", ""},
    {"an empty name", "POST", "1.1", ": 1\r\nContent-Length: %\r\n\r\n", "", ""},
    {"a folded length", "POST", "1.1", "X-A: 1\r\n Content-Length: %\r\n\r\n", "", ""},
    {"a first line that begins with a blank", "POST", "1.1", " Content-Length: %\r\n\r\n", "", ""},
    {"a CR in a value", "POST", "1.1", "X-A: 1\rContent-Length: %\r\n\r\n", "", ""},
    {"chunked twice", "POST", "1.1", "Transfer-Encoding: chunked, chunked\r\n\r\n", "@\r\n",
     "\r\n0\r\n\r\n"},
    {"chunked in two fields", "POST", "1.1",
     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", "@\r\n", "\r\n0\r\n\r\n"},
    {"chunked with a parameter", "POST", "1.1", "Transfer-Encoding: chunked;q=1\r\n\r\n", "@\r\n",
     "\r\n0\r\n\r\n"},
    {"another coding", "POST", "1.1", "Transfer-Encoding: identity\r\nX-A: %\r\n\r\n", "", ""},
    {"another coding before chunked", "POST", "1.1", "Transfer-Encoding: gzip, chunked\r\n\r\n",
     "@\r\n", "\r\n0\r\n\r\n"},
    {"an empty coding", "POST", "1.1", "Transfer-Encoding:\r\nContent-Length: %\r\n\r\n", "", ""},
    {"chunks of HTTP/1.0", "POST", "1.0",
     "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n", "@\r\n", "\r\n0\r\n\r\n"},
    {"single line feeds", "POST", "1.1", "X-A: 1\nContent-Length: %\n\n", "", ""},
    {"a chunk size that ends with CR only", "POST", "1.1", "Transfer-Encoding: chunked\r\n\r\n",
     "@\rx", "\r\n0\r\n\r\n"},
    {"a chunk without a line end", "POST", "1.1", "Transfer-Encoding: chunked\r\n\r\n", "@\r\n",
     "xx0\r\n\r\n"},
    {"a line feed in a chunk extension", "POST", "1.1", "Transfer-Encoding: chunked\r\n\r\n",
     "@;a\nb\r\n", "\r\n0\r\n\r\n"},
    {"a length in a trailer", "POST", "1.1", "Transfer-Encoding: chunked\r\n\r\n", "@\r\n",
     "\r\n0\r\nContent-Length: 3\r\n\r\n"},
    {"chunks whose last line end is broken", "POST", "1.1", "Transfer-Encoding: chunked\r\n\r\n",
     "@\r\n", "\r\n0\r\n\rx"},
}};

std::string Replace(std::string_view text, char mark, const std::string& value) {
  std::string out;
  for (const char letter : text) {
    if (letter == mark) {
      out += value;
    } else {
      out.push_back(letter);
    }
  }
  return out;
}

std::string Hex(std::size_t size) {
  std::array<char, 20> digits{};
  const int length = std::snprintf(digits.data(), digits.size(), "%zx", size);
  return {digits.data(), static_cast<std::size_t>(length)};
}

WrittenRequest Write(const Variant& variant, const std::string& target, const std::string& body) {
  WrittenRequest request;
  request.method = variant.method;
  request.target = target;
  request.body = body;
  request.variant = variant.name;
  request.asks_for_upgrade = variant.head.find("Upgrade:") != std::string_view::npos;
  const auto line_end = variant.head.ends_with("\n\n") ? "\n" : "\r\n";
  request.bytes =
      request.method + " " + target + " HTTP/" + std::string(variant.version) + line_end +
      "Host: h" + line_end + Replace(variant.head, '%', std::to_string(body.size())) +
      Replace(variant.before, '@', Hex(body.size())) + body + std::string(variant.after);
  return request;
}

}  // namespace

std::size_t RequestSeries::Pick(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

std::string RequestSeries::Body() {
  const auto number = std::to_string(number_);
  const std::string hidden =
      "POST " + std::string(kHiddenTarget) + number + " HTTP/1.1\r\nHost: h\r\n";
  switch (Pick(4)) {
    case 0:
      return "x";
    case 1:
      return hidden + "\r\n";
    case 2:
      return "0\r\n\r\n" + hidden + "Content-Length: 2\r\n\r\nab";
    default:
      return hidden + "Content-Length: 9\r\n\r\namount=25";
  }
}

WrittenRequest RequestSeries::Sound() {
  const auto target = "/sent/" + std::to_string(++number_);
  return Write(kSound[Pick(kSound.size())], target, Body());
}

WrittenRequest RequestSeries::Unsound() {
  const auto target = "/sent/" + std::to_string(++number_);
  const auto& variant = kUnsound[Pick(kUnsound.size())];
  const bool is_connect = variant.method == "CONNECT";
  auto request = Write(variant, is_connect && Pick(2) == 0 ? "h:443" : target, Body());
  request.is_sound = false;
  return request;
}

std::vector<WrittenRequest> RequestSeries::Next() {
  std::vector<WrittenRequest> series;
  const auto sound = Pick(3);
  for (std::size_t i = 0; i < sound; ++i) series.push_back(Sound());
  series.push_back(Pick(4) == 0 ? Sound() : Unsound());
  return series;
}

}  // namespace wagtailpick::testing
