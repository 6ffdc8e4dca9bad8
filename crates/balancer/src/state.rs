//! The types that the decisions keep: data only, no decision is made here.

use std::collections::BTreeMap;

use crate::statistics::{FractionHistogram, MovingMean};

use crate::interface::*;

/// A moment set for later.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Task {
    Ask,
    Look(RequestId),
    Close(BackendId),
    Wake,
}

/// What is known of a backend.
#[derive(Clone, Default)]
pub(crate) struct Server {
    pub(crate) entry: Endpoint,
    /// Discounted completions and summed latencies (seconds): N and L of the design.
    pub(crate) done: f64,
    pub(crate) spent: f64,
    /// Attempts out, and the sum of their send times (seconds).
    pub(crate) out: f64,
    pub(crate) out_sent: f64,
    /// Discounted failures.
    pub(crate) failed: f64,
    /// Failures since its last completion.
    pub(crate) streak: f64,
    /// Its exploration clock started then: at its first completion.
    pub(crate) joined: Nanos,
    pub(crate) ejected_until: Nanos,
    pub(crate) ejections: u32,
    /// Sends that the rule on cold backends leaves to this node, by now.
    pub(crate) cold_credit: f64,
    /// Place from 0 to 1 in this node's own order of its zone's backends: the first are used and
    /// known first.
    pub(crate) order: f64,
    /// It is of the part of its zone that this node uses first.
    pub(crate) own: bool,
    /// Rate by the estimate, 0 outside the set.
    pub(crate) rate: f64,
    /// Share by (9), and share of an exploration.
    pub(crate) share: f64,
    pub(crate) explore: f64,
    /// Moving mean of its latencies over those of the best of times.
    pub(crate) ratio: f64,
    /// Its last answer over the usual of its class, and when that came.
    pub(crate) last: f64,
    pub(crate) heard: Nanos,
    /// Attempts that it is seen to keep up with.
    pub(crate) room: f64,
}

/// An attempt of a request.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) sent: Nanos,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    /// `None` while it is out.
    pub(crate) outcome: Option<Outcome>,
}

/// A request that is not over, or has attempts out.
pub(crate) struct Open {
    pub(crate) request: Request,
    pub(crate) deadline: Nanos,
    /// An answer later than this has lost worth.
    pub(crate) aim: Nanos,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) finished: bool,
    pub(crate) streaming: bool,
    /// Place in the order of waiting: worth, then turn.
    pub(crate) rank: (u64, u64),
    /// Attempts that a pace must have saved up before one of this request starts.
    pub(crate) needs: f64,
}

/// What is known of a class.
#[derive(Clone, Default)]
pub(crate) struct ClassStats {
    /// Patience of its requests, in parts of the deadline.
    pub(crate) patience: FractionHistogram,
    /// Latencies, in seconds.
    pub(crate) all: MovingMean,
    /// Those of each zone's backends.
    pub(crate) zones: BTreeMap<ZoneId, MovingMean>,
}
