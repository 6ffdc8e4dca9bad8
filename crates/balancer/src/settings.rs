//! What a balancer is configured with: classes of requests, tenants, limits and protocol rules.

use thiserror::Error;

use crate::ids::{Nanos, ZoneId};

/// The backends among which a repeated idempotency key is recognised and the repeat dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every backend.
    Global,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// What it means to execute a request more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it again is harmless.
    #[default]
    Idempotent,
    /// Requests carry an idempotency key: repeats are dropped within `scope`, for `window` after
    /// the first attempt was sent.
    IdempotencyKey {
        /// The backends that share the keys they have seen.
        scope: DeduplicationScope,
        /// How long a key is remembered.
        window: Nanos,
    },
    /// It must never be executed twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether a retry by the client is harmless, so that the request may be rejected:
    /// `may_have_executed` tells whether any attempt was, or may still be, executed. The client may
    /// reach any backend, so a key helps only where all of them share the keys they have seen.
    pub fn allows_rejection(self, may_have_executed: bool) -> bool {
        match self {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DeduplicationScope::Global,
                ..
            } => true,
            Idempotency::IdempotencyKey { .. } | Idempotency::NotIdempotent => !may_have_executed,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// An answer within this time has its full weight.
    pub latency_objective: Nanos,
    /// The objective grows by this multiple of the request's own expected work.
    pub latency_objective_per_unit_of_work: f64,
    /// How long a client waits for an answer in all, its own retries included.
    pub client_timeout: Nanos,
    /// Weight of one answered request, or of one unit of its work.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after the latency objective still has.
    pub late_priority_weight: f64,
    /// What executing a request twice means.
    pub idempotency: Idempotency,
    /// Answers are streamed.
    pub streamed: bool,
}

/// A tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second within its quota, over all proxies.
    pub quota_per_second: f64,
}

/// What the site permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts for one request, the first included.
    pub max_attempts: u32,
    /// Whether an attempt may be cancelled.
    pub can_cancel: bool,
    /// Whether backends may be sent health checks.
    pub health_checks: bool,
    /// Longest `Retry-After` that clients heed; 0 where they heed none.
    pub max_retry_after: Nanos,
    /// Fraction of its client's timeout after which a request that no backend has seen is rejected.
    pub never_attempted_timeout_fraction: f64,
}

/// The figures of the four protocol rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A final answer may come this much after the client's timeout.
    pub answer_slack: Nanos,
    /// Attempts to a backend must stop within this time of the notice that it drains or is removed.
    pub drain_grace: Nanos,
    /// Idle connections to a draining backend must be closed within this time of the notice or, if
    /// later, of the last attempt that was sent or ended there; `None`: they may stay open.
    pub drain_close_within: Option<Nanos>,
    /// Fraction of its capacity that a backend has at least when its process starts.
    pub slow_start_initial_capacity: f64,
    /// Time after which a started backend has its full capacity.
    pub slow_start_duration: Nanos,
    /// A backend in slow start that gets more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long breaks down.
    pub overload_duration: Nanos,
    /// Where there is no watch, a change counts as notified this long after the last poll.
    pub poll_interval: Nanos,
}

/// The configuration of one balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Zone of this proxy.
    pub zone: ZoneId,
    /// Index of this proxy among all of them, from 0.
    pub proxy_index: u32,
    /// Number of proxies in front of the same backends, this one included.
    pub proxy_count: u32,
    /// Whether the endpoint list is polled; otherwise it is pushed.
    pub poll_endpoints: bool,
    /// Shortest time between two events at different times.
    pub tick: Nanos,
    /// Weight of what a tenant sends beyond its quota, as a fraction of the usual.
    pub over_quota_weight: f64,
    /// Whether weights count by unit of work instead of by request.
    pub weight_per_unit_of_work: bool,
    /// Cost of an attempt that crosses zones, in weights of a mean request.
    pub cross_zone_cost: f64,
    /// Weight of the tail in the site's goal: above 0, a miss costs more than its weight, and a
    /// rejection within the latency objective is no miss.
    pub tail_weight: f64,
    /// What the site permits.
    pub limits: Limits,
    /// Figures of the protocol rules.
    pub rules: Rules,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            tenants: Vec::new(),
            zone: ZoneId(0),
            proxy_index: 0,
            proxy_count: 1,
            poll_endpoints: false,
            tick: 1_000_000,
            over_quota_weight: 1.0,
            weight_per_unit_of_work: false,
            cross_zone_cost: 0.0,
            tail_weight: 0.0,
            limits: Limits {
                max_attempts: 3,
                can_cancel: true,
                health_checks: false,
                max_retry_after: 0,
                never_attempted_timeout_fraction: 1.0,
            },
            rules: Rules {
                answer_slack: 0,
                drain_grace: 0,
                drain_close_within: None,
                slow_start_initial_capacity: 1.0,
                slow_start_duration: 0,
                overload_multiple: 1.0,
                overload_duration: 1_000_000_000,
                poll_interval: 10_000_000_000,
            },
        }
    }
}

impl Settings {
    /// Checks that every figure makes sense.
    ///
    /// # Errors
    ///
    /// Names the first setting that does not.
    pub fn check(&self) -> Result<(), SettingsError> {
        let failed = self.checks().into_iter().find(|check| !check.holds);
        failed.map_or(Ok(()), |Check { key, reason, .. }| {
            Err(SettingsError { key, reason })
        })
    }

    fn checks(&self) -> [Check; 7] {
        let (classes, rules) = (&self.classes, &self.rules);
        let capacity = rules.slow_start_initial_capacity;
        let has_times = |class: &Class| class.latency_objective > 0 && class.client_timeout > 0;
        let has_weight = |class: &Class| is_finite_and_not_negative(class.priority_weight);
        [
            Check::new(self.tick > 0, "tick", "must be above 0"),
            Check::new(
                classes.iter().all(has_times),
                "classes",
                "latency objective and client timeout must be above 0",
            ),
            Check::new(
                classes.iter().all(has_weight),
                "classes",
                "priority weight must be 0 or more",
            ),
            Check::new(
                capacity > 0.0 && capacity <= 1.0,
                "rules.slow_start_initial_capacity",
                "must be above 0, at most 1",
            ),
            Check::new(
                is_finite_and_not_negative(self.tail_weight),
                "tail_weight",
                "must be 0 or more",
            ),
            Check::new(
                rules.drain_close_within != Some(0),
                "rules.drain_close_within",
                "must be above 0",
            ),
            Check::new(
                rules.overload_duration > 0 && rules.overload_multiple > 0.0,
                "rules.overload_duration",
                "duration and multiple must be above 0",
            ),
        ]
    }
}

fn is_finite_and_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// One condition on the settings.
struct Check {
    holds: bool,
    key: &'static str,
    reason: &'static str,
}

impl Check {
    fn new(holds: bool, key: &'static str, reason: &'static str) -> Check {
        Check { holds, key, reason }
    }
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting `{key}`: {reason}")]
pub struct SettingsError {
    /// Path of the setting within [`Settings`].
    pub key: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}
