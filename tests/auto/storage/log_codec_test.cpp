#include "storage/log_codec.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using nlohmann::json;
using wagtailpick::storage::DecodeLogRecord;

namespace {

bool IsRead(const json& row) {
  const auto bytes = json::to_cbor(row);
  return DecodeLogRecord(std::string(bytes.begin(), bytes.end())).has_value();
}

}  // namespace

// Guards against a number that is read as another one, such as 257 as a record of type 1 or a term
// of -1 as the highest one.
Test(log_codec, refuses_numbers_that_do_not_fit) {
  const auto data = json::binary({'a'});
  const json valid = {1, 7, 5, 1, data};
  cr_assert(IsRead(valid));
  for (std::size_t field = 0; field < 4; ++field) {
    for (const json& value : std::vector<json>{-1, 4.5, 1e308, true, nullptr}) {
      json row = valid;
      row[field] = value;
      cr_expect(!IsRead(row), "%s", row.dump().c_str());
    }
  }
  cr_expect(!IsRead({257, 7, 5, 1, data}));
  cr_expect(!IsRead({1, 7, 5, 4'294'967'297, data}));
  cr_expect(!IsRead({4, -1, "", 1}));
}
