#include "base/msgpack_check.h"

#include <nlohmann/json.hpp>

namespace wagtailpick::base {
namespace {

using nlohmann::json;

constexpr int kMaxNesting = 16;
/// Each level takes a byte at least, and the stack holds far more than this number of levels.
/// Nearly all frames are shorter and are not parsed twice.
constexpr std::size_t kMinBytesToOverflow = 8'000;

/// Ten times as many as in the reports of 10,000 upstreams, which are the largest messages. Bytes
/// expand sixteenfold when they are decoded, and a compressed message of a few kilobytes can hold
/// 64 MB of them.
constexpr std::size_t kMaxValues = 1'000'000;

/// Counts levels and values while bytes are parsed, and ends the parsing at one too many.
class StructureCounter : public json::json_sax_t {
 public:
  bool is_too_deep() const { return depth_ > kMaxNesting; }
  bool has_too_many_values() const { return values_ > kMaxValues; }

  bool null() override { return Count(); }
  bool boolean(bool /*value*/) override { return Count(); }
  bool number_integer(number_integer_t /*value*/) override { return Count(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return Count(); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return Count(); }
  bool string(string_t& /*value*/) override { return Count(); }
  bool binary(binary_t& /*value*/) override { return Count(); }
  bool key(string_t& /*value*/) override { return Count(); }
  bool start_object(std::size_t /*elements*/) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*elements*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  // The decoder reports errors of the bytes themselves.
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const json::exception& /*error*/) override {
    return false;
  }

 private:
  bool Count() { return ++values_ <= kMaxValues; }
  bool Enter() { return Count() && ++depth_ <= kMaxNesting; }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  std::size_t values_ = 0;
};

}  // namespace

Result<void> CheckMessagePack(const std::string& packed) {
  if (packed.size() < kMinBytesToOverflow) return Ok();
  StructureCounter counter;
  json::sax_parse(packed, &counter, json::input_format_t::msgpack);
  if (counter.is_too_deep()) return Fail(ErrorCode::kCorrupt, "nested too deep");
  if (counter.has_too_many_values()) {
    return Fail(ErrorCode::kLimitExceeded, "more than " + std::to_string(kMaxValues) + " values");
  }
  return Ok();
}

}  // namespace wagtailpick::base
