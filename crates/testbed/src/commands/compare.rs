//! `compare`: runs a scenario with several programs and prints their figures side by side.

use kitefork_testbed::cluster::Programs;

use super::{CommandError, FigureSeries, Verdict, read_scenario, run_scenario};
use crate::CompareArguments;

/// Runs the scenario with each program and prints minimum, median and maximum of each figure. The
/// verdict is always [`Verdict::Passed`].
pub fn run(arguments: &CompareArguments) -> Result<Verdict, CommandError> {
    let series = run_alternately(arguments)?;
    println!(
        "{:<22} min, median, max of {} runs of each program, in the order given",
        "figure", arguments.rounds
    );
    let names = series.first().into_iter().flat_map(FigureSeries::names);
    for name in names {
        let columns: Vec<String> = series.iter().map(|series| column(series, name)).collect();
        println!("{name:<22} {}", columns.join("  |"));
    }
    Ok(Verdict::Passed)
}

/// Runs the scenario with each program in each round; each round has another seed. Returns the
/// figures of each program, in the order in which the programs were given.
fn run_alternately(arguments: &CompareArguments) -> Result<Vec<FigureSeries>, CommandError> {
    let programs = &arguments.program;
    let mut scenario = read_scenario(&arguments.file, arguments.nodes)?;
    let mut series = vec![FigureSeries::default(); programs.len()];
    for round in 0..arguments.rounds {
        scenario.seed += 1;
        for position in 0..programs.len() {
            // Each round starts with another program, so that no program always runs last, when the
            // machine is warmest.
            let index = (position + round as usize) % programs.len();
            let report = run_scenario(&scenario, &Programs::with_adjacent_shim(&programs[index]))?;
            series[index].add(report.figures);
        }
    }
    Ok(series)
}

fn column(series: &FigureSeries, name: &str) -> String {
    let values = series.sorted(name);
    let value_at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
    let (median_index, last_index) = (values.len() / 2, values.len().max(1) - 1);
    format!(
        "{:>9.3} {:>9.3} {:>9.3}",
        value_at(0),
        value_at(median_index),
        value_at(last_index)
    )
}
