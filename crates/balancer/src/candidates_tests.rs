//! Tests of the running sums.

use super::*;
use crate::interface::Endpoint;

fn server(id: u32, share: f64, explore: f64) -> Server {
    Server {
        entry: Endpoint {
            id: BackendId(id),
            ..Endpoint::default()
        },
        share,
        explore,
        ..Server::default()
    }
}

#[test]
fn an_explorer_is_found_in_proportion_to_its_weight() {
    let servers = [
        server(1, 0.0, 0.1),
        server(2, 0.5, 0.0),
        server(3, 0.5, 0.3),
    ];
    let candidates = Candidates::of(servers.iter());
    assert_eq!(candidates.support(), [BackendId(2), BackendId(3)]);
    assert!((candidates.explore_total() - 0.4).abs() < 1e-12);
    let count = |id| {
        let at = |n: u32| candidates.explorer(f64::from(n) / 1000.0);
        (0..1000).filter(|n| at(*n) == Some(BackendId(id))).count()
    };
    assert_eq!((count(1), count(2), count(3)), (250, 0, 750));
}

#[test]
fn nothing_is_found_where_nothing_has_weight() {
    let candidates = Candidates::of(std::iter::empty());
    assert_eq!(
        (candidates.explore_total(), candidates.explorer(0.5)),
        (0.0, None)
    );
    let candidates = Candidates::of([server(1, 1.0, 0.2)].iter());
    assert_eq!(candidates.explorer(1.0), Some(BackendId(1)));
}
