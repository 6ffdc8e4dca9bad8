//! `scale`: holds the allowances for a long list of backends.

use std::collections::BTreeMap;
use std::path::Path;

use kitefork_testbed::cluster::Programs;
use kitefork_testbed::report::Report;
use kitefork_testbed::scale::{self, Comparison};

use super::{CommandError, FigureSeries, Verdict, play};
use crate::ScaleArguments;

/// Carries the command out.
pub fn run(arguments: &ScaleArguments) -> Result<Verdict, CommandError> {
    let medians = |backends| median_figures(backends, &arguments.program, arguments.rounds);
    let usual = medians(scale::USUAL_BACKENDS)?;
    let longer = medians(scale::LONGER_BACKENDS)?;
    let comparisons = scale::compare(&usual, &longer);
    print_comparisons(&comparisons);
    let holds = comparisons.iter().all(|comparison| comparison.holds);
    Ok(holds.into())
}

fn median_figures(
    backends: usize,
    program: &Path,
    rounds: u64,
) -> Result<BTreeMap<String, f64>, CommandError> {
    let mut series = FigureSeries::default();
    for round in 0..rounds.max(1) {
        let scenario = scale::scenario(backends, round + 1);
        let report = play(&scenario, &Programs::beside(program))?;
        if let Some(violation) = first_failure(&report) {
            return Err(CommandError::Unsound {
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
        scale::USUAL_BACKENDS,
        scale::LONGER_BACKENDS,
        "bound"
    );
    for comparison in comparisons {
        let verdict = if comparison.holds {
            ""
        } else {
            "  PASSED ITS BOUND"
        };
        println!(
            "{:<18} {:>10.3} {:>10.3} {:>10.3}{verdict}",
            comparison.figure, comparison.usual, comparison.longer, comparison.bound
        );
    }
}
