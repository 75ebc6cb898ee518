#pragma once

#include <nlohmann/json.hpp>

/// Returns a valid bundle that has all fields, as JSON for tests to modify.
inline nlohmann::json SampleBundle() {
  return nlohmann::json::parse(R"({
    "deployment": "manta-alta",
    "version": 7,
    "policy": "latency",
    "answer_lifetime_ms": 2000,
    "shift_headroom_percent": 20,
    "regions": [{"name": "mvd", "data_centres": ["mvd-1", "mvd-2"]},
                {"name": "pde", "data_centres": ["pde-1"]}],
    "links": [
      {"from": "mvd", "to": "pde", "one_way_ms": 20, "capacity_mbit_s": 8, "share_percent": 50},
      {"from": "pde", "to": "mvd", "one_way_ms": 20, "capacity_mbit_s": 8, "share_percent": 50}],
    "client_blocks": [{"block": "10.1.0.0/16", "place": "mvd-1"}],
    "services": [{"name": "payment", "priority": 2, "request_deadline_ms": 2000, "max_slots": 3,
                  "expected_answer_bytes": 10000, "idempotent_methods": ["GET", "HEAD"]},
                 {"name": "listings", "request_deadline_ms": 2000, "max_slots": 3,
                  "expected_answer_bytes": 10000}],
    "shift_caps": [{"service": "payment", "from": "mvd", "to": "pde", "requests_per_s": 50}],
    "drains": [{"place": "mvd-1", "service": "payment"}]
  })");
}
