//! `run`: runs one scenario and prints its report.

use std::fmt::Display;
use std::path::Path;

use kitefork_testbed::cluster::Programs;
use kitefork_testbed::report::Report;

use super::{CommandError, Verdict, read_scenario, run_scenario, write_file};
use crate::RunArguments;

/// Maximum number of violations that are printed.
const MAX_VIOLATIONS: usize = 10;

/// Runs the scenario, prints its report and writes the requested files. The verdict is
/// [`Verdict::Failed`] if the report has a violation, an unmet expectation or a panic.
pub fn run(arguments: &RunArguments) -> Result<Verdict, CommandError> {
    let mut scenario = read_scenario(&arguments.file, arguments.nodes)?;
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let programs = Programs {
        trace: arguments.logs.is_some(),
        ..Programs::with_adjacent_shim(&arguments.program)
    };
    let report = run_scenario(&scenario, &programs)?;
    print_figures(&report);
    if let Some(path) = &arguments.json {
        write_file(path, &serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &arguments.logs {
        write_file(path, &report.logs.join("\n"))?;
    }
    print_failures(&report, &arguments.file, scenario.seed);
    Ok(report.passed().into())
}

fn print_figures(report: &Report) {
    println!(" s  calls failed fresh  asked in-time refused attempts");
    for (number, second) in report.seconds.iter().enumerate() {
        println!(
            "{number:>2} {:>6} {:>6} {:>5} {:>6} {:>7} {:>7} {:>8}",
            second.calls,
            second.failed_calls,
            second.nodes_with_list,
            second.requests,
            second.in_time,
            second.rejected,
            second.attempts
        );
    }
    for (name, value) in &report.figures {
        println!("{name:<22} {value:.4}");
    }
}

fn print_failures(report: &Report, file: &Path, seed: u64) {
    if report.passed() {
        return;
    }
    let print = |failure: &dyn Display| println!("FAILED {failure}");
    let violations = report.violations.iter().take(MAX_VIOLATIONS);
    violations.for_each(|violation| print(violation));
    report.unmet.iter().for_each(|unmet| print(unmet));
    report.panics.iter().for_each(|line| print(line));
    println!(
        "to repeat: kitefork-testbed run {} --seed {seed}",
        file.display()
    );
}
