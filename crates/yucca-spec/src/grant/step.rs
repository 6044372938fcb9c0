//! The steps that are possible in a state.

use yucca_wire::id;

use super::action::Action;
use super::state::{HOSTS, Logs, Owner, Send, State, Step, TARGETS, View};
use super::{Mutant, Options};

/// Generates the successors of one state.
pub(super) struct Stepper<'a> {
    pub state: &'a State,
    pub options: &'a Options,
    pub logs: &'a mut Logs,
    pub next: Vec<State>,
}

impl Stepper<'_> {
    /// Returns every state that one step leads to.
    pub fn successors(mut self) -> Vec<State> {
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

    /// Returns a copy of the state, to be changed by this step.
    fn after(&self, step: Step) -> State {
        State {
            step,
            ..self.state.clone()
        }
    }

    fn view(&self) -> View {
        self.logs.get(self.state.log).view
    }

    /// Adds the state after a command of the log, if the command has an effect.
    fn propose(&mut self, action: Action, change: impl FnOnce(&mut State, View)) {
        let Some(log) = self.logs.after(self.state.log, action) else {
            return;
        };
        let (before, after) = (self.view(), self.logs.get(log).view);
        let mut next = self.after(Step::Log(action));
        if let (Some(before), Some(after)) = (before.owner, after.owner) {
            let changed = before.target != after.target;
            next.token_not_raised |=
                after.token < before.token || (changed && after.token == before.token);
        }
        next.log = log;
        change(&mut next, after);
        self.next.push(next);
    }

    /// Adds the commands that the leader may propose by its own state.
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
            let mut next = self.after(Step::Host(host, "applies the table"));
            next.hosts[host].view = self.view();
            self.next.push(next);
        }
        if self.state.used.expiries < self.options.expiries {
            let mut next = self.after(Step::Host(host, "loses its lease"));
            next.hosts[host].leased = false;
            next.used.expiries += 1;
            self.next.push(next);
        }
        for target in 0..TARGETS.len() {
            self.end_lane(host, target);
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

    /// A lane that is being handed over reports that it sends nothing more.
    fn end_lane(&mut self, host: usize, target: usize) {
        let state = &self.state.hosts[host];
        let (lane_host, lane) = state.view.lanes[target];
        let standby = state.view.standbys[target];
        let is_ending = lane_host.is_none() && standby.is_some_and(|standby| standby != host);
        if !is_ending || state.sending.is_some() || state.ended_lanes[target] >= lane {
            return;
        }
        let mut next = self.after(Step::Host(host, "ends its lane"));
        next.hosts[host].ended_lanes[target] = lane;
        add_report(&mut next, Action::Left { target, lane });
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
        let mut next = self.after(Step::Host(host, "grants the shard"));
        let target = &mut next.targets[owner.target];
        target.fence = target.fence.max(lane);
        target.granted = Some(owner.token);
        self.next.push(next);
    }

    /// A host checks a request, which arrives at once or, with pauses, in a later step.
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
            let mut next = self.after(Step::Host(host, "checks a request"));
            next.hosts[host].sending = Some(send);
            self.next.push(next);
        } else {
            self.arrive(host, send);
        }
    }

    fn arrive(&mut self, host: usize, send: Send) {
        let mut next = self.after(Step::Host(host, "sends"));
        next.hosts[host].sending = None;
        let is_granted = self.state.targets[send.target].granted == Some(send.grant);
        let accepts = !self.checks() || (is_granted && !self.is_fenced(send.target, send.lane));
        next.targets[send.target].working |= accepts;
        self.next.push(next);
    }

    /// A lane releases a grant, once the target has confirmed that its work on the shard has ended.
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
        let mut next = self.after(Step::Host(host, "releases the shard"));
        next.hosts[host].released = owner.token;
        let target = &mut next.targets[owner.target];
        target.fence = target.fence.max(lane);
        target.granted = None;
        add_report(&mut next, report);
        self.next.push(next);
    }

    fn target_steps(&mut self, target: usize) {
        if self.state.targets[target].working {
            let mut next = self.after(Step::Target(target, "ends its work"));
            next.targets[target].working = false;
            self.next.push(next);
        }
        if self.state.used.restarts < self.options.restarts {
            let mut next = self.after(Step::Target(target, "restarts"));
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
            add_report(&mut next, report);
            self.next.push(next);
        }
    }

    /// Proposes the command of a report. With the mutant, a release is rewritten to refer to the
    /// current lane and grant, as if every release were accepted.
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

fn add_report(next: &mut State, report: Action) {
    if let Err(at) = next.network.binary_search(&report) {
        next.network.insert(at, report);
    }
}
