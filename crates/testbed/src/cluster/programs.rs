//! The program under test and what it is started with.

use std::path::{Path, PathBuf};

use crate::node::ProcessSettings;
use crate::scenario::Scenario;

/// The programs of a run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The node.
    pub node: PathBuf,
    /// The fault shim, for scenarios that have a plan of it.
    pub shim: PathBuf,
    /// The nodes trace each event and decision.
    pub trace: bool,
}

impl Programs {
    /// A program, and the shim where cargo puts it beside that.
    pub fn with_adjacent_shim(node: &Path) -> Programs {
        Programs {
            node: node.to_path_buf(),
            shim: node.with_file_name("libkitefork_fault_shim.so"),
            trace: false,
        }
    }

    /// How the nodes of a scenario are started.
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
