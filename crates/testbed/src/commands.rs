//! The commands of the program, and the code that they share.

pub mod compare;
pub mod describe;
pub mod run;
pub mod scale;
pub mod soak;

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use kitefork_testbed::cluster::{self, Programs};
use kitefork_testbed::report::Report;
use kitefork_testbed::scenario::{Scenario, ScenarioError};
use thiserror::Error;
use tokio::runtime::Runtime;

/// Result of the checks of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All checks passed, or the command has none.
    Passed,
    /// A rule, an expectation or a bound does not hold.
    Failed,
}

impl From<bool> for Verdict {
    fn from(passed: bool) -> Verdict {
        if passed {
            Verdict::Passed
        } else {
            Verdict::Failed
        }
    }
}

/// Reason why a command could not be completed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file or folder can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file or folder that can't be read or written.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is not a valid scenario.
    #[error("{path}: {source}")]
    Scenario {
        /// Path of the file that was parsed.
        path: PathBuf,
        /// Syntax error, or value out of its bounds.
        source: ScenarioError,
    },
    /// The asynchronous runtime of the stand-ins can't be started.
    #[error("can't start the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A stand-in or a node can't be started, or a node's configuration can't be written.
    #[error("{program}: {source}")]
    Program {
        /// Path of the program that the nodes run, also if the error is not about the program.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The report can't be written as JSON.
    #[error("can't write the report as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A run whose figures were to be compared had a violation or a panic.
    #[error("{backends} backends: {violation}")]
    FailedRun {
        /// Number of backends in the run.
        backends: usize,
        /// Text of the first violation, or the first log line that reports a panic.
        violation: String,
    },
}

impl CommandError {
    /// Returns a function for `map_err` that adds the path of the file to an error.
    fn for_file(path: &Path) -> impl FnOnce(io::Error) -> CommandError {
        let path = path.to_path_buf();
        |source| CommandError::File { path, source }
    }

    /// Returns a function for `map_err` that adds the path of the program to an error.
    fn for_program(program: &Path) -> impl FnOnce(io::Error) -> CommandError {
        let program = program.to_path_buf();
        |source| CommandError::Program { program, source }
    }
}

/// Reads a scenario. If `nodes` is given, it replaces the number of nodes, and the number of
/// backends and the request rate are scaled in proportion.
fn read_scenario(file: &Path, nodes: Option<usize>) -> Result<Scenario, CommandError> {
    let text = std::fs::read_to_string(file).map_err(CommandError::for_file(file))?;
    let scenario = Scenario::parse(&text);
    let mut scenario = scenario.map_err(|source| CommandError::Scenario {
        path: file.to_path_buf(),
        source,
    })?;
    if let Some(nodes) = nodes {
        let scale = nodes as f64 / scenario.fleet.nodes as f64;
        scenario.fleet.backends = (scenario.fleet.backends as f64 * scale).round() as usize;
        scenario.traffic.rate *= scale;
        scenario.fleet.nodes = nodes;
    }
    Ok(scenario)
}

fn new_runtime() -> Result<Runtime, CommandError> {
    Runtime::new().map_err(CommandError::Runtime)
}

fn run_scenario(scenario: &Scenario, programs: &Programs) -> Result<Report, CommandError> {
    let report = new_runtime()?.block_on(cluster::run(scenario, programs));
    report.map_err(CommandError::for_program(&programs.node))
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(CommandError::for_file(path))
}

/// Values of each figure in several runs.
#[derive(Clone, Debug, Default)]
struct FigureSeries(BTreeMap<String, Vec<f64>>);

impl FigureSeries {
    fn add(&mut self, figures: BTreeMap<String, f64>) {
        for (name, value) in figures {
            self.0.entry(name).or_default().push(value);
        }
    }

    fn names(&self) -> impl Iterator<Item = &String> {
        self.0.keys()
    }

    /// Values of a figure in ascending order; empty if no run reported the figure.
    fn sorted(&self, name: &str) -> Vec<f64> {
        let mut values = self.0.get(name).cloned().unwrap_or_default();
        values.sort_by(f64::total_cmp);
        values
    }
}
