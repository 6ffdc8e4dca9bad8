//! `scale`: checks the bounds on the resource usage of a node with a long list of backends.

use std::collections::BTreeMap;
use std::path::Path;

use kitefork_testbed::cluster::Programs;
use kitefork_testbed::report::Report;
use kitefork_testbed::scale::{self, Comparison};

use super::{CommandError, FigureSeries, Verdict, run_scenario};
use crate::ScaleArguments;

/// Runs the node with the baseline list and with the large list of backends, and prints each figure
/// with its bound. The verdict is [`Verdict::Failed`] if a bound is not met.
pub fn run(arguments: &ScaleArguments) -> Result<Verdict, CommandError> {
    let medians = |backends| median_figures(backends, &arguments.program, arguments.rounds);
    let baseline = medians(scale::BASELINE_BACKENDS)?;
    let large = medians(scale::LARGE_BACKENDS)?;
    let comparisons = scale::compare(&baseline, &large);
    print_comparisons(&comparisons);
    let within_bounds = comparisons.iter().all(|comparison| comparison.within_bound);
    Ok(within_bounds.into())
}

fn median_figures(
    backends: usize,
    program: &Path,
    rounds: u64,
) -> Result<BTreeMap<String, f64>, CommandError> {
    let mut series = FigureSeries::default();
    for round in 0..rounds.max(1) {
        let scenario = scale::scenario(backends, round + 1);
        let report = run_scenario(&scenario, &Programs::with_adjacent_shim(program))?;
        if let Some(violation) = first_failure(&report) {
            return Err(CommandError::FailedRun {
                backends,
                violation,
            });
        }
        series.add(report.figures);
    }
    let median = |name: &String| {
        let values = series.sorted(name);
        (name.clone(), values[values.len() / 2])
    };
    Ok(series.names().map(median).collect())
}

fn first_failure(report: &Report) -> Option<String> {
    let violation = report.violations.first().map(ToString::to_string);
    violation.or(report.panics.first().cloned())
}

fn print_comparisons(comparisons: &[Comparison]) {
    println!(
        "{:<18} {:>10} {:>10} {:>10}",
        "figure",
        scale::BASELINE_BACKENDS,
        scale::LARGE_BACKENDS,
        "bound"
    );
    for comparison in comparisons {
        let remark = if comparison.within_bound {
            ""
        } else {
            "  BOUND NOT MET"
        };
        println!(
            "{:<18} {:>10.3} {:>10.3} {:>10.3}{remark}",
            comparison.figure, comparison.baseline, comparison.large, comparison.bound
        );
    }
}
