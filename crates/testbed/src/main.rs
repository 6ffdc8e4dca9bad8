//! `kitefork-testbed`: see `docs/testbed.md`.

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use kitefork_testbed::cluster::{self, Programs, Report};
use kitefork_testbed::scenario::Scenario;
use kitefork_testbed::{scale, soak};

#[derive(Parser)]
#[command(about = "Plays scenarios with many processes of the node, and judges them")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario; exit code 1 if a rule is broken or an expectation does not hold.
    Run {
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
    },
    /// Plays a scenario with two programs in turn, and prints min, median and max of each figure.
    Compare {
        file: PathBuf,
        #[arg(long)]
        program: Vec<PathBuf>,
        #[arg(long, default_value_t = 5)]
        rounds: u64,
        #[arg(long)]
        nodes: Option<usize>,
    },
    /// Plays one node with a short and with a long list of backends, and holds the acceptance's
    /// allowances; exit code 1 if one is passed.
    Scale {
        /// The program that the node runs.
        #[arg(long, default_value = "target/release/kitefork")]
        program: PathBuf,
        /// Plays of each size; the median of each figure counts.
        #[arg(long, default_value_t = 3)]
        rounds: u64,
    },
    /// Plays seeds of overlapping troubles over many processes; a seed that fails is shrunk.
    Soak {
        /// First seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Seeds.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Processes of the node.
        #[arg(long, default_value_t = 24)]
        nodes: usize,
        /// Seconds in which nothing happens, before the traffic and the troubles.
        #[arg(long, default_value_t = 0.0)]
        quiet: f64,
        /// Leaves a seed that fails as it is.
        #[arg(long)]
        no_shrink: bool,
        /// The program that nodes run; the fault shim lies beside it.
        #[arg(long, default_value = "target/release/kitefork")]
        program: PathBuf,
    },
    /// Lists the scenarios of a folder.
    List {
        #[arg(default_value = "scenarios")]
        folder: PathBuf,
    },
    /// Says what a scenario does, without playing it.
    Explain { file: PathBuf },
}

fn read(file: &Path, nodes: Option<usize>) -> Result<Scenario, String> {
    let text =
        std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let mut scenario =
        Scenario::parse(&text).map_err(|fault| format!("{}: {fault}", file.display()))?;
    if let Some(nodes) = nodes {
        let scale = nodes as f64 / scenario.fleet.nodes as f64;
        scenario.fleet.backends = (scenario.fleet.backends as f64 * scale).round() as usize;
        scenario.traffic.rate *= scale;
        scenario.fleet.nodes = nodes;
    }
    Ok(scenario)
}

fn play(scenario: &Scenario, programs: &Programs) -> Result<Report, String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let report = runtime.block_on(cluster::run(scenario, programs));
    report.map_err(|error| format!("{}: {error}", programs.node.display()))
}

fn write_file(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Stories that are printed of a seed that fails.
const MOST_VIOLATIONS: usize = 5;

fn run_soak(seeds: Range<u64>, options: soak::Options, program: &Path) -> Result<bool, String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let programs = Programs::beside(program);
    let mut failed = Vec::new();
    let count = seeds.clone().count();
    for seed in seeds {
        let verdict = runtime.block_on(soak::play(seed, options, &programs));
        let verdict = verdict.map_err(|error| format!("{}: {error}", program.display()))?;
        let report = &verdict.report;
        let word = if report.passed() { "passed" } else { "FAILED" };
        println!(
            "{word} {}; served {:.3}",
            verdict.plan, report.figures["served"]
        );
        if !report.passed() {
            for details in report
                .broken
                .iter()
                .chain(&report.panics)
                .take(MOST_VIOLATIONS)
            {
                println!("  {details}");
            }
            println!(
                "  {} stories; again: kitefork-testbed soak --from {seed} --seeds 1 --nodes {} --quiet {}",
                report.broken.len(),
                options.nodes,
                options.quiet_s
            );
            failed.push(seed);
        }
    }
    println!(
        "{} of {count} seeds passed; failed: {failed:?}",
        count - failed.len()
    );
    Ok(failed.is_empty())
}

fn run_scale(program: &Path, rounds: u64) -> Result<bool, String> {
    let mut medians = Vec::new();
    for backends in scale::SIZES {
        let mut found: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        for round in 0..rounds.max(1) {
            let report = play(
                &scale::scenario(backends, round + 1),
                &Programs::beside(program),
            )?;
            if let Some(details) = report.broken.first().or(report.panics.first()) {
                return Err(format!("{backends} backends: {details}"));
            }
            for (name, value) in report.figures {
                found.entry(name).or_default().push(value);
            }
        }
        let median = |mut values: Vec<f64>| {
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        medians.push(
            found
                .into_iter()
                .map(|(name, values)| (name, median(values)))
                .collect::<BTreeMap<_, _>>(),
        );
    }
    let rows = scale::compare(&medians[0], &medians[1]);
    println!(
        "{:<18} {:>10} {:>10} {:>10}",
        "figure",
        scale::SIZES[0],
        scale::SIZES[1],
        "bound"
    );
    for row in &rows {
        let verdict = if row.holds { "" } else { "  PASSED ITS BOUND" };
        println!(
            "{:<18} {:>10.3} {:>10.3} {:>10.3}{verdict}",
            row.figure, row.usual, row.longer, row.bound
        );
    }
    Ok(rows.iter().all(|row| row.holds))
}

fn print(report: &Report) {
    println!(" s  calls failed fresh  asked in-time refused attempts");
    for (s, row) in report.seconds.iter().enumerate() {
        println!(
            "{s:>2} {:>6} {:>6} {:>5} {:>6} {:>7} {:>7} {:>8}",
            row.calls, row.failed, row.fresh, row.asked, row.in_time, row.refused, row.attempts
        );
    }
    for (name, value) in &report.figures {
        println!("{name:<22} {value:.4}");
    }
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Run {
            file,
            program,
            nodes,
            seed,
            json,
            logs,
        } => {
            let mut scenario = read(&file, nodes)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            let programs = Programs {
                trace: logs.is_some(),
                ..Programs::beside(&program)
            };
            let report = play(&scenario, &programs)?;
            print(&report);
            if let Some(path) = json {
                let text =
                    serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
                write_file(&path, &text)?;
            }
            if let Some(path) = logs {
                write_file(&path, &report.logs.join("\n"))?;
            }
            for details in report
                .broken
                .iter()
                .take(10)
                .chain(&report.unmet)
                .chain(&report.panics)
            {
                println!("FAILED {details}");
            }
            if !report.passed() {
                println!(
                    "again: kitefork-testbed run {} --seed {}",
                    file.display(),
                    scenario.seed
                );
            }
            Ok(report.passed())
        }
        Command::Compare {
            file,
            program,
            rounds,
            nodes,
        } => {
            let mut scenario = read(&file, nodes)?;
            let mut found: Vec<BTreeMap<String, Vec<f64>>> = vec![BTreeMap::new(); program.len()];
            for round in 0..rounds {
                scenario.seed += 1;
                for iteration in 0..program.len() {
                    // In turn first and second, so that neither always has the warmer machine.
                    let place = (iteration + round as usize) % program.len();
                    for (name, value) in
                        play(&scenario, &Programs::beside(&program[place]))?.figures
                    {
                        found[place].entry(name).or_default().push(value);
                    }
                }
            }
            println!(
                "{:<22} min, median, max of {rounds} for each program in the order given",
                "figure"
            );
            for name in found
                .first()
                .map(|first| first.keys())
                .into_iter()
                .flatten()
            {
                let columns = found.iter().map(|figures| {
                    let mut values = figures.get(name).cloned().unwrap_or_default();
                    values.sort_by(f64::total_cmp);
                    let at = |place: usize| values.get(place).copied().unwrap_or(f64::NAN);
                    format!(
                        "{:>9.3} {:>9.3} {:>9.3}",
                        at(0),
                        at(values.len() / 2),
                        at(values.len().max(1) - 1)
                    )
                });
                println!("{name:<22} {}", columns.collect::<Vec<_>>().join("  |"));
            }
            Ok(true)
        }
        Command::Soak {
            from,
            seeds,
            nodes,
            quiet,
            no_shrink,
            program,
        } => {
            let options = soak::Options {
                nodes,
                quiet_s: quiet,
                shrink: !no_shrink,
            };
            run_soak(from..from + seeds, options, &program)
        }
        Command::Scale { program, rounds } => run_scale(&program, rounds),
        Command::List { folder } => {
            let listed = std::fs::read_dir(&folder)
                .map_err(|error| format!("{}: {error}", folder.display()))?;
            let mut files: Vec<PathBuf> = listed
                .filter_map(|entry| Some(entry.ok()?.path()))
                .collect();
            files.retain(|file| file.extension().is_some_and(|end| end == "toml"));
            files.sort();
            for file in files {
                println!("{:<40} {}", file.display(), read(&file, None)?.about);
            }
            Ok(true)
        }
        Command::Explain { file } => {
            let scenario = read(&file, None)?;
            let fleet = &scenario.fleet;
            println!("{}", scenario.about);
            println!(
                "{} nodes, {} backends, {} zones",
                fleet.nodes, fleet.backends, fleet.zones
            );
            println!(
                "{} requests a second; {:.1} s",
                scenario.traffic.rate, scenario.length_s
            );
            for step in &scenario.at {
                println!(
                    "{:>7.2} s  {:?}, part {:?}, over {} s",
                    step.s, step.action, step.part, step.over_s
                );
            }
            for expect in &scenario.expect {
                println!(
                    "expect {}: least {:?}, most {:?}",
                    expect.figure, expect.least, expect.most
                );
            }
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("kitefork-testbed: {why}");
            ExitCode::from(2)
        }
    }
}
