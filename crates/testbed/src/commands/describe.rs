//! `list` and `explain`: print the contents of scenarios without running them.

use std::path::{Path, PathBuf};

use kitefork_testbed::scenario::Scenario;

use super::{CommandError, Verdict, read_scenario};

/// Prints the scenario files of a folder, sorted by path, with their descriptions.
pub fn list(folder: &Path) -> Result<Verdict, CommandError> {
    let entries = std::fs::read_dir(folder).map_err(CommandError::for_file(folder))?;
    let mut files: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    files.retain(|file| {
        file.extension()
            .is_some_and(|extension| extension == "toml")
    });
    files.sort();
    for file in files {
        let about = read_scenario(&file, None)?.about;
        println!("{:<40} {about}", file.display());
    }
    Ok(Verdict::Passed)
}

/// Prints the fleet, the steps and the expectations of a scenario.
pub fn explain(file: &Path) -> Result<Verdict, CommandError> {
    let scenario = read_scenario(file, None)?;
    print_cluster(&scenario);
    for step in &scenario.at {
        println!(
            "{:>7.2} s  {:?}, part {:?}, over {} s",
            step.at_s, step.action, step.part, step.over_s
        );
    }
    for expect in &scenario.expect {
        println!(
            "expect {}: least {:?}, most {:?}",
            expect.figure, expect.least, expect.most
        );
    }
    Ok(Verdict::Passed)
}

fn print_cluster(scenario: &Scenario) {
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
}
