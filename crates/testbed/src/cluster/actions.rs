//! Applies the actions of a scenario to nodes, discovery and backends.

use std::io;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use kitefork_standin::backend::{Backend, BackendMode};
use kitefork_standin::discovery::{Endpoint, EndpointState, Mode};
use kitefork_standin::link::{LinkState, WriteBehaviour};
use kitefork_standin::locked;
use rustix::process::Signal;
use tokio::net::TcpStream;

use super::Cluster;
use super::timeline::Event;
use crate::referee::{BackendCut, BackendStart, Pause};
use crate::scenario::{Action, Target};

/// Time that a resumed node is given to process what arrived while it was stopped.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);
/// Time for which a crowd of idle clients stays connected.
const CROWD_DURATION: Duration = Duration::from_secs(2);
/// Time after which a draining or dead backend is removed from the list.
const REMOVAL_DELAY: Duration = Duration::from_secs(1);

impl Cluster {
    /// Applies the action of an event to a node, to discovery or to a backend.
    pub(super) fn apply(self: &Arc<Self>, event: &Event) -> io::Result<()> {
        match event.action.target() {
            Target::Nodes => self.apply_to_node(event.action, event.number),
            Target::Discovery => {
                self.apply_to_discovery(event.action);
                Ok(())
            }
            Target::Backends => {
                self.apply_to_backend(event);
                Ok(())
            }
        }
    }

    fn apply_to_node(&self, action: Action, number: usize) -> io::Result<()> {
        match action {
            Action::Start => self.start_node(number)?,
            Action::Kill => self.terminate_node(number, Signal::KILL)?,
            Action::Term => self.terminate_node(number, Signal::TERM)?,
            Action::Stop => self.pause_node(number),
            Action::Cont => self.resume_node(number),
            Action::Reload => {
                // Replaces a file that an earlier step may have truncated or removed.
                self.write_config_with_current_list(number)?;
                self.signal(number, Signal::HUP);
            }
            Action::ReloadHalf => {
                let config = self.node_config(number, &[]);
                self.config_file(number).write_truncated(&config)?;
                self.signal(number, Signal::HUP);
            }
            Action::ReloadMissing => {
                // An earlier step may have removed the file already.
                let _ = self.config_file(number).remove();
                self.signal(number, Signal::HUP);
            }
            Action::Crowd => self.crowd_node(number),
            Action::DiscoveryCut => self.discovery_links[number].set_state(LinkState::Cut),
            _ => unreachable!("{action:?} is not an action on nodes"),
        }
        Ok(())
    }

    fn signal(&self, number: usize, signal: Signal) {
        locked(&self.nodes[number]).signal(signal, self.clock);
    }

    fn start_node(&self, number: usize) -> io::Result<()> {
        let mut node = locked(&self.nodes[number]);
        node.reap(self.clock);
        node.start(&self.process_settings, self.clock)
    }

    /// Sends a node the signal that ends its process. Before that, writes the current endpoint list
    /// into the node's configuration, with which the next incarnation starts.
    fn terminate_node(&self, number: usize, signal: Signal) -> io::Result<()> {
        self.write_config_with_current_list(number)?;
        self.signal(number, signal);
        Ok(())
    }

    fn write_config_with_current_list(&self, number: usize) -> io::Result<()> {
        let config = self.node_config(number, &self.discovery.endpoints());
        self.write_config(number, config)
    }

    /// Opens connections to a node, sends nothing on them and closes them after [`CROWD_DURATION`].
    fn crowd_node(&self, number: usize) {
        let Some(address) = locked(&self.nodes[number]).address() else {
            return;
        };
        let count = self.scenario.fleet.sockets;
        tokio::spawn(async move {
            let mut connections = Vec::new();
            for _ in 0..count {
                connections.extend(TcpStream::connect(address).await);
            }
            tokio::time::sleep(CROWD_DURATION).await;
        });
    }

    fn pause_node(&self, number: usize) {
        self.signal(number, Signal::STOP);
        locked(&self.pauses).push(Pause {
            node: number,
            from: self.clock.now(),
            until: Duration::MAX,
        });
    }

    fn resume_node(&self, number: usize) {
        self.signal(number, Signal::CONT);
        let until = self.clock.now() + CATCH_UP_TIME;
        let mut pauses = locked(&self.pauses);
        let is_open = |pause: &&mut Pause| pause.node == number && pause.until == Duration::MAX;
        for pause in pauses.iter_mut().filter(is_open) {
            pause.until = until;
        }
    }

    fn apply_to_discovery(&self, action: Action) {
        let all_links = || self.discovery_links.iter();
        match action {
            Action::DiscoveryUp => {
                self.discovery.set_mode(Mode::Up);
                all_links().for_each(|link| link.set_state(LinkState::Healthy));
            }
            Action::DiscoveryOverloaded => self.discovery.set_mode(Mode::Overloaded),
            Action::DiscoverySilent => self.discovery.set_mode(Mode::Silent),
            Action::DiscoveryTruncates => self.discovery.set_mode(Mode::Truncates),
            Action::DiscoveryDown => all_links().for_each(|link| {
                link.set_state(LinkState::Refused);
                link.reset();
            }),
            Action::DiscoveryRestart => {
                self.discovery.restart();
                all_links().for_each(|link| link.reset());
            }
            _ => unreachable!("{action:?} is not an action on discovery"),
        }
    }

    fn apply_to_backend(self: &Arc<Self>, event: &Event) {
        let backend = &self.backends[event.number];
        let link = &backend.link;
        match event.action {
            Action::Drain => {
                self.set_listed_state(event.number, EndpointState::Draining);
                self.schedule_removal(event.number);
            }
            Action::BackendKill => {
                self.set_link_state(backend, LinkState::Refused);
                link.reset();
                self.schedule_removal(event.number);
            }
            Action::BackendStart => self.start_backend(event.number, backend),
            Action::BackendSilent => backend.set_mode(BackendMode::Silent),
            Action::BackendFails => backend.set_mode(BackendMode::Fails),
            Action::BackendWorks => {
                backend.set_mode(BackendMode::Serves(event.size));
                self.set_link_state(backend, LinkState::Healthy);
                link.set_write_behaviour(WriteBehaviour::Unchanged);
            }
            Action::AnswerTwiceLate => link.set_write_behaviour(WriteBehaviour::DuplicatedLate),
            Action::AnswerTwice => link.set_write_behaviour(WriteBehaviour::Duplicated),
            Action::AnswerInPieces => link.set_write_behaviour(WriteBehaviour::InPieces),
            Action::AnswerShortLengths => link.set_write_behaviour(WriteBehaviour::ShortLengths),
            Action::BackendCut => self.set_link_state(backend, LinkState::Cut),
            Action::BackendCutOut => self.set_link_state(backend, LinkState::OutboundCut),
            Action::BackendReset => link.reset(),
            action => unreachable!("{action:?} is not an action on backends"),
        }
    }

    /// Sets the state of the link to a backend, and records the start and the end of a cut.
    fn set_link_state(&self, backend: &Backend, state: LinkState) {
        let now = self.clock.now();
        let mut cuts = locked(&self.backend_cuts);
        let is_open = |cut: &&mut BackendCut| cut.uid == backend.uid && cut.until == Duration::MAX;
        for cut in cuts.iter_mut().filter(is_open) {
            cut.until = now;
        }
        if state == LinkState::Cut {
            cuts.push(BackendCut {
                uid: backend.uid.clone(),
                from: now,
                until: Duration::MAX,
            });
        }
        backend.link.set_state(state);
    }

    fn set_listed_state(&self, number: usize, state: EndpointState) {
        self.discovery.publish_change(Endpoint {
            state,
            ..self.endpoints[number].clone()
        });
    }

    fn schedule_removal(self: &Arc<Self>, number: usize) {
        let cluster = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(REMOVAL_DELAY).await;
            cluster.set_listed_state(number, EndpointState::Removed);
        });
    }

    fn start_backend(&self, number: usize, backend: &Backend) {
        backend.restart();
        self.set_link_state(backend, LinkState::Healthy);
        locked(&self.backend_starts).push(BackendStart {
            uid: backend.uid.clone(),
            at: self.clock.now(),
        });
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        self.discovery.publish_change(Endpoint {
            boot_ms: since_epoch.unwrap_or_default().as_millis() as u64,
            ..self.endpoints[number].clone()
        });
    }
}
