//! Attempts: from a request to its first attempt, retries, overdue attempts and the final answer.

use super::*;

impl Balancer {
    pub(super) fn on_request(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(usize::from(request.class.0)) else {
            actions.push(Action::Fail { request: id });
            return;
        };
        if self.open.contains_key(&id) {
            return;
        }
        let stretch = class.latency_objective_per_unit_of_work.max(0.0)
            * request.work_hint.unwrap_or(0) as f64;
        let span = class.latency_objective.saturating_add(stretch as Nanos);
        let deadline = now.saturating_add(request.client_timeout);
        let elapsed = self.elapsed(&request);
        let late = elapsed >= span;
        let aim = now
            .saturating_add(if late { span } else { span - elapsed })
            .min(deadline);
        let (rank, needs) = self.rank(&request, late);
        self.asked += 1.0;
        let (finished, streaming, attempts) = (false, false, Vec::new());
        let open = Open {
            request,
            deadline,
            aim,
            attempts,
            finished,
            streaming,
            rank,
            needs,
        };
        self.open.insert(id, open);
        self.waiting.insert((rank, id));
        self.agenda.schedule(self.give_up(id), Task::Look(id));
    }

    /// When a request that still waits can't be answered in time any more.
    fn give_up(&self, id: RequestId) -> Nanos {
        let open = &self.open[&id];
        let class = usize::from(open.request.class.0);
        // Where misses are counted apart, a refusal within the aim is none, and a late answer is
        // one.
        let late = self.settings.classes[class].late_priority_weight > 0.0
            && self.settings.tail_weight == 0.0;
        let end = if late { open.deadline } else { open.aim };
        // A refusal of what was never written to a backend costs nothing up to a part of its time.
        let unwritten =
            |a: &Attempt| matches!(a.outcome, Some(Outcome::ConnectFailed | Outcome::NotSent));
        let untried = (open.request.client_timeout as f64
            * (1.0 - self.settings.limits.never_attempted_fraction)) as Nanos;
        let end = if open.attempts.iter().all(unwritten) {
            end.min(open.deadline - untried)
        } else {
            end
        };
        let usual = (self.classes[class].all.lowest * SECOND) as Nanos;
        end.saturating_sub(
            usual.min(self.settings.classes[class].latency_objective / 2) + self.settings.tick,
        )
    }

    /// Sends an attempt if some backend is legal and has room; else the request waits.
    pub(super) fn attempt(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(backend) = self.draw(now, id) else {
            return false;
        };
        let server = self.servers.get_mut(&backend).expect("drawn from the list");
        self.out += 1.0;
        self.saved -= 1.0;
        server.out += 1.0;
        server.out_sent += now as f64 / SECOND;
        server.cold_credit = (server.cold_credit - 1.0).max(0.0);
        let (zone, cell) = (server.entry.zone, server.entry.cell);
        let open = self.open.get_mut(&id).expect("held");
        open.attempts.push(Attempt {
            backend,
            sent: now,
            zone,
            cell,
            outcome: None,
        });
        self.waiting.remove(&(open.rank, id));
        if open.attempts.len() == 1 {
            self.arrivals += 1.0;
            self.sends += 1.0;
            self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(10.0);
        }
        // An answer without worth is not waited for.
        let class = &self.settings.classes[usize::from(open.request.class.0)];
        let until = if class.late_priority_weight > 0.0 {
            open.deadline
        } else {
            open.aim
        };
        actions.push(Action::StartAttempt {
            request: id,
            backend,
            abandon_at: until,
        });
        self.agenda
            .schedule(now.saturating_add(self.overdue(id)), Task::Look(id));
        true
    }

    /// How long an attempt of a request may take before it looks lost.
    pub(super) fn overdue(&self, id: RequestId) -> Nanos {
        let open = &self.open[&id];
        let class = usize::from(open.request.class.0);
        let hint = open.request.work_hint.unwrap_or(0) as f64;
        let least = OVERDUE_AIM * self.settings.classes[class].latency_objective as f64;
        (OVERDUE * (self.classes[class].all.mean * SECOND + hint)).max(least) as Nanos
    }

    /// Calls off an attempt that looks lost, if another may go out in time. Guards against
    /// connections that fall silent, which cost a request all its time and hold room for as long,
    /// so one that can't be called off yet is looked at again. Harm: work is done twice where
    /// backends are only slow; the storm limit bounds it.
    fn call_off(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let (open, limits) = (&self.open[&id], &self.settings.limits);
        let class = usize::from(open.request.class.0);
        let Some((place, last)) = open.attempts.iter().enumerate().next_back() else {
            return;
        };
        let once = match self.settings.classes[class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::IdempotencyKey { window, .. } => open
                .may_have_run()
                .all(|a| now < a.sent.saturating_add(window)),
        };
        let more = limits.can_cancel && once && open.attempts.len() < limits.max_attempts as usize;
        if !more || now >= self.give_up(id) {
            return;
        }
        let span = self.overdue(id);
        let at = last.sent.saturating_add(span);
        if now < at || self.retry_tokens < 1.0 {
            let again = if now < at {
                at
            } else {
                now.saturating_add(span / OVERDUE as u64)
            };
            self.agenda.schedule(again, Task::Look(id));
        } else {
            self.retry_tokens -= 1.0;
            actions.push(Action::CancelAttempt {
                request: id,
                attempt: place as u8,
            });
        }
    }

    /// A moment set for a request has come: it was held, or an attempt is slow.
    pub(super) fn look(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.finished && !o.streaming) else {
            return;
        };
        if open.out() == 0 {
            // What is usual may have changed since this moment was set.
            match self.give_up(id) {
                later if later > now => self.agenda.schedule(later, Task::Look(id)),
                _ => self.conclude(id, actions),
            }
            return;
        }
        self.call_off(now, id, actions);
    }

    pub(super) fn on_outcome(
        &mut self,
        now: Nanos,
        (id, attempt): (RequestId, u8),
        latency: Nanos,
        outcome: Outcome,
        finished: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(done) = open
            .attempts
            .get_mut(usize::from(attempt))
            .filter(|a| a.outcome.is_none())
        else {
            return;
        };
        done.outcome = Some(outcome);
        let (backend, sent) = (done.backend, done.sent);
        let class = usize::from(open.request.class.0);
        let spent = latency as f64 / SECOND;
        // Called off here as lost: the backend has failed it as by a time-out.
        let lost = outcome == Outcome::Cancelled && !finished && !open.finished;
        self.out -= 1.0;
        if let Some(server) = self.servers.get_mut(&backend) {
            server.out -= 1.0;
            server.out_sent -= sent as f64 / SECOND;
            server.spent += match outcome {
                Outcome::BadRequest => 0.0,
                // At once or not, the request has to begin again elsewhere. Guards against a
                // backend that is gone or leaving while the list is late: its own latency would
                // make it the fastest.
                Outcome::ConnectFailed | Outcome::Overloaded => spent.max(self.shortest_aim),
                _ => spent,
            };
            if outcome == Outcome::Success {
                server.joined = if server.done > 0.0 {
                    server.joined
                } else {
                    now
                };
                server.done += 1.0;
                server.streak = 0.0;
                let pool = self.kinds.entry(server.entry.kind).or_default();
                let keep = 1.0 - 1.0 / SAMPLES;
                let mean = self.classes[class].all.mean;
                pool.decay(keep);
                pool.add(1.0, if mean > 0.0 { spent / mean } else { 1.0 });
                if server.done > 0.5 * MEMORY {
                    server.ejections = 0;
                }
            }
        }
        if self
            .servers
            .get(&backend)
            .is_none_or(|s| s.entry.state != EndpointState::Ready)
        {
            self.let_go(now, backend, actions);
        }
        if matches!(outcome, Outcome::Success | Outcome::Timeout) {
            self.classes[class].all.add(spent, SAMPLES);
        }
        self.adjust_room(backend, class, spent, outcome);
        let failed = matches!(
            outcome,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::Timeout
        );
        if failed || lost {
            self.on_failure(now, backend, actions);
        }
        let open = self.open.get_mut(&id).expect("held");
        if finished || open.finished {
            self.close(id, actions);
        } else if open.streaming {
            // The stream broke without an end told: only a failure can follow.
            self.conclude(id, actions);
        } else if open.out() == 0 {
            let open = &self.open[&id];
            // An unsafe request that may have run is over, and so is one that is itself at fault.
            let effect = self.settings.classes[class].idempotency;
            let barred = effect == Idempotency::NotIdempotent
                && open.may_have_run().next().is_some()
                || outcome == Outcome::BadRequest;
            let more = !barred && open.attempts.len() < self.settings.limits.max_attempts as usize;
            // What was lost has paid already.
            let free = lost || outcome == Outcome::ConnectFailed;
            let give_up = self.give_up(id);
            if now < give_up && more && (free || self.retry_tokens >= 1.0) {
                self.retry_tokens -= if free { 0.0 } else { 1.0 };
                self.waiting.insert((open.rank, id));
                self.agenda.schedule(give_up, Task::Look(id));
            } else {
                self.conclude(id, actions);
            }
        }
    }

    /// Gives the final answer: a refusal where that is true, else a failure.
    fn conclude(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.finished) else {
            return;
        };
        if self.may_refuse(open) {
            actions.push(Action::Reject {
                request: id,
                retry_after: self.settings.limits.max_retry_after,
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close(id, actions);
    }

    /// The request is over: calls off what is out and forgets it when nothing is.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let first = !std::mem::replace(&mut open.finished, true);
        self.waiting.remove(&(open.rank, id));
        if open.out() == 0 {
            self.open.remove(&id);
        } else if first && self.settings.limits.can_cancel {
            for (place, attempt) in open.attempts.iter().enumerate() {
                if attempt.outcome.is_none() {
                    actions.push(Action::CancelAttempt {
                        request: id,
                        attempt: place as u8,
                    });
                }
            }
        }
    }
}
