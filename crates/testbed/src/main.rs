//! Command line of `kitefork-testbed`. `docs/testbed.md` describes the commands.

mod commands;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

use commands::{CommandError, Verdict};

/// Exit code if a rule is broken, or an expectation or bound is not met.
const EXIT_FAILED: u8 = 1;
/// Exit code if a file or a program can't be used, or a run for a comparison fails.
const EXIT_ERROR: u8 = 2;

#[derive(Parser)]
#[command(about = "Runs test scenarios with many processes of the node and checks the results")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario; the exit code is 1 if a rule is broken or an expectation is not met.
    Run(RunArguments),
    /// Runs a scenario with several programs in alternation, and prints the minimum, median and
    /// maximum of each figure.
    Compare(CompareArguments),
    /// Runs one node with a short and with a long list of backends, and checks the required bounds
    /// on its resource usage; the exit code is 1 if a bound is not met.
    Scale(ScaleArguments),
    /// Runs seeds that each inject several faults into a fleet of nodes; a seed that fails is run
    /// again with fewer faults.
    Soak(SoakArguments),
    /// Lists the scenarios of a folder with their descriptions.
    List {
        /// Folder with the scenario files.
        #[arg(default_value = "scenarios")]
        folder: PathBuf,
    },
    /// Prints what a scenario does and expects, without running it.
    Explain {
        /// Path of the scenario file.
        file: PathBuf,
    },
}

#[derive(Args)]
struct RunArguments {
    /// Path of the scenario file.
    file: PathBuf,
    /// Path of the program that the nodes run.
    #[arg(long, default_value = "target/release/kitefork")]
    program: PathBuf,
    /// Number of nodes instead of the scenario's; backends and request rate scale in proportion.
    #[arg(long)]
    nodes: Option<usize>,
    /// Seed instead of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Path of a file to which the report is written as JSON, without the logs.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Path of a file to which the logs of all nodes are written, with a trace of each event and
    /// decision.
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[derive(Args)]
struct CompareArguments {
    /// Path of the scenario file.
    file: PathBuf,
    /// Path of a program that the nodes run; the option can be given several times.
    #[arg(long)]
    program: Vec<PathBuf>,
    /// Number of runs of each program.
    #[arg(long, default_value_t = 5)]
    rounds: u64,
    /// Number of nodes instead of the scenario's; backends and request rate scale in proportion.
    #[arg(long)]
    nodes: Option<usize>,
}

#[derive(Args)]
struct ScaleArguments {
    /// Path of the program that the node runs.
    #[arg(long, default_value = "target/release/kitefork")]
    program: PathBuf,
    /// Number of runs with each list; the median of each figure is checked.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
}

#[derive(Args)]
struct SoakArguments {
    /// First seed to run.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Number of nodes in the fleet.
    #[arg(long, default_value_t = 24)]
    nodes: usize,
    /// Seconds of idle time before the traffic and the faults start.
    #[arg(long, default_value_t = 0.0)]
    quiet: f64,
    /// Skips the runs with fewer faults after a seed has failed.
    #[arg(long)]
    no_shrink: bool,
    /// Path of the program that the nodes run; the fault shim is expected in the same folder.
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
