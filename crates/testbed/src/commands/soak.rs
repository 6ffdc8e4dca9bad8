//! `soak`: plays seeds and prints those that fail.

use kitefork_testbed::cluster::Programs;
use kitefork_testbed::soak::{self, Options};

use super::{CommandError, Verdict, new_runtime};
use crate::SoakArguments;

/// Violations and panics that are printed of a seed that fails.
const MAX_VIOLATIONS: usize = 5;

/// Carries the command out.
pub fn run(arguments: &SoakArguments) -> Result<Verdict, CommandError> {
    let runtime = new_runtime()?;
    let programs = Programs::beside(&arguments.program);
    let options = Options {
        nodes: arguments.nodes,
        quiet_s: arguments.quiet,
        shrink: !arguments.no_shrink,
    };
    let mut failed = Vec::new();
    for seed in arguments.from..arguments.from + arguments.seeds {
        let verdict = runtime.block_on(soak::play(seed, options, &programs));
        let verdict = verdict.map_err(CommandError::of_program(&arguments.program))?;
        print_verdict(&verdict);
        if !verdict.report.passed() {
            print_failures(&verdict, seed, &options);
            failed.push(seed);
        }
    }
    let passed = arguments.seeds - failed.len() as u64;
    println!(
        "{passed} of {} seeds passed; failed: {failed:?}",
        arguments.seeds
    );
    Ok(failed.is_empty().into())
}

fn print_verdict(verdict: &soak::Verdict) {
    let passed = verdict.report.passed();
    let word = if passed { "passed" } else { "FAILED" };
    let served = verdict.report.figures["served"];
    println!("{word} {}; served {served:.3}", verdict.plan);
}

fn print_failures(verdict: &soak::Verdict, seed: u64, options: &Options) {
    let report = &verdict.report;
    let violations = report.violations.iter().map(ToString::to_string);
    let lines = violations.chain(report.panics.iter().cloned());
    for line in lines.take(MAX_VIOLATIONS) {
        println!("  {line}");
    }
    let count = report.violations.len();
    let again = format!("kitefork-testbed soak --from {seed} --seeds 1");
    let Options { nodes, quiet_s, .. } = options;
    println!("  {count} violations; again: {again} --nodes {nodes} --quiet {quiet_s}");
}
