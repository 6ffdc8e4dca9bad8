//! Membership: what lists tell of backends, and when to ask again.

use super::*;

impl Balancer {
    pub(super) fn on_list(
        &mut self,
        now: Nanos,
        kind: UpdateKind,
        backends: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if kind != UpdateKind::Cached {
            self.ask_failures = 0;
        }
        let named: Vec<BackendId> = if kind == UpdateKind::Delta {
            backends.iter().map(|b| b.id).collect()
        } else {
            self.servers
                .keys()
                .copied()
                .chain(backends.iter().map(|b| b.id))
                .collect()
        };
        let state = |servers: &BTreeMap<BackendId, Server>, id: &BackendId| {
            servers.get(id).map(|server| server.entry.state)
        };
        let before: Vec<Option<EndpointState>> =
            named.iter().map(|id| state(&self.servers, id)).collect();
        if kind != UpdateKind::Delta {
            let listed: BTreeSet<BackendId> = backends.iter().map(|b| b.id).collect();
            for server in self
                .servers
                .values_mut()
                .filter(|s| !listed.contains(&s.entry.id))
            {
                server.entry.state = EndpointState::Removed;
            }
        }
        for entry in backends {
            self.take_entry(now, entry);
        }
        for (id, before) in named.iter().zip(before) {
            let after = state(&self.servers, id);
            if after != before && after.is_some_and(|state| state != EndpointState::Ready) {
                self.let_go(now, *id, actions);
            }
        }
        self.forget_gone(&named);
        self.parts_stale = true;
        if self.ready().next().is_none() {
            actions.push(Action::Log(LogEvent::NoBackendReady));
        }
        self.stale = true;
    }

    /// Takes what a list says of one backend.
    fn take_entry(&mut self, now: Nanos, entry: Endpoint) {
        let cold_credit = unit(&mut self.rng);
        let room = self.first_room();
        let fresh = Server {
            entry: entry.clone(),
            joined: now,
            ratio: 1.0,
            room,
            cold_credit,
            ..Server::default()
        };
        let server = self
            .servers
            .entry(entry.id)
            .or_insert_with(|| fresh.clone());
        if entry.started_at > server.entry.started_at {
            // A new process: what was learned of the old one says nothing, but what is out will
            // end.
            let (out, out_sent) = (server.out, server.out_sent);
            *server = Server {
                out,
                out_sent,
                ..fresh
            };
        }
        server.entry = entry;
    }

    /// Forgets backends that are gone and have nothing out, of these and of those that had when
    /// they went.
    fn forget_gone(&mut self, named: &[BackendId]) {
        self.lingering.extend(named);
        let servers = &mut self.servers;
        self.lingering.retain(|id| {
            let gone = servers
                .get(id)
                .is_some_and(|s| s.entry.state == EndpointState::Removed);
            let over = gone && servers.get(id).is_some_and(|s| s.out <= 0.0);
            if over {
                servers.remove(id);
            }
            gone && !over
        });
    }

    /// Rule on drains where connections must close: at the notice and after each outcome there, and
    /// again within the stated time for a connection that was not idle yet. Only these need a late
    /// timer.
    pub(super) fn let_go(&mut self, now: Nanos, id: BackendId, actions: &mut Vec<Action>) {
        if let Some(within) = self.settings.rules.drain_close_within {
            actions.push(Action::CloseIdleConnections { backend: id });
            self.agenda
                .schedule(now.saturating_add(within / 2), Task::Close(id));
        }
    }

    /// Asks again after a jittered backoff, so that many proxies don't come in step; the list held
    /// stays.
    pub(super) fn on_list_failed(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !self.settings.poll_endpoints {
            return;
        }
        let first = self.settings.rules.poll_interval / 20;
        // The jitter below takes it to 1.5 times this at most.
        let wait = first
            .saturating_mul(1 << self.ask_failures.min(3))
            .min(LONGEST_BACKOFF / 3 * 2);
        let wait = ((wait as f64 * (0.5 + unit(&mut self.rng))) as Nanos)
            .saturating_add(self.settings.tick);
        self.ask_failures = self.ask_failures.saturating_add(1);
        self.agenda.schedule(now.saturating_add(wait), Task::Ask);
        if self.ask_failures == 1 {
            actions.push(Action::Log(LogEvent::DiscoveryUnreachable));
        }
    }
}
