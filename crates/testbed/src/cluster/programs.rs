//! Paths of the program under test and of the fault shim, and the environment of the processes.

use std::path::{Path, PathBuf};

use crate::node::ProcessSettings;
use crate::scenario::Scenario;

/// Program and fault shim that a run uses, and whether the nodes write traces.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of the program that the nodes run.
    pub node: PathBuf,
    /// Path of the fault shim, which is preloaded if the scenario has a plan for it.
    pub shim: PathBuf,
    /// Whether the nodes trace each event and decision.
    pub trace: bool,
}

impl Programs {
    /// The program at this path, and the shim in the same folder, where cargo puts it.
    pub fn with_adjacent_shim(node: &Path) -> Programs {
        Programs {
            node: node.to_path_buf(),
            shim: node.with_file_name("libkitefork_fault_shim.so"),
            trace: false,
        }
    }

    /// Settings for starting the nodes of a scenario.
    pub(super) fn process_settings(&self, scenario: &Scenario) -> ProcessSettings {
        let fleet = &scenario.fleet;
        let mut variables = Vec::new();
        let mut set = |name: &str, value: String| variables.push((name.to_string(), value));
        if !fleet.faults.is_empty() {
            set("LD_PRELOAD", self.shim.display().to_string());
            set("KITEFORK_FAULTS", fleet.faults.clone());
            set("KITEFORK_FAULT_SEED", scenario.seed.to_string());
        }
        if fleet.log_unread || self.trace {
            set("BALANCER_TRACE", "1".into());
        }
        ProcessSettings {
            program: self.node.clone(),
            variables,
            log_unread: fleet.log_unread,
        }
    }
}
