//! Which backend owns an address: the one whose process was started there last.
//!
//! A new process may come up at the address of one that has gone, before the list tells the end of
//! the old one, or without ever telling it. Two processes can't listen on one address, so the old
//! one is superseded: attempts for it would reach the new one.

use std::collections::HashMap;
use std::net::SocketAddr;

use kitefork_balancer::BackendId;

use super::endpoint_list::Freshness;

/// A backend that is listed at an address.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    /// The backend.
    pub(super) backend: BackendId,
    /// When its process started, in Unix milliseconds by its own clock; 0 if unknown.
    pub(super) boot_ms: u64,
    /// Whether the backend, this start of it, or its address was not known before.
    pub(super) is_new: bool,
    /// How recent the list is.
    pub(super) freshness: Freshness,
}

/// Which backend is superseded by a claim, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimOutcome {
    /// The backend owns the address, and no other one did.
    Owner,
    /// The backend owns the address now; this one did before.
    Supersedes(BackendId),
    /// Another backend owns the address.
    Superseded,
}

/// The owners of all addresses.
#[derive(Default)]
pub(super) struct AddressOwners {
    owners: HashMap<SocketAddr, (BackendId, u64)>,
}

impl AddressOwners {
    /// Handles the entry of a backend that is not removed.
    pub(super) fn claim(&mut self, address: SocketAddr, claim: Claim) -> ClaimOutcome {
        let owner = self.owners.get(&address).copied();
        match owner {
            Some((owner, boot_ms)) if owner != claim.backend => {
                if !is_later(claim, boot_ms) {
                    return ClaimOutcome::Superseded;
                }
                self.set(address, claim);
                ClaimOutcome::Supersedes(owner)
            }
            _ => {
                self.set(address, claim);
                ClaimOutcome::Owner
            }
        }
    }

    fn set(&mut self, address: SocketAddr, claim: Claim) {
        self.owners.insert(address, (claim.backend, claim.boot_ms));
    }

    /// Forgets an address that its owner has left.
    pub(super) fn release(&mut self, address: SocketAddr, backend: BackendId) {
        if self
            .owners
            .get(&address)
            .is_some_and(|owner| owner.0 == backend)
        {
            self.owners.remove(&address);
        }
    }
}

/// Whether the process of a claim was started after one that started at `owner_boot_ms`. Known
/// starts decide; else a backend that was not known before is the later one.
fn is_later(claim: Claim, owner_boot_ms: u64) -> bool {
    let are_known = claim.boot_ms != 0 && owner_boot_ms != 0;
    if are_known && claim.boot_ms != owner_boot_ms {
        return claim.boot_ms > owner_boot_ms;
    }
    claim.is_new && claim.freshness != Freshness::Older
}

#[cfg(test)]
#[path = "address_owners_tests.rs"]
mod tests;
