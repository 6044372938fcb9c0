//! Replacements of voters of a spread log: one loss after another, planned stops, and hosts that
//! are silent but not lost.
#![allow(clippy::unwrap_used)]

mod fake;

use std::time::Duration;

use fake::upkeep::{INTERVAL, join, maintain, run, wipe};
use fake::{Net, host, millis};
use test_case::test_case;
use yucca_log::membership::Members;
use yucca_log::node;
use yucca_wire::id;

/// Time after the start of a replacement after which the next loss must be tolerated, as the
/// platform requires.
const NEXT_LOSS: Duration = Duration::from_secs(4);

/// Maximum time that a host that is about to stop waits for its removal.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns a log of three voters with some acknowledged entries.
fn started(seed: u64) -> Net {
    let mut net = Net::new(&["a", "b", "c"], seed);
    for number in 0..20 {
        net.commit(&format!("{number}"));
    }
    net
}

fn members(net: &Net) -> Members {
    net.node(&net.leader().unwrap()).members().clone()
}

/// Checks that there are three voters, all of them running.
fn assert_three_running_voters(net: &Net) {
    let members = members(net);
    let running = members.voters().iter().filter(|voter| {
        let node = net.hosts[&voter.host].node.as_ref();
        node.is_some_and(|node| node.replica() == *voter)
    });
    assert_eq!(running.count(), 3, "{members}");
    assert_eq!(members.voters().len(), 3, "{members}");
}

/// Returns the host that is lost: the leader, or the first or second of the other voters.
fn pick(net: &mut Net, which: usize) -> id::Host {
    let leader = net.await_leader();
    let voters = members(net);
    let mut hosts: Vec<id::Host> = voters.voters().iter().map(|v| v.host.clone()).collect();
    hosts.sort_by_key(|name| *name != leader);
    hosts[which].clone()
}

/// A host is gone for good and another comes at a new address; after that, one host after the other
/// loses its records and returns.
#[test_case(0, 0; "the leader, at once")]
#[test_case(0, 900; "the leader, before its silence counts")]
#[test_case(1, 0; "a follower, at once")]
#[test_case(1, 900; "a follower, before its silence counts")]
#[test_case(2, 2_500; "a follower, late")]
fn losses_after_a_replacement_leave_a_quorum(which: usize, after_ms: u64) {
    for seed in 0..20 {
        let mut net = started(seed);
        let lost = pick(&mut net, which);
        wipe(&mut net, &lost);
        run(&mut net, millis(after_ms));
        join(&mut net, "d");
        run(&mut net, NEXT_LOSS);
        assert_three_running_voters(&net);
        for next in [0, 1, 2, 0] {
            let lost = pick(&mut net, next);
            wipe(&mut net, &lost);
            run(&mut net, millis(300));
            net.start(&lost);
            run(&mut net, NEXT_LOSS);
            assert_three_running_voters(&net);
        }
        net.commit("after the losses");
    }
}

/// A voter is told to stop while a learner can replace it, and another voter is lost at any moment
/// from then on.
#[test_case(0, 0; "the leader stops, the next is lost")]
#[test_case(1, 0; "a follower stops, the leader is lost")]
#[test_case(1, 2; "a follower stops, another one is lost")]
fn a_loss_during_a_planned_stop_leaves_a_quorum(stops: usize, is_lost: usize) {
    for moment in (0..400).step_by(10) {
        let mut net = started(moment);
        join(&mut net, "d");
        run(&mut net, NEXT_LOSS);
        assert_eq!(members(&net).learners().len(), 1);
        let stopping = pick(&mut net, stops);
        let mut lost = pick(&mut net, is_lost);
        if lost == stopping {
            lost = pick(&mut net, 1);
        }
        let lost_at = net.now + millis(moment);
        let until = net.now + STOP_TIMEOUT;
        while net.now < until && !net.hosts[&stopping].left {
            let leads = net.node(&stopping).role() == node::Role::Leader;
            let input = if leads {
                node::Input::Transfer { to: None }
            } else {
                node::Input::Leave
            };
            net.input(&stopping, input);
            for _ in 0..10 {
                net.run(millis(5));
                maintain(&mut net);
                if net.now >= lost_at && net.hosts[&lost].node.is_some() {
                    wipe(&mut net, &lost);
                }
            }
        }
        assert!(
            net.hosts[&stopping].left,
            "moment {moment}: {}",
            members(&net)
        );
        wipe(&mut net, &stopping);
        if net.hosts[&lost].node.is_some() {
            wipe(&mut net, &lost);
        }
        net.commit("after both");
    }
}

/// What happens at some moment of an exchange, in which no records are lost.
#[derive(Debug, Clone, Copy)]
enum Disruption {
    /// All processes end and start again a second later.
    AllEnd,
    /// The leader is paused for two seconds.
    LeaderPaused,
    /// The leader's process ends and starts again a second later.
    LeaderEnds,
    /// The host that joins is paused for two seconds.
    JoinerPaused,
    /// No two hosts reach each other for two seconds.
    AllCut,
}

/// Time from the loss of a host until another joins in its place.
const JOIN_DELAY: Duration = Duration::from_secs(1);

/// Time from a disruption until all hosts are back.
const DISRUPTED: Duration = Duration::from_secs(2);

fn disrupt(net: &mut Net, disruption: Disruption, joiner: &id::Host) {
    let leader = net.leader();
    let leader = leader.as_ref().unwrap_or(joiner);
    let running = |net: &Net| -> Vec<id::Host> {
        let hosts = net.hosts.iter().filter(|(_, host)| host.node.is_some());
        hosts.map(|(name, _)| name.clone()).collect()
    };
    match disruption {
        Disruption::AllEnd | Disruption::LeaderEnds => {
            let ended = match disruption {
                Disruption::AllEnd => running(net),
                _ => vec![leader.clone()],
            };
            ended.iter().for_each(|name| net.crash(name));
            run(net, DISRUPTED / 2);
            ended.iter().for_each(|name| net.start(name));
            run(net, DISRUPTED / 2);
        }
        Disruption::LeaderPaused | Disruption::JoinerPaused => {
            let paused = match disruption {
                Disruption::LeaderPaused => leader,
                _ => joiner,
            };
            net.pause(paused);
            run(net, DISRUPTED);
            net.resume(paused);
        }
        Disruption::AllCut => {
            running(net).iter().for_each(|name| net.isolate(name));
            run(net, DISRUPTED);
            net.heal();
        }
    }
}

/// Ends a host for good: its process and its records are gone.
fn lose(net: &mut Net, name: &id::Host) {
    wipe(net, name);
    net.hosts[name].left = true;
}

/// Two hosts are exchanged one after the other, and something else happens at any moment of the
/// second exchange. The log has a leader again once all are back, and then tolerates the loss of
/// the records of another host together with the end of all processes.
#[test_case(Disruption::AllEnd, 0; "all processes end, the leader is exchanged")]
#[test_case(Disruption::AllEnd, 1; "all processes end, a follower is exchanged")]
#[test_case(Disruption::LeaderPaused, 1; "the leader is paused")]
#[test_case(Disruption::LeaderEnds, 1; "the leader ends")]
#[test_case(Disruption::JoinerPaused, 0; "the joining host is paused, the leader is exchanged")]
#[test_case(Disruption::JoinerPaused, 1; "the joining host is paused, a follower is exchanged")]
#[test_case(Disruption::AllCut, 0; "all are cut off, the leader is exchanged")]
fn a_disrupted_second_exchange_leaves_a_quorum(disruption: Disruption, which: usize) {
    for number in 0..100 {
        let moment = millis(600 + number * 20);
        let mut net = started(number);
        net.state_bytes = 200_000;
        let first = pick(&mut net, 1);
        lose(&mut net, &first);
        run(&mut net, JOIN_DELAY);
        join(&mut net, "d");
        run(&mut net, NEXT_LOSS);
        let second = pick(&mut net, which);
        lose(&mut net, &second);
        run(&mut net, moment.min(JOIN_DELAY));
        if moment < JOIN_DELAY {
            disrupt(&mut net, disruption, &host("d"));
            join(&mut net, "e");
        } else {
            join(&mut net, "e");
            run(&mut net, moment - JOIN_DELAY);
            disrupt(&mut net, disruption, &host("e"));
        }
        run(&mut net, NEXT_LOSS);
        assert_three_running_voters(&net);
        let wiped = pick(&mut net, number as usize % 3);
        let hosts = members(&net);
        let hosts: Vec<id::Host> = hosts.voters().iter().map(|v| v.host.clone()).collect();
        for name in &hosts {
            if *name == wiped {
                wipe(&mut net, name);
            } else {
                net.crash(name);
            }
        }
        run(&mut net, millis(1_000));
        hosts.iter().for_each(|name| net.start(name));
        run(&mut net, NEXT_LOSS);
        net.commit("after the dark");
        assert_three_running_voters(&net);
        for (version, entry) in &net.acknowledged {
            assert_eq!(&net.history[version].0, entry, "{version} was lost");
        }
    }
}

/// A host joins and, while its records are on their way, another stops by plan; then it is repeated
/// with the next, faster than a silent voter is noticed.
#[test]
fn exchanges_by_plan_in_a_row_leave_a_quorum() {
    for moment in (0..1_500).step_by(25) {
        let mut net = started(moment);
        net.state_bytes = 200_000;
        for name in ["d", "e"] {
            join(&mut net, name);
            run(&mut net, millis(moment));
            let stopping = pick(&mut net, moment as usize / 25 % 3);
            let until = net.now + STOP_TIMEOUT;
            while net.now < until && !net.hosts[&stopping].left {
                let leads = net.node(&stopping).role() == node::Role::Leader;
                let input = if leads {
                    node::Input::Transfer { to: None }
                } else {
                    node::Input::Leave
                };
                net.input(&stopping, input);
                run(&mut net, INTERVAL);
            }
            lose(&mut net, &stopping);
        }
        run(&mut net, NEXT_LOSS);
        assert_three_running_voters(&net);
        let leader = pick(&mut net, 0);
        wipe(&mut net, &leader);
        net.commit("after the loss");
    }
}

/// A voter is silent for seconds while a learner is ready, and returns with its records.
#[test_case(false; "paused")]
#[test_case(true; "cut off")]
fn a_silent_voter_returns_as_a_learner(cut: bool) {
    for which in 0..3 {
        let mut net = started(which as u64);
        join(&mut net, "d");
        run(&mut net, NEXT_LOSS);
        let silent = pick(&mut net, which);
        if cut {
            net.isolate(&silent);
        } else {
            net.pause(&silent);
        }
        run(&mut net, millis(3_000));
        assert_three_running_voters(&net);
        let term = net.node(&net.leader().unwrap()).term();
        net.heal();
        net.resume(&silent);
        run(&mut net, NEXT_LOSS);
        let members = members(&net);
        assert_eq!(net.node(&net.leader().unwrap()).term(), term);
        assert_three_running_voters(&net);
        assert_eq!(members.learners().len(), 1, "{members}");
        assert_eq!(members.learners()[0].host, silent);
        let lost = pick(&mut net, 0);
        wipe(&mut net, &lost);
        net.commit("after a loss");
    }
}

/// A voter is silent for seconds and no other host could replace it: nothing changes.
#[test]
fn a_silent_voter_without_a_replacement_stays() {
    for which in 0..3 {
        let mut net = started(which as u64);
        let before = members(&net);
        let silent = pick(&mut net, which);
        net.isolate(&silent);
        run(&mut net, millis(5_000));
        net.heal();
        run(&mut net, NEXT_LOSS);
        assert_eq!(members(&net), before);
        net.settle();
    }
}

/// Two halves of four hosts can't reach each other: the half with two voters goes on.
#[test]
fn a_cut_in_halves_leaves_a_leader() {
    let mut net = started(1);
    join(&mut net, "d");
    run(&mut net, NEXT_LOSS);
    let members = members(&net);
    let voters: Vec<id::Host> = members.voters().iter().map(|v| v.host.clone()).collect();
    for one in &voters[..2] {
        for other in [&voters[2], &host("d")] {
            net.cut(one, other);
        }
    }
    run(&mut net, millis(3_000));
    net.commit("during the cut");
    net.heal();
    run(&mut net, NEXT_LOSS);
    assert_three_running_voters(&net);
    net.settle();
}
