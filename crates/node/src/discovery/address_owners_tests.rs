//! Unit tests of the owners of addresses.

use super::*;

const OLD: BackendId = BackendId(1);
const NEW: BackendId = BackendId(2);

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 80).into()
}

fn claim(backend: BackendId, boot_ms: u64, is_new: bool) -> Claim {
    Claim {
        backend,
        boot_ms,
        is_new,
        freshness: Freshness::Current,
    }
}

#[test]
fn backend_that_is_listed_later_supersedes_the_one_before_and_keeps_the_address() {
    for (old_start, new_start) in [(0, 0), (5, 0), (0, 5), (5, 5), (5, 6)] {
        let mut owners = AddressOwners::default();
        let first = owners.claim(address(), claim(OLD, old_start, true));
        assert_eq!(first, ClaimOutcome::Owner);
        let second = owners.claim(address(), claim(NEW, new_start, true));
        assert_eq!(second, ClaimOutcome::Supersedes(OLD));
        let third = owners.claim(address(), claim(OLD, old_start, false));
        assert_eq!(third, ClaimOutcome::Superseded);
    }
}

#[test]
fn backend_with_an_earlier_start_or_from_an_older_list_does_not_supersede() {
    let mut owners = AddressOwners::default();
    owners.claim(address(), claim(NEW, 6, true));
    let earlier = owners.claim(address(), claim(OLD, 5, true));
    assert_eq!(earlier, ClaimOutcome::Superseded);
    let older = Claim {
        freshness: Freshness::Older,
        ..claim(OLD, 0, true)
    };
    assert_eq!(owners.claim(address(), older), ClaimOutcome::Superseded);
}

#[test]
fn old_backend_that_starts_anew_owns_its_address_again() {
    let mut owners = AddressOwners::default();
    owners.claim(address(), claim(OLD, 5, true));
    owners.claim(address(), claim(NEW, 6, true));
    let restarted = owners.claim(address(), claim(OLD, 7, true));
    assert_eq!(restarted, ClaimOutcome::Supersedes(NEW));
}

#[test]
fn released_address_is_free() {
    let mut owners = AddressOwners::default();
    owners.claim(address(), claim(NEW, 6, true));
    owners.release(address(), OLD);
    assert_eq!(
        owners.claim(address(), claim(OLD, 5, false)),
        ClaimOutcome::Superseded
    );
    owners.release(address(), NEW);
    assert_eq!(
        owners.claim(address(), claim(OLD, 5, false)),
        ClaimOutcome::Owner
    );
}
