//! Samples memory, CPU time and open descriptors of the node processes.

use std::collections::BTreeMap;

use kitefork_standin::locked;

use super::Cluster;

/// Resource usage of the node processes in a run.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    /// Maximum resident memory of a node's processes, in MiB, by node number.
    pub max_memory_mb: BTreeMap<usize, f64>,
    /// CPU time of the latest process of a node, in seconds, by node number.
    pub cpu_s: BTreeMap<usize, f64>,
    /// Maximum number of descriptors that a process had open in a sample.
    pub max_descriptors: usize,
}

impl Cluster {
    /// Samples the resource usage of the running processes, and records which processes have ended.
    pub(super) fn sample_usage(&self) {
        for node in &self.nodes {
            let mut node = locked(node);
            node.reap(self.clock);
            let mut usage = locked(&self.usage);
            if let Some(memory_mb) = node.peak_memory_mb() {
                let max = usage.max_memory_mb.entry(node.number).or_default();
                *max = memory_mb.max(*max);
            }
            if let Some(count) = node.open_descriptors() {
                usage.max_descriptors = count.max(usage.max_descriptors);
            }
            if let Some(cpu_s) = node.cpu_seconds() {
                usage.cpu_s.insert(node.number, cpu_s);
            }
        }
    }
}
