#include "base/msgpack_check.h"

#include <nlohmann/json.hpp>

namespace wagtailpick::base {
namespace {

using nlohmann::json;

constexpr int kMaxNesting = 16;
/// Each level takes a byte at least, and the stack holds far more than this number of levels.
/// Nearly all frames are shorter and are not parsed twice.
constexpr std::size_t kMinBytesToOverflow = 8'000;

/// Counts levels while bytes are parsed, and ends the parsing at one that is too deep.
class NestingCounter : public json::json_sax_t {
 public:
  bool is_too_deep() const { return depth_ > kMaxNesting; }

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool key(string_t& /*value*/) override { return true; }
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
  bool Enter() { return ++depth_ <= kMaxNesting; }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
};

}  // namespace

Result<void> CheckMessagePack(const std::string& packed) {
  if (packed.size() < kMinBytesToOverflow) return Ok();
  NestingCounter counter;
  json::sax_parse(packed, &counter, json::input_format_t::msgpack);
  if (counter.is_too_deep()) return Fail(ErrorCode::kCorrupt, "nested too deep");
  return Ok();
}

}  // namespace wagtailpick::base
