//! Runs every scenario of the repository at a small size with real processes of the node. No rule
//! may be broken, no process may panic, all nodes must get an endpoint list, and some of the
//! traffic must be served. The bounds in the scenario files are not checked here, as the machine
//! may be busy; `make fleet` checks them.

use std::path::{Path, PathBuf};

use kitefork_testbed::cluster::{self, Programs};
use kitefork_testbed::scenario::{Expect, Scenario};

/// Path of the program that this test run has built.
fn program() -> PathBuf {
    let test_binary = std::env::current_exe().unwrap();
    let program = test_binary
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

/// Reads a scenario file of the repository and sets the number of nodes. The number of backends (at
/// least 6) and the request rate are scaled in proportion, and a long run is shortened.
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
    // Shorten the scenario: the reduced fleet needs at most 9 s after the last step.
    let last_step_end_s = scenario
        .at
        .iter()
        .map(|step| step.at_s + step.over_s)
        .fold(0.0, f64::max);
    scenario.length_s = scenario.length_s.min(last_step_end_s + 9.0);
    scenario
}

async fn check_scenario(name: &str, nodes: usize) {
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
    let report = cluster::run(&scenario, &Programs::with_adjacent_shim(&program()))
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

/// Defines one test per scenario file, each with 12 nodes.
macro_rules! scenarios {
    ($($test:ident $file:literal,)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
        async fn $test() {
            check_scenario($file, 12).await;
        })*

        #[test]
        fn every_scenario_file_has_a_test() {
            let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
            let names = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().file_name());
            let mut names: Vec<String> = names.map(|name| name.into_string().unwrap()).collect();
            let mut tested = vec![$(format!("{}.toml", $file)),*];
            names.sort();
            tested.sort();
            assert_eq!(names, tested);
        }
    };
}

scenarios! {
    rules_hold_if_nodes_start_with_empty_lists "cold-start",
    rules_hold_if_nodes_start_with_empty_lists_and_a_fast_discovery "cold-start-fast",
    rules_hold_if_nodes_start_with_empty_lists_and_a_slow_discovery "cold-start-slow",
    rules_hold_if_nodes_start_with_stale_lists "stale-start",
    rules_hold_if_nodes_start_during_a_discovery_outage "outage-at-start",
    rules_hold_if_discovery_is_overloaded_then_silent_then_truncates_answers "busy-silent-half",
    rules_hold_if_discovery_restarts_without_its_history "list-restart",
    rules_hold_if_most_nodes_are_killed_in_a_release "release-kill",
    rules_hold_if_nodes_are_restarted_in_groups_by_sigterm "rolling-restart",
    rules_hold_if_nodes_are_restarted_in_groups_by_sigkill "kill-each",
    rules_hold_if_a_zone_is_cut_off_from_discovery "cut-from-list",
    rules_hold_if_links_to_a_zone_of_backends_are_cut "cut-from-backends",
    rules_hold_if_nodes_are_paused_and_resumed "stall",
    rules_hold_if_nodes_are_killed_repeatedly "crash-loop",
    rules_hold_if_all_nodes_reload_their_configuration "reload-all",
    rules_hold_if_backends_are_silent_fail_and_reset_connections "swallow-and-reset",
    rules_hold_if_second_answers_come_late "late-second-answers",
    rules_hold_if_lengths_of_answers_are_too_short "short-lengths",
    rules_hold_if_requests_come_in_all_forms "request-forms",
}
