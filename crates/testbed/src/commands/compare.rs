//! `compare`: plays a scenario with several programs and prints their figures side by side.

use kitefork_testbed::cluster::Programs;

use super::{CommandError, FigureSeries, Verdict, play, read_scenario};
use crate::CompareArguments;

/// Carries the command out.
pub fn run(arguments: &CompareArguments) -> Result<Verdict, CommandError> {
    let series = play_in_turn(arguments)?;
    println!(
        "{:<22} min, median, max of {} for each program in the order given",
        "figure", arguments.rounds
    );
    let names = series.first().into_iter().flat_map(FigureSeries::names);
    for name in names {
        let columns: Vec<String> = series.iter().map(|series| column(series, name)).collect();
        println!("{name:<22} {}", columns.join("  |"));
    }
    Ok(Verdict::Passed)
}

/// The figures of each program, in the order in which the programs were given.
fn play_in_turn(arguments: &CompareArguments) -> Result<Vec<FigureSeries>, CommandError> {
    let programs = &arguments.program;
    let mut scenario = read_scenario(&arguments.file, arguments.nodes)?;
    let mut series = vec![FigureSeries::default(); programs.len()];
    for round in 0..arguments.rounds {
        scenario.seed += 1;
        for position in 0..programs.len() {
            // Another program begins each round, so that none always has the warmer machine.
            let index = (position + round as usize) % programs.len();
            let report = play(&scenario, &Programs::beside(&programs[index]))?;
            series[index].add(report.figures);
        }
    }
    Ok(series)
}

fn column(series: &FigureSeries, name: &str) -> String {
    let values = series.sorted(name);
    let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
    let (median, last) = (values.len() / 2, values.len().max(1) - 1);
    format!("{:>9.3} {:>9.3} {:>9.3}", at(0), at(median), at(last))
}
