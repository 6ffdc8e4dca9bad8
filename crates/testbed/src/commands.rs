//! The commands of the program, and what they share.

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

/// Whether what a command was to hold holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It holds.
    Passed,
    /// It does not.
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

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file or folder can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// Its path.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file is no scenario.
    #[error("{path}: {source}")]
    Scenario {
        /// Its path.
        path: PathBuf,
        /// What is wrong with it.
        source: ScenarioError,
    },
    /// The runtime of the stand-ins can't be started.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// A stand-in or a process of the program can't be started.
    #[error("{program}: {source}")]
    Program {
        /// The program.
        program: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The report can't be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A play whose figures are compared had a violation or a panic.
    #[error("{backends} backends: {violation}")]
    FailedRun {
        /// Backends of the play.
        backends: usize,
        /// The first violation or panic.
        violation: String,
    },
}

impl CommandError {
    /// For `map_err`: the error with the file that it is about.
    fn for_file(path: &Path) -> impl FnOnce(io::Error) -> CommandError {
        let path = path.to_path_buf();
        |source| CommandError::File { path, source }
    }

    /// For `map_err`: the error with the program that it is about.
    fn for_program(program: &Path) -> impl FnOnce(io::Error) -> CommandError {
        let program = program.to_path_buf();
        |source| CommandError::Program { program, source }
    }
}

/// Reads a scenario; another number of nodes takes backends and traffic with it.
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

/// The values that each figure had in several plays.
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

    /// The values of a figure in order; none if it was not counted.
    fn sorted(&self, name: &str) -> Vec<f64> {
        let mut values = self.0.get(name).cloned().unwrap_or_default();
        values.sort_by(f64::total_cmp);
        values
    }
}
