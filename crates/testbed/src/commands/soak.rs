//! `soak`: runs a range of seeds and prints the result of each.

use kitefork_testbed::cluster::Programs;
use kitefork_testbed::soak::{self, Options};

use super::{CommandError, Verdict, new_runtime};
use crate::SoakArguments;

/// Maximum number of violations and panics that are printed for a seed that fails.
const MAX_VIOLATIONS: usize = 5;

/// Runs the seeds one after the other and prints their results. The verdict is [`Verdict::Failed`]
/// if a seed fails.
pub fn run(arguments: &SoakArguments) -> Result<Verdict, CommandError> {
    let runtime = new_runtime()?;
    let programs = Programs::with_adjacent_shim(&arguments.program);
    let options = Options {
        nodes: arguments.nodes,
        quiet_s: arguments.quiet,
        shrink: !arguments.no_shrink,
    };
    let mut failed_seeds = Vec::new();
    for seed in arguments.from..arguments.from + arguments.seeds {
        let result = runtime.block_on(soak::run_seed(seed, options, &programs));
        let result = result.map_err(CommandError::for_program(&arguments.program))?;
        print_verdict(&result);
        if !result.report.passed() {
            print_failures(&result, seed, &options);
            failed_seeds.push(seed);
        }
    }
    let passed = arguments.seeds - failed_seeds.len() as u64;
    println!(
        "{passed} of {} seeds passed; failed: {failed_seeds:?}",
        arguments.seeds
    );
    Ok(failed_seeds.is_empty().into())
}

fn print_verdict(result: &soak::SeedResult) {
    let passed = result.report.passed();
    let status = if passed { "passed" } else { "FAILED" };
    let served = result.report.figures["served"];
    println!("{status} {}; served {served:.3}", result.plan);
}

fn print_failures(result: &soak::SeedResult, seed: u64, options: &Options) {
    let report = &result.report;
    let violations = report.violations.iter().map(ToString::to_string);
    let lines = violations.chain(report.panics.iter().cloned());
    for line in lines.take(MAX_VIOLATIONS) {
        println!("  {line}");
    }
    let count = report.violations.len();
    let command = format!("kitefork-testbed soak --from {seed} --seeds 1");
    let Options { nodes, quiet_s, .. } = options;
    println!("  {count} violations; to repeat: {command} --nodes {nodes} --quiet {quiet_s}");
}
