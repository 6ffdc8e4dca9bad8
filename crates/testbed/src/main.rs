//! `kitefork-testbed`: see `docs/testbed.md`.

mod commands;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

use commands::{CommandError, Verdict};

/// Exit code where a rule is broken or an expectation does not hold.
const EXIT_FAILED: u8 = 1;
/// Exit code where a file or a program can't be used.
const EXIT_ERROR: u8 = 2;

#[derive(Parser)]
#[command(about = "Plays scenarios with many processes of the node, and judges them")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario; exit code 1 if a rule is broken or an expectation does not hold.
    Run(RunArguments),
    /// Plays a scenario with two programs in turn, and prints min, median and max of each figure.
    Compare(CompareArguments),
    /// Plays one node with a short and with a long list of backends, and holds the acceptance's
    /// allowances; exit code 1 if one is exceeded.
    Scale(ScaleArguments),
    /// Plays seeds of overlapping faults over many processes; a seed that fails is shrunk.
    Soak(SoakArguments),
    /// Lists the scenarios of a folder.
    List {
        /// The folder.
        #[arg(default_value = "scenarios")]
        folder: PathBuf,
    },
    /// Says what a scenario does, without playing it.
    Explain {
        /// The scenario.
        file: PathBuf,
    },
}

#[derive(Args)]
struct RunArguments {
    /// The scenario.
    file: PathBuf,
    /// The program that nodes run.
    #[arg(long, default_value = "target/release/kitefork")]
    program: PathBuf,
    /// Another number of nodes; backends and traffic follow in proportion.
    #[arg(long)]
    nodes: Option<usize>,
    /// Another seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Writes the whole report there, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes the logs of all nodes there, with a trace of each event and decision.
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[derive(Args)]
struct CompareArguments {
    /// The scenario.
    file: PathBuf,
    /// A program that nodes run; may be given several times.
    #[arg(long)]
    program: Vec<PathBuf>,
    /// Plays of each program.
    #[arg(long, default_value_t = 5)]
    rounds: u64,
    /// Another number of nodes; backends and traffic follow in proportion.
    #[arg(long)]
    nodes: Option<usize>,
}

#[derive(Args)]
struct ScaleArguments {
    /// The program that the node runs.
    #[arg(long, default_value = "target/release/kitefork")]
    program: PathBuf,
    /// Plays of each size; the median of each figure counts.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
}

#[derive(Args)]
struct SoakArguments {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Processes of the node.
    #[arg(long, default_value_t = 24)]
    nodes: usize,
    /// Seconds in which nothing happens, before the traffic and the faults.
    #[arg(long, default_value_t = 0.0)]
    quiet: f64,
    /// Leaves a seed that fails as it is.
    #[arg(long)]
    no_shrink: bool,
    /// The program that nodes run; the fault shim lies beside it.
    #[arg(long, default_value = "target/release/kitefork")]
    program: PathBuf,
}

fn run(command: &Command) -> Result<Verdict, CommandError> {
    match command {
        Command::Run(arguments) => commands::run::run(arguments),
        Command::Compare(arguments) => commands::compare::run(arguments),
        Command::Scale(arguments) => commands::scale::run(arguments),
        Command::Soak(arguments) => commands::soak::run(arguments),
        Command::List { folder } => commands::describe::list(folder),
        Command::Explain { file } => commands::describe::explain(file),
    }
}

fn main() -> ExitCode {
    match run(&Arguments::parse().command) {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("kitefork-testbed: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
