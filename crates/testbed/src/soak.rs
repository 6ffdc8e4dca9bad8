//! Soak test: a seed draws a fleet, its settings and several faults that can overlap in time, and
//! the referee checks the run. A seed that fails is run again with fewer faults, to find the faults
//! without which the run passes.

mod fault;
mod plan;

use std::io;

pub use fault::{FaultKind, PlannedFault};
pub use plan::{Plan, draw_plan};

use crate::cluster::{Programs, run};
use crate::report::Report;

/// Result of running a seed.
#[derive(Debug)]
pub struct SeedResult {
    /// The full plan of the seed, or the smallest plan found that still fails.
    pub plan: Plan,
    /// Report of the run of `plan`.
    pub report: Report,
}

/// Options for running seeds.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of nodes in the fleet of each seed.
    pub nodes: usize,
    /// Seconds of idle time before the traffic and the faults start.
    pub quiet_s: f64,
    /// Whether a seed that fails is run again with fewer faults.
    pub shrink: bool,
}

/// Runs a seed. If the run fails and [`Options::shrink`] is set, removes one fault at a time for as
/// long as the run still fails.
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

/// Leaves out each fault of the plan in turn and runs the plan with the others. Returns the first
/// run that still fails, `None` if all pass.
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
