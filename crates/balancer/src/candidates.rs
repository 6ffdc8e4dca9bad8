//! Which backends a draw looks at, so that its cost does not follow the length of the list.
//!
//! The split (9) gives a share to the backends that this node knows, its support set; the
//! exploration gives a small weight to every ready backend (DESIGN page, K ln t / t). Both are
//! renewed together. A draw then walks the support set alone, and finds an exploration by its place
//! in the running sums of the weights. Where what is found is not legal now, the caller walks the
//! whole list; that is exact in distribution, and counted.

use crate::interface::BackendId;
use crate::state::Server;

/// The support set and the weights of exploration, as of the last renewal.
#[derive(Default)]
pub(crate) struct Candidates {
    support: Vec<BackendId>,
    explorers: Vec<Explorer>,
}

/// A backend and the sum of the exploration weights up to and with its own.
struct Explorer {
    upto: f64,
    backend: BackendId,
}

impl Candidates {
    /// Of all backends, in any order; those without weight are left out.
    pub(crate) fn of<'a>(servers: impl Iterator<Item = &'a Server>) -> Candidates {
        let mut candidates = Candidates::default();
        let mut sum = 0.0;
        for server in servers {
            if server.rate > 0.0 || server.share > 0.0 {
                candidates.support.push(server.entry.id);
            }
            if server.explore > 0.0 {
                sum += server.explore;
                candidates.explorers.push(Explorer {
                    upto: sum,
                    backend: server.entry.id,
                });
            }
        }
        candidates
    }

    /// No backend has weight of either kind.
    pub(crate) fn is_empty(&self) -> bool {
        self.support.is_empty() && self.explorers.is_empty()
    }

    /// The backends that have a share or a rate.
    pub(crate) fn support(&self) -> &[BackendId] {
        &self.support
    }

    /// DecayedSum of the exploration weights; the probability of an exploration where it is under 1.
    pub(crate) fn explore_total(&self) -> f64 {
        self.explorers.last().map_or(0.0, |last| last.upto)
    }

    /// The backend at `place`, from 0 to 1, of the summed exploration weights.
    pub(crate) fn explorer(&self, place: f64) -> Option<BackendId> {
        let at = place * self.explore_total();
        let found = self
            .explorers
            .partition_point(|explorer| explorer.upto <= at);
        self.explorers
            .get(found)
            .or(self.explorers.last())
            .map(|explorer| explorer.backend)
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
