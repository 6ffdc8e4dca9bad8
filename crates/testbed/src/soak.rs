//! The soak: a seed draws a fleet, its settings and some faults that overlap in time; the referee
//! judges. A seed that fails is played again with fewer faults, to find those that it takes.

mod fault;
mod plan;

use std::io;

pub use fault::{FaultKind, PlannedFault};
pub use plan::{Plan, draw_plan};

use crate::cluster::{Programs, run};
use crate::report::Report;

/// The result of a seed.
#[derive(Debug)]
pub struct SeedResult {
    /// The smallest plan that still fails, or the full one where none does.
    pub plan: Plan,
    /// Its report.
    pub report: Report,
}

/// How seeds are played.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Processes of the node.
    pub nodes: usize,
    /// Seconds before the traffic and the faults in which nothing happens.
    pub quiet_s: f64,
    /// A seed that fails is played again with fewer faults.
    pub shrink: bool,
}

/// Plays a seed; one that fails is played again with one fault less, as long as it still fails.
///
/// # Errors
///
/// If a stand-in or a process can't be started.
pub async fn run_seed(seed: u64, options: Options, programs: &Programs) -> io::Result<SeedResult> {
    let plan = Plan {
        quiet_s: options.quiet_s,
        ..draw_plan(seed, options.nodes)
    };
    let report = run(&plan.scenario(), programs).await?;
    let mut result = SeedResult { plan, report };
    if result.report.passed() || !options.shrink {
        return Ok(result);
    }
    while let Some(smaller_failure) = drop_one_fault(&result.plan, programs).await? {
        result = smaller_failure;
    }
    Ok(result)
}

/// The first plan with one fault less that still fails.
async fn drop_one_fault(plan: &Plan, programs: &Programs) -> io::Result<Option<SeedResult>> {
    for index in 0..plan.faults.len() {
        let plan = plan.without_fault(index);
        let report = run(&plan.scenario(), programs).await?;
        if !report.passed() {
            return Ok(Some(SeedResult { plan, report }));
        }
    }
    Ok(None)
}
