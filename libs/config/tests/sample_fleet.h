#pragma once

#include <config/fleet_document.h>

namespace pollen {

// A small valid document with one of everything.
inline const std::string sampleFleet = R"([fleet]
name = "sample"
currency = "KES"

[[class]]
name = "tender"
priority = 0
quality_target = 0.9
deadline = "20s"

[[class]]
name = "quick"
priority = 1
quality_target = 0.7
deadline = "5s"

[[model]]
name = "big"

[[model.version]]
name = "v1"
input_cost = 4
output_cost = 12
prompt_tokens_per_second = 10000
output_tokens_per_second = 100
quality = { tender = 0.95, quick = 0.96 }

[[model.version]]
name = "v2"
state = "rolling_out"
rollout_share = 0.25
input_cost = 5
output_cost = 13
prompt_tokens_per_second = 10000
output_tokens_per_second = 100
quality = { tender = 0.95, quick = 0.96 }

[[model]]
name = "small"

[[model.version]]
name = "v1"
input_cost = 0.1
output_cost = 0.3
prompt_tokens_per_second = 10000
output_tokens_per_second = 1000
quality = { tender = 0.6, quick = 0.8 }

[[service]]
name = "orders"
cost_per_call = 0.5
timeout = "5s"
non_repeatable = ["POST /orders"]

[[team]]
name = "sales"
key_sha256 = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
default_class = "tender"
allowed = ["big/*"]
services = ["orders"]

[[team]]
name = "desk"
key_sha256 = ["bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"]
default_class = "quick"
allowed = ["*"]
quality_targets = { quick = 0.75 }
maximum_requests = 10

[[exception]]
team = "sales"
allow = ["small/v1"]
deny = ["big/v2"]
reason = "trial"
)";

} // namespace pollen
