//! Settings of a balancer: classes of requests, tenants, limits and protocol rules.

use thiserror::Error;

use crate::ids::{Nanos, ZoneId};

/// The backends that recognise a repeated idempotency key and drop the repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All backends.
    Global,
    /// The backends in the same zone as the backend that received the key.
    Zone,
    /// The backends in the same cell as the backend that received the key.
    Cell,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution is harmless.
    #[default]
    Idempotent,
    /// Requests carry an idempotency key. Repeats are dropped within `scope`, for `window` after
    /// the first attempt was sent.
    IdempotencyKey {
        /// Backends that share the keys they have seen.
        scope: DeduplicationScope,
        /// How long the backends remember a key, counted from the first attempt that carried it.
        window: Nanos,
    },
    /// The request must never be executed twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether a retry by the client is harmless, so that the request may be rejected.
    /// `may_have_executed` tells whether any attempt was, or may still be, executed. As the client
    /// may reach any backend with its retry, an idempotency key helps only if all backends share
    /// the keys they have seen.
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

/// A class of requests: which answers its clients expect, and whether a request may be repeated.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Time after the client's first try within which an answer has its full weight; above 0.
    pub latency_objective: Nanos,
    /// Multiple of the expected work of a request
    /// ([`Request::work_hint`](crate::Request::work_hint)) that is added to its latency objective.
    /// Negative values count as 0.
    pub latency_objective_per_unit_of_work: f64,
    /// Total time that a client waits for an answer, over all of its own retries; above 0.
    pub client_timeout: Nanos,
    /// Weight of one answered request, or of one unit of its work if
    /// [`Settings::weight_per_unit_of_work`] is set; 0 or more.
    pub priority_weight: f64,
    /// Fraction of the weight that remains for an answer after the latency objective, from 0 to 1.
    pub late_priority_weight: f64,
    /// Whether requests of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether answers are streamed. The balancer does not use it:
    /// [`Event::FirstByte`](crate::Event::FirstByte) reports each stream.
    pub streamed: bool,
}

/// A tenant: a sender of requests that has a quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Quota of the tenant: requests per second, over all proxies, that keep their full weight.
    /// [`Settings::over_quota_weight`] applies to requests beyond it.
    pub quota_per_second: f64,
}

/// Limits that the operator of a site sets.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts for one request, the first one included.
    pub max_attempts: u32,
    /// Whether the balancer may cancel attempts in flight; otherwise each runs until it ends.
    pub can_cancel: bool,
    /// Whether backends may be sent health checks. The balancer requests none.
    pub health_checks: bool,
    /// Longest `Retry-After` that clients respect; 0 if they ignore it. Each rejection gives this
    /// value.
    pub max_retry_after: Nanos,
    /// Fraction of the client timeout after which a request is rejected if no byte of it was
    /// written to a backend.
    pub never_attempted_timeout_fraction: f64,
}

/// Parameters of the four protocol rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after the client timeout a final answer may still be given. The balancer does not
    /// use it.
    pub answer_slack: Nanos,
    /// Attempts to a backend must stop within this time after the notice that it is draining or
    /// removed. The balancer does not use it: it starts no attempts there from the notice on.
    pub drain_grace: Nanos,
    /// Idle connections to a draining backend must be closed within this time after the notice or,
    /// if later, after an attempt was last sent to the backend or last ended there. `None` if they
    /// may stay open; otherwise above 0.
    pub drain_close_within: Option<Nanos>,
    /// Minimum capacity of a backend when its process starts, as a fraction of its full capacity;
    /// above 0, at most 1.
    pub slow_start_initial_capacity: f64,
    /// Time from the start of a backend's process until the backend has its full capacity; 0
    /// without slow start.
    pub slow_start_duration: Nanos,
    /// A backend in slow start breaks down if it gets more than this multiple of its present
    /// capacity for [`overload_duration`](Rules::overload_duration); above 0.
    pub overload_multiple: f64,
    /// How long a backend in slow start withstands more than
    /// [`overload_multiple`](Rules::overload_multiple) times its present capacity; above 0.
    pub overload_duration: Nanos,
    /// Without a watch, a change of the endpoint list counts as notified this long after the last
    /// poll.
    pub poll_interval: Nanos,
}

/// The settings of one balancer, fixed when the balancer is created.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of requests; a [`ClassId`](crate::ClassId) is an index of this list.
    pub classes: Vec<Class>,
    /// Tenants; a [`TenantId`](crate::TenantId) is an index of this list. May be empty: a tenant
    /// without an entry has no quota, and its requests are never limited by one.
    pub tenants: Vec<Tenant>,
    /// Zone in which this proxy runs: the local zone.
    pub zone: ZoneId,
    /// Index of this proxy among all of them, from 0.
    pub proxy_index: u32,
    /// Number of proxies in front of the same backends, this one included; 0 counts as 1.
    pub proxy_count: u32,
    /// Whether the endpoint list is polled; otherwise changes are pushed.
    pub poll_endpoints: bool,
    /// Minimum time between two events at different times; above 0. Also the length of a slot, the
    /// unit of time in which service rates are counted.
    pub tick: Nanos,
    /// Fraction of its weight that a request beyond the quota of its tenant keeps.
    pub over_quota_weight: f64,
    /// Whether weights count by unit of work rather than by request.
    pub weight_per_unit_of_work: bool,
    /// Cost of an attempt in another zone, in units of the weight of a mean request. The balancer
    /// treats all costs above 0 alike.
    pub cross_zone_cost: f64,
    /// Weight of the latency tail in the goal of the site; 0 or more. Above 0, an answer after the
    /// latency objective is a miss, which costs more than the weight of its request; a rejection
    /// within the latency objective is not a miss.
    pub tail_weight: f64,
    /// Limits on attempts, cancellations, health checks and `Retry-After`.
    pub limits: Limits,
    /// Parameters of the protocol rules, such as those on draining and on slow start.
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
    /// Checks the ranges that the fields document, except that of [`Class::late_priority_weight`].
    ///
    /// # Errors
    ///
    /// Returns the first setting that is invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        let failed = self.checks().into_iter().find(|check| !check.is_valid);
        failed.map_or(Ok(()), |Check { key, reason, .. }| {
            Err(SettingsError { key, reason })
        })
    }

    fn checks(&self) -> [Check; 7] {
        let (classes, rules) = (&self.classes, &self.rules);
        let initial_capacity = rules.slow_start_initial_capacity;
        let has_valid_durations =
            |class: &Class| class.latency_objective > 0 && class.client_timeout > 0;
        let has_valid_weight = |class: &Class| is_finite_and_not_negative(class.priority_weight);
        [
            Check::new(self.tick > 0, "tick", "must be above 0"),
            Check::new(
                classes.iter().all(has_valid_durations),
                "classes",
                "latency objective and client timeout must be above 0",
            ),
            Check::new(
                classes.iter().all(has_valid_weight),
                "classes",
                "priority weight must be 0 or more",
            ),
            Check::new(
                initial_capacity > 0.0 && initial_capacity <= 1.0,
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
                "overload duration and overload multiple must be above 0",
            ),
        ]
    }
}

fn is_finite_and_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// A condition on the settings, and the parts of the error to return if it does not hold.
struct Check {
    is_valid: bool,
    key: &'static str,
    reason: &'static str,
}

impl Check {
    fn new(is_valid: bool, key: &'static str, reason: &'static str) -> Check {
        Check {
            is_valid,
            key,
            reason,
        }
    }
}

/// A setting whose value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting `{key}`: {reason}")]
pub struct SettingsError {
    /// Path of the setting within [`Settings`].
    pub key: &'static str,
    /// Condition that the value does not meet, such as `must be above 0`.
    pub reason: &'static str,
}
