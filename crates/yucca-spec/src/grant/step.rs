//! The steps that the search may take from a state.

use yucca_wire::id;

use super::action::Action;
use super::state::{HOSTS, Logs, Owner, Send, State, Step, TARGETS, View};
use super::{Mutant, Options};

/// Takes steps from one state and collects where they lead.
pub(super) struct Stepper<'a> {
    pub state: &'a State,
    pub options: &'a Options,
    pub logs: &'a mut Logs,
    pub next: Vec<State>,
}

impl Stepper<'_> {
    /// Returns every state that one step leads to.
    pub fn all(mut self) -> Vec<State> {
        self.leader_steps();
        for host in 0..HOSTS.len() {
            self.host_steps(host);
        }
        for target in 0..TARGETS.len() {
            self.target_steps(target);
        }
        for report in &self.state.network {
            self.deliver(*report);
        }
        self.next
    }

    fn copy(&self, step: Step) -> State {
        State {
            step,
            ..self.state.clone()
        }
    }

    fn view(&self) -> View {
        self.logs.get(self.state.log).view
    }

    /// Adds the state after a command of the log, where that has an effect.
    fn propose(&mut self, action: Action, change: impl FnOnce(&mut State, View)) {
        let Some(log) = self.logs.after(self.state.log, action) else {
            return;
        };
        let (before, after) = (self.view(), self.logs.get(log).view);
        let mut next = self.copy(Step::Log(action));
        if let (Some(before), Some(after)) = (before.owner, after.owner) {
            let changed = before.target != after.target;
            next.fell |= after.token < before.token || (changed && after.token == before.token);
        }
        next.log = log;
        change(&mut next, after);
        self.next.push(next);
    }

    /// The leader proposes anything that its own state allows.
    fn leader_steps(&mut self) {
        let view = self.view();
        if view.owner.is_some() {
            if self.state.used.moves < self.options.moves {
                self.propose(Action::Move, |next, _| next.used.moves += 1);
            }
        } else {
            for target in 0..TARGETS.len() {
                self.propose(Action::Own(target), |_, _| {});
            }
        }
        for (target, (lane, _)) in view.lanes.into_iter().enumerate() {
            for host in 0..HOSTS.len() {
                match lane {
                    Some(_) if view.standbys[target].is_none() => {
                        self.propose(Action::Standby(target, host), |_, _| {});
                    }
                    Some(_) => {}
                    None => self.propose(Action::Lane(target, host), |_, _| {}),
                }
            }
            if self.state.used.handovers < self.options.handovers {
                self.propose(Action::Yield(target), |next, _| next.used.handovers += 1);
            }
        }
        for (host, state) in self.state.hosts.iter().enumerate() {
            if !state.leased || self.options.mutant == Some(Mutant::LeaseNotAwaited) {
                self.propose(Action::HostLost(host), |_, _| {});
            }
            if !state.leased {
                self.propose(Action::HostUp(host), |next, view| {
                    next.hosts[host].leased = true;
                    next.hosts[host].view = view;
                });
            }
        }
    }

    fn host_steps(&mut self, host: usize) {
        let state = self.state.hosts[host];
        if let Some(send) = state.sending {
            self.arrive(host, send);
        }
        if !state.leased {
            return;
        }
        if self.view() != state.view {
            let mut next = self.copy(Step::Host(host, "takes in the table"));
            next.hosts[host].view = self.view();
            self.next.push(next);
        }
        if self.state.used.expiries < self.options.expiries {
            let mut next = self.copy(Step::Host(host, "loses its lease"));
            next.hosts[host].leased = false;
            next.used.expiries += 1;
            self.next.push(next);
        }
        for target in 0..TARGETS.len() {
            self.leave(host, target);
        }
        let Some(owner) = state.view.owner else {
            return;
        };
        let (lane_host, lane) = state.view.lanes[owner.target];
        if lane_host != Some(host) {
            return;
        }
        if owner.moving {
            self.release(host, owner, lane);
        } else if owner.token > state.released {
            self.grant(host, owner, lane);
            self.send(host, owner, lane);
        }
    }

    /// A lane that is to end says that it sends nothing more.
    fn leave(&mut self, host: usize, target: usize) {
        let state = &self.state.hosts[host];
        let (lane_host, lane) = state.view.lanes[target];
        let standby = state.view.standbys[target];
        let held = lane_host.is_none() && standby.is_some_and(|standby| standby != host);
        if !held || state.sending.is_some() || state.left[target] >= lane {
            return;
        }
        let mut next = self.copy(Step::Host(host, "ended its lane"));
        next.hosts[host].left[target] = lane;
        post(&mut next, Action::Left { target, lane });
        self.next.push(next);
    }

    fn is_fenced(&self, target: usize, lane: id::Token) -> bool {
        self.checks() && lane < self.state.targets[target].fence
    }

    fn checks(&self) -> bool {
        self.options.checks_tokens && self.options.mutant != Some(Mutant::FenceDropped)
    }

    fn grant(&mut self, host: usize, owner: Owner, lane: id::Token) {
        let granted = self.state.targets[owner.target].granted;
        if granted == Some(owner.token) || self.is_fenced(owner.target, lane) {
            return;
        }
        let mut next = self.copy(Step::Host(host, "grants the shard"));
        let target = &mut next.targets[owner.target];
        target.fence = target.fence.max(lane);
        target.granted = Some(owner.token);
        self.next.push(next);
    }

    /// A request is checked, and arrives at once or after a pause.
    fn send(&mut self, host: usize, owner: Owner, lane: id::Token) {
        if self.state.hosts[host].sending.is_some() {
            return;
        }
        let send = Send {
            target: owner.target,
            lane,
            grant: owner.token,
        };
        if self.options.pauses {
            let mut next = self.copy(Step::Host(host, "checks before it sends"));
            next.hosts[host].sending = Some(send);
            self.next.push(next);
        } else {
            self.arrive(host, send);
        }
    }

    fn arrive(&mut self, host: usize, send: Send) {
        let mut next = self.copy(Step::Host(host, "sends"));
        next.hosts[host].sending = None;
        let known = self.state.targets[send.target].granted == Some(send.grant);
        let takes = !self.checks() || (known && !self.is_fenced(send.target, send.lane));
        next.targets[send.target].working |= takes;
        self.next.push(next);
    }

    /// A lane gives a grant back, once the target has said that it is done with the shard.
    fn release(&mut self, host: usize, owner: Owner, lane: id::Token) {
        let state = &self.state.hosts[host];
        let awaits = self.options.mutant != Some(Mutant::RevokeNotAwaited);
        let busy = self.state.targets[owner.target].working || state.sending.is_some();
        if (awaits && busy) || self.is_fenced(owner.target, lane) {
            return;
        }
        let report = Action::Released {
            target: owner.target,
            lane,
            grant: owner.token,
        };
        if self.state.network.contains(&report) {
            return;
        }
        let mut next = self.copy(Step::Host(host, "releases the shard"));
        next.hosts[host].released = owner.token;
        let target = &mut next.targets[owner.target];
        target.fence = target.fence.max(lane);
        target.granted = None;
        post(&mut next, report);
        self.next.push(next);
    }

    fn target_steps(&mut self, target: usize) {
        if self.state.targets[target].working {
            let mut next = self.copy(Step::Target(target, "ends its work"));
            next.targets[target].working = false;
            self.next.push(next);
        }
        if self.state.used.restarts < self.options.restarts {
            let mut next = self.copy(Step::Target(target, "starts anew"));
            let state = &mut next.targets[target];
            state.incarnation += 1;
            state.granted = None;
            state.working = false;
            state.fence = id::Token::default();
            let incarnation = state.incarnation;
            next.used.restarts += 1;
            let report = Action::Announce {
                target,
                incarnation,
            };
            post(&mut next, report);
            self.next.push(next);
        }
    }

    fn deliver(&mut self, report: Action) {
        let mut report = report;
        if let Action::Released {
            target,
            lane,
            grant,
        } = &mut report
            && self.options.mutant == Some(Mutant::StaleReleaseAccepted)
        {
            let view = self.view();
            *lane = view.lanes[*target].1;
            let owner = view.owner.filter(|owner| owner.target == *target);
            *grant = owner.map_or(*grant, |owner| owner.token);
        }
        self.propose(report, |_, _| {});
    }
}

fn post(next: &mut State, report: Action) {
    if let Err(at) = next.network.binary_search(&report) {
        next.network.insert(at, report);
    }
}
