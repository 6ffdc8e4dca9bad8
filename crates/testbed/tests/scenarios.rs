//! Every scenario of the repository at a small size, with real processes of the program: no rule is
//! broken, none panics, and what a scenario expects of lists holds. How fast and how much is not
//! judged here, as the machine may be busy: that is `make fleet`'s.

use std::path::{Path, PathBuf};

use kitefork_testbed::cluster::{self, Programs};
use kitefork_testbed::scenario::{Expect, Scenario};

/// The program that this test run has built.
fn program() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let program = test
        .parent()
        .and_then(Path::parent)
        .unwrap()
        .join("kitefork");
    assert!(
        program.exists(),
        "{} is not built: run the tests of the whole workspace",
        program.display()
    );
    program
}

/// A scenario file of the repository, with so many nodes and the rest in proportion.
fn read_scenario(name: &str, nodes: usize) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../scenarios")
        .join(name)
        .with_extension("toml");
    let mut scenario = Scenario::parse(&std::fs::read_to_string(&file).unwrap()).unwrap();
    let scale = nodes as f64 / scenario.fleet.nodes as f64;
    scenario.fleet.backends = ((scenario.fleet.backends as f64 * scale).round() as usize).max(6);
    scenario.traffic.rate *= scale;
    scenario.fleet.nodes = nodes;
    // A few nodes are through sooner than the fleet that the length is for.
    let last = scenario
        .at
        .iter()
        .map(|step| step.at_s + step.over_s)
        .fold(0.0, f64::max);
    scenario.length_s = scenario.length_s.min(last + 9.0);
    scenario
}

async fn play(name: &str, nodes: usize) {
    let mut scenario = read_scenario(name, nodes);
    scenario.expect = vec![
        Expect {
            figure: "nodes_without_list".into(),
            least: None,
            most: Some(0.0),
        },
        Expect {
            figure: "lives".into(),
            least: Some(nodes as f64),
            most: None,
        },
    ];
    let report = cluster::run(&scenario, &Programs::beside(&program()))
        .await
        .unwrap();
    assert!(
        report.passed(),
        "{name}: {:#?} {:#?} {:#?}",
        report.violations,
        report.unmet,
        report.panics
    );
    if scenario.traffic.rate > 0.0 {
        assert!(
            report.figures["served"] > 0.3,
            "{name}: {:#?}",
            report.figures
        );
    }
}

/// Twelve processes each.
macro_rules! scenarios {
    ($($test:ident $file:literal,)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
        async fn $test() {
            play($file, 12).await;
        })*

        #[test]
        fn every_scenario_file_is_played() {
            let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
            let names = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().file_name());
            let mut names: Vec<String> = names.map(|name| name.into_string().unwrap()).collect();
            let mut played = vec![$(format!("{}.toml", $file)),*];
            names.sort();
            played.sort();
            assert_eq!(names, played);
        }
    };
}

scenarios! {
    nodes_that_start_with_nothing "cold-start",
    nodes_that_start_with_nothing_at_a_fast_discovery "cold-start-fast",
    nodes_that_start_with_nothing_at_a_slow_discovery "cold-start-slow",
    nodes_that_start_with_an_old_list "stale-start",
    nodes_that_start_in_an_outage "outage-at-start",
    a_discovery_that_is_overloaded_then_silent_then_breaks_off "busy-silent-half",
    a_discovery_that_forgets_its_history "list-restart",
    most_nodes_die_in_a_release "release-kill",
    nodes_end_one_after_the_other_by_sigterm "rolling-restart",
    nodes_die_one_after_the_other_by_sigkill "kill-each",
    a_zone_is_cut_off_from_discovery "cut-from-list",
    a_zone_of_backends_falls_silent "cut-from-backends",
    nodes_are_stopped_and_go_on "stall",
    nodes_die_again_and_again "crash-loop",
    all_nodes_read_their_configuration_anew "reload-all",
    backends_swallow_fail_and_reset "swallow-and-reset",
}
