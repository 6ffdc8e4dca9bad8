//! What the processes of the nodes use.

use std::collections::BTreeMap;

use kitefork_standin::locked;

use super::Cluster;

/// Resources that the processes of a run have used.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    /// The most memory that a process of a node had, in MB, by number of the node.
    pub max_memory_mb: BTreeMap<usize, f64>,
    /// Seconds of a core that the latest process of a node has used, by number of the node.
    pub cpu_s: BTreeMap<usize, f64>,
    /// The most descriptors that a process held.
    pub max_descriptors: usize,
}

impl Cluster {
    /// Notes what processes use, and which have ended.
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
