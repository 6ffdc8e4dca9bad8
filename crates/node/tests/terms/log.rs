//! The log never holds up the loop: lines that find no room are dropped and counted.

use super::{EchoBackend, ask, world_of};
use crate::common::World;

#[test]
fn a_log_that_nobody_reads_holds_up_no_request_and_says_later_what_it_dropped() {
    let (mut world, backend) = world_of(|config| World::told(config, &[("BALANCER_TRACE", "1")]));
    // Each request traces some hundred bytes; a pipe holds 64 KiB.
    assert_eq!(ask(&world, 600), 600);
    assert_eq!(backend.served(), 600);
    let lines = world.expect_log("accepted id=");
    assert!(lines.contains("kitefork: trace"), "{lines}");
    world.expect_log("log-dropped lines=");
}

#[test]
fn a_log_whose_reader_has_gone_holds_up_no_request() {
    let (mut world, _backend): (World, EchoBackend) =
        world_of(|config| World::told(config, &[("BALANCER_TRACE", "1")]));
    world.drop_log();
    assert_eq!(ask(&world, 100), 100);
}
