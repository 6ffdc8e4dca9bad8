//! Decodes the settings of a deployment, a JSON object that the platform writes, into the types of
//! the decision module and of the node. The node and the simulator adapter share this decoder, so
//! that both read the same values from the same settings.
//!
//! # Wire keys and names in code
//!
//! The platform defines the keys of the JSON object. These tables are the only place that maps the
//! keys to their names in the code; keys that are not listed are ignored. Values of keys that end
//! in `Ns` are in nanoseconds. A key without a default is required.
//!
//! | key in the settings object | name in code | unit, meaning, default |
//! |---|---|---|
//! | `grades` | `Settings::classes`, [`Deployment::classes`] | see below |
//! | `tenants` | `Settings::tenants`, [`Deployment::tenants`] | see below; empty |
//! | `azs` | [`Deployment::zones`] | names of zones, in the order of their numbers; empty |
//! | `kinds` | [`Deployment::kinds`] | names of kinds of machine; empty |
//! | `zone` | `Settings::zone` | number of the zone; 0 |
//! | `me` | `Settings::proxy_index` | index among the proxies; 0 |
//! | `siblings` | `Settings::proxy_count` | number of proxies, this one included; 1 |
//! | `membershipMode` | `Settings::poll_endpoints` | `automatic`: false, `subscribe`: true |
//! | `tickNs` | `Settings::tick` | |
//! | `overShareWorth` | `Settings::over_quota_weight` | 1 |
//! | `worthBy` | `Settings::weight_per_unit_of_work` | `request`: false, `work`: true; false |
//! | `penalties.crossZone` | `Settings::cross_zone_cost` | 0 |
//! | `goal.tail` | `Settings::tail_weight` | 0 |
//! | `limits` | `Settings::limits` and fields of [`Deployment`] | see below |
//! | `rules` | `Settings::rules` | see below |
//!
//! | key in a grade | field of `Class` | unit, meaning, default |
//! |---|---|---|
//! | `name` | (in [`Deployment::classes`]) | empty |
//! | `goalTimeNs` | `latency_objective` | |
//! | `aimStretch` | `latency_objective_per_unit_of_work` | multiple of expected work; 0 |
//! | `giveUpNs` | `client_timeout` | |
//! | `importance` | `priority_weight` | |
//! | `lateValue` | `late_priority_weight` | fraction of the weight; 0 |
//! | `effect` | `idempotency` | see the next table |
//! | `keyScope` | `scope` of `IdempotencyKey` | `all`: `Global`, `zone`, `cell`; `cell` |
//! | `windowNs` | `window` of `IdempotencyKey` | 0 |
//! | `streamed` | `streamed` | false |
//!
//! | value of `effect` | variant of `Idempotency` |
//! |---|---|
//! | `repeatable` | `Idempotent` |
//! | `by_key` | `IdempotencyKey` |
//! | `once` | `NotIdempotent` |
//!
//! | key in a tenant | name in code | unit, default |
//! |---|---|---|
//! | `name` | (in [`Deployment::tenants`]) | empty |
//! | `quotaPerS` | `Tenant::quota_per_second` | requests per second; 0 |
//!
//! | key in `limits` | name in code | unit, default |
//! |---|---|---|
//! | `maxAttempts` | `Limits::max_attempts` | |
//! | `cancel` | `Limits::can_cancel` | false |
//! | `probes` | `Limits::health_checks` | false |
//! | `maxRetryAfterNs` | `Limits::max_retry_after` | 0 |
//! | `connIdleNs` | [`Deployment::idle_limit`] | 10 s |
//! | `connectTimeoutNs` | [`Deployment::connect_timeout`] | 250 ms |
//! | `mostHeld` | [`Deployment::max_pending_requests`] | requests; 20,000 |
//!
//! | key in `rules` | field of `Rules` | unit, default |
//! |---|---|---|
//! | `answerSlackNs` | `answer_slack` | 0 |
//! | `drainGraceNs` | `drain_grace` | |
//! | `drainCloseNs` | `drain_close_within` | no limit |
//! | `coldFrom` | `slow_start_initial_capacity` | fraction of the full capacity |
//! | `coldNs` | `slow_start_duration` | |
//! | `tipMultiple` | `overload_multiple` | multiple of the capacity |
//! | `fallNs` | `overload_duration` | |
//! | `askWithinNs` | `poll_interval` | 10 s |
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod class;
mod decode;
mod deployment;
pub mod json;
mod limits;
mod rules;
mod setting_keys;

pub use deployment::{Deployment, read};
